"""Delays: times that double with each failure, up to a maximum."""

from __future__ import annotations

MAX_DOUBLINGS = 64  # far beyond any maximum; 1,024 overflow a float


def double_delay(first: float, doublings: int, maximum: float) -> float:
    """Return `first` doubled a number of times, at most `maximum`; in seconds."""
    return min(maximum, first * 2.0 ** min(doublings, MAX_DOUBLINGS))
