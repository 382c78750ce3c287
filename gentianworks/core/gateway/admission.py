"""Admission: rejects a call immediately if it can't be served before its deadline.

Under overload, calls that would miss their deadline in the queue of a replica are
refused before they are sent, with a retry delay that matches the backlog.
"""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.gateway.replicas import Replica
from gentianworks.core.gateway.state import GatewayExchange, GatewayState
from gentianworks.core.hashing import hash_to_fraction

DURATION_MEAN_WEIGHT = 0.05  # of each new duration; averages over some 20 calls
DEFAULT_DURATION = 0.1  # seconds; assumed until a call of the service has ended
MIN_RETRY_AFTER = 0.1  # seconds; a retry costs more than a shorter wait saves
RANK_RETRY_DELAY = 0.25  # of the wait, per rank; retries of two ranks overlap little
RETRY_JITTER = 0.25  # of the wait; spreads callers that were refused at the same time


@frozen
class WaitEstimate:
    """Expected times of a call at a replica, in seconds.

    The run time includes the replica's slowness, if its service reports any.
    """

    queue_time: float
    run_time: float


def record_duration(service: str, seconds: float, gateway: GatewayState) -> None:
    """Update the mean duration of a service's calls."""
    mean = gateway.mean_durations.get(service, seconds)
    gateway.mean_durations[service] = mean + DURATION_MEAN_WEIGHT * (seconds - mean)


def estimate_wait(replica: Replica, gateway: GatewayState, now: float) -> WaitEstimate:
    """Return how long a call would queue and run at a replica."""
    load = gateway.registry.get_load(replica.name).estimate(now)
    factor = gateway.speeds.compute_cost_factor(replica.name, replica.service, now)
    run_time = factor * gateway.mean_durations.get(replica.service, DEFAULT_DURATION)
    slots = max(1, replica.slots)
    calls_ahead = max(0, load + 1 - slots)
    return WaitEstimate(calls_ahead * run_time / slots, run_time)


def compute_retry_after(
    exchange: GatewayExchange, replica: Replica, gateway: GatewayState, now: float
) -> float:
    """Return the retry delay in seconds, or 0 if the replica can serve the call now.

    A stream meets its deadline with its first byte, any other call with its end.
    Where replicas report slowness, no call is refused while one has a free slot: that a
    replica is slow is no reason to let it idle.
    """
    remaining = exchange.deadline - now
    estimate = estimate_wait(replica, gateway, now)
    first_byte = estimate.queue_time + (
        0.0 if exchange.route.is_stream else estimate.run_time
    )
    if first_byte <= remaining:
        return 0.0
    if remaining > 0 and _has_free_slot(exchange, gateway, now):
        return 0.0
    return spread_retry_after(exchange, max(MIN_RETRY_AFTER, first_byte - remaining))


def _has_free_slot(
    exchange: GatewayExchange, gateway: GatewayState, now: float
) -> bool:
    """Return whether a replica has a free slot, if its service reports slowness.

    The slots of replicas that can't get the call are not free: those of cold replicas
    and outliers are idle while the others are full.
    """
    if not gateway.speeds.is_reported(exchange.service):
        return False
    untried = [
        item
        for item in gateway.registry.list_usable(exchange.service)
        if item.name not in exchange.tried_replicas
        and gateway.limits.may_send(item.name, exchange.call.placement_key, now)
    ]
    reachable = [
        item for item in untried if not gateway.backoff.is_unavailable(item.name, now)
    ]
    sound = gateway.outliers.prefer_sound(reachable or untried, True, now)
    return any(
        gateway.registry.get_load(item.name).estimate(now) < item.slots
        for item in sound
    )


def expect_delay(
    exchange: GatewayExchange, replica: Replica, gateway: GatewayState, now: float
) -> float:
    """Return the expected seconds to the first event of a call that is being sent.

    Returns -1 if the service reports no slowness or has not answered yet. The
    expectation is noted with the call, to be compared with the answer.
    """
    exchange.expected_queue_time = exchange.speed_deviation = 0.0
    speeds = gateway.speeds.services.get(replica.service)
    if speeds is None:
        return -1.0
    queue_time = estimate_wait(replica, gateway, now).queue_time
    exchange.expected_queue_time = queue_time
    exchange.speed_deviation = gateway.speeds.compute_deviation(
        replica.name, replica.service, now
    )
    if not speeds.mean_delay:
        return -1.0
    factor = gateway.speeds.compute_cost_factor(replica.name, replica.service, now)
    return queue_time + factor * speeds.mean_delay


def spread_retry_after(exchange: GatewayExchange, seconds: float) -> float:
    """Return a retry delay with jitter that lets more urgent ranks retry first."""
    fraction = hash_to_fraction(f"return/{exchange.call.request_id}")
    return seconds * (1 + RANK_RETRY_DELAY * exchange.rank + RETRY_JITTER * fraction)
