"""Admission: refuses at once a call that can't be served in its time.

Answers a service that gets more calls than it can work off: those that would wait
past their deadline are refused before they wait, with the time after which the
queue will have gone down.
"""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.gateway.replicas import Replica
from gentianworks.core.gateway.state import GatewayExchange, GatewayState
from gentianworks.core.hashing import hash_to_fraction

DURATION_WEIGHT = 0.05  # of each new duration in the running mean; some 20 calls
FIRST_DURATION = 0.1  # seconds; assumed until a call of the service has ended
MIN_RETRY_AFTER = 0.1  # seconds; a shorter wait costs more than it gains
RANK_DELAY = 0.25  # of the wait, for each rank; returns of two ranks overlap little
RETURN_SPREAD = 0.25  # of the wait; callers refused at once don't come at once


@frozen
class Estimate:
    """Hold the seconds that a call would wait, and those that it would then run."""

    wait: float
    run: float


def note_duration(service: str, seconds: float, gateway: GatewayState) -> None:
    """Take the time that a call of a service ran into the running mean."""
    known = gateway.durations.get(service, seconds)
    gateway.durations[service] = known + DURATION_WEIGHT * (seconds - known)


def estimate_wait(
    exchange: GatewayExchange, replica: Replica, gateway: GatewayState, now: float
) -> Estimate:
    """Return what a call would wait at a replica."""
    load = gateway.book.get_load(replica.name).estimate(now)
    run = gateway.durations.get(exchange.service, FIRST_DURATION)
    slots = max(1, replica.slots)
    ahead = max(0, load + 1 - slots)
    return Estimate(ahead * run / slots, run)


def find_retry_after(
    exchange: GatewayExchange, replica: Replica, gateway: GatewayState, now: float
) -> float:
    """Return after how many seconds a call can be served, or 0 where it can be now."""
    left = exchange.deadline - now
    estimate = estimate_wait(exchange, replica, gateway, now)
    first_byte = estimate.wait + (0.0 if exchange.route.is_stream else estimate.run)
    if first_byte <= left:
        return 0.0
    return spread_return(exchange, max(MIN_RETRY_AFTER, first_byte - left))


def spread_return(exchange: GatewayExchange, seconds: float) -> float:
    """Return when a caller is to come back, so that the urgent come first."""
    part = hash_to_fraction(f"return/{exchange.call.request_id}")
    return seconds * (1 + RANK_DELAY * exchange.rank + RETURN_SPREAD * part)
