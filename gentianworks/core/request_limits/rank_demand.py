"""Rank demand: keeps capacity that is known and scarce for the more urgent calls.

Where every replica of a service limits its requests, a call of some rank gets what the
more urgent ones leave over, and a small part in any case, so that no rank gets nothing.
"""

from __future__ import annotations

from collections import deque

from attrs import define, field, frozen

DEMAND_TIME = 4.0  # seconds over which calls are counted
LEAST_SHARE = 0.25  # of what the next more urgent rank may use
MAX_COUNTED_CALLS = 4096


@frozen
class CountedCall:
    """Call that arrived, or was sent, at a time in seconds."""

    rank: int
    at: float


@define
class RankDemand:
    """Calls of one service at a router that arrived and that were sent of late."""

    arrived: deque[CountedCall] = field(factory=deque)
    sent: deque[CountedCall] = field(factory=deque)

    def record_arrived(self, rank: int, now: float) -> None:
        """Count a call that arrived."""
        _append(self.arrived, rank, now)

    def record_sent(self, rank: int, now: float) -> None:
        """Count a call that was sent to a replica."""
        _append(self.sent, rank, now)

    def may_send(self, rank: int, rate: float, now: float) -> bool:
        """Return whether a rank may use a request of `rate` requests a second."""
        _remove_old(self.arrived, now)
        _remove_old(self.sent, now)
        capacity = rate * DEMAND_TIME
        more_urgent = [item.rank for item in self.arrived if item.rank < rank]
        if not more_urgent:
            return True
        least = capacity * LEAST_SHARE ** len(set(more_urgent))
        used = sum(item.rank >= rank for item in self.sent)
        return used < max(least, capacity - len(more_urgent))

    def estimate_wait(self, rank: int, rate: float, now: float) -> float:
        """Return the seconds in which `rate` serves the calls no less urgent."""
        _remove_old(self.arrived, now)
        calls = sum(item.rank <= rank for item in self.arrived)
        return max(0.0, calls / rate - DEMAND_TIME) if rate > 0 else DEMAND_TIME


def _append(calls: deque[CountedCall], rank: int, now: float) -> None:
    _remove_old(calls, now)
    calls.append(CountedCall(rank, now))
    if len(calls) > MAX_COUNTED_CALLS:
        calls.popleft()


def _remove_old(calls: deque[CountedCall], now: float) -> None:
    while calls and now - calls[0].at > DEMAND_TIME:
        calls.popleft()
