"""Ticks: aligned due times for the timers of a control host."""

from __future__ import annotations

import math

PHASE_COUNT = 1000
MAX_EARLINESS = 0.001  # seconds by which a timer may fire early


def compute_next_tick(now: float, interval: float, incarnation: int) -> float:
    """Return the time of the next tick after `now`, both in seconds.

    Ticks of one host coincide if their intervals divide a second, so that the host
    wakes up once for all of them; the incarnation offsets them from those of other
    hosts.
    """
    phase = incarnation % PHASE_COUNT / PHASE_COUNT
    past_ticks = math.floor((now - phase + MAX_EARLINESS) / interval)
    return (past_ticks + 1) * interval + phase
