"""Placement: chooses the replica for a call.

Calls with the same shared prompt prefix go to the replica that has the prefix cached.
If a prefix is so popular that its replica's load would far exceed the mean, further
calls spill to other replicas. Calls without a shared prefix go to the least loaded one.
Replicas that limit their requests take part while this router may send them one, and
don't count in the mean. They get a call now and then, since only answers tell that a
limit has ended.
"""

from __future__ import annotations

from collections.abc import Collection

from gentianworks.core.gateway.calls import Call
from gentianworks.core.gateway.replicas import Replica, ReplicaName
from gentianworks.core.gateway.state import GatewayState
from gentianworks.core.routing.placement import order_by_score
from gentianworks.core.types import ServiceName

SPILL_MULTIPLE = 1.6  # of the mean load; leaves room below the bound of twice the mean
SPILL_FLOOR = 3.0  # calls; the load bound allows as many above its multiple
# The same while a zone is evacuated: its idle replicas lower the mean of the bound, and
# with reports that are a little old replicas would exceed it.
EVACUATION_SPILL_FLOOR = 2.0


def choose_replica(
    service: ServiceName,
    call: Call,
    tried: Collection[ReplicaName],
    gateway: GatewayState,
    now: float,
    is_repeatable: bool = True,
) -> Replica | None:
    """Return the replica for the next attempt at a call, or None.

    `is_repeatable` tells whether the call can be sent elsewhere if the attempt fails.
    """
    usable = gateway.registry.list_usable(service)
    untried = [
        item
        for item in usable
        if item.name not in tried
        and gateway.limits.may_send(item.name, call.placement_key, now)
    ]
    reachable = [
        item for item in untried if not gateway.backoff.is_unavailable(item.name, now)
    ]
    # The load bound includes replicas that this call avoids, so the mean does too.
    counted = reachable or untried
    sound = gateway.outliers.prefer_sound(counted, is_repeatable, now)
    # Last, so that a replica that is returning is preferred to one that fails calls.
    candidates = _list_returned(sound, call, gateway, now)
    if not candidates:
        return None
    due = _find_renewal(candidates, gateway, now)
    if due is not None:
        return due
    return _choose_among(call, candidates, counted, gateway, now)


def _choose_among(
    call: Call,
    candidates: list[Replica],
    counted: list[Replica],
    gateway: GatewayState,
    now: float,
) -> Replica:
    """Return the replica for a call, where slow or unhealthy ones take fewer calls.

    The load bound counts calls at any speed and health, and the `counted` replicas,
    which include those that the call avoids.
    """
    service = candidates[0].service
    registry, floor = gateway.registry, _get_spill_floor(service, gateway)
    calls = {
        x.name: float(registry.get_load(x.name).estimate(now) + 1) for x in counted
    }
    mean = _compute_mean(service, counted, calls, gateway)
    allowed = [x for x in candidates if calls[x.name] <= SPILL_MULTIPLE * mean + floor]
    if not allowed:
        return _choose_least_loaded(call.request_id, candidates, calls)
    # The weight of a replica that the call avoids would raise the others' bound.
    weights = {item.name: _compute_weight(item, gateway, now) for item in candidates}
    costs = {name: count * weights.get(name, 1.0) for name, count in calls.items()}
    if call.affinity_key:
        bound = SPILL_MULTIPLE * _compute_mean(service, counted, costs, gateway) + floor
        return _choose_by_affinity(call.affinity_key, allowed, costs, bound)
    if gateway.speeds.is_reported(service):
        return _choose_fastest(call.request_id, allowed, costs, gateway, now)
    return _choose_least_loaded(call.request_id, allowed, costs)


def is_busy(
    name: ReplicaName, service: ServiceName, calls: int, gateway: GatewayState
) -> bool:
    """Return whether routers need to know that a replica has so many calls.

    A replica that is listed as busy stays so until it is back at the mean, since a
    router to which its load is unknown takes it for idle.
    """
    mean = gateway.busy.mean_loads.get(service, float(calls))
    if name in gateway.busy.names:
        return calls > mean
    return calls > SPILL_MULTIPLE * mean + _get_spill_floor(service, gateway)


def _list_returned(
    replicas: list[Replica], call: Call, gateway: GatewayState, now: float
) -> list[Replica]:
    """Return the replicas to which a call has returned after they were cold, or all."""
    cold, key = gateway.limits.cold, call.placement_key
    if not cold.is_anyone_ramping(now):
        return replicas
    returned = [x for x in replicas if not cold.is_ramping(x.name, key, now)]
    return returned or replicas


def _find_renewal(
    candidates: list[Replica], gateway: GatewayState, now: float
) -> Replica | None:
    """Return a replica that is to be asked whether its limit still holds, or None."""
    if gateway.limits.is_empty():
        return None
    due = (x for x in candidates if gateway.limits.is_renewal_due(x.name, now))
    return next(due, None)


def _compute_mean(
    service: ServiceName,
    candidates: list[Replica],
    loads: dict[ReplicaName, float],
    gateway: GatewayState,
) -> float:
    """Return the mean load of the replicas without a limit, or of all if none is left.

    The few calls of limited replicas would make the others' subjects spill to them.
    Replicas of evacuated zones, cold ones and those that may have restarted count as
    idle, since the load bound of the service includes them.
    """
    limits = gateway.limits
    names = [x.name for x in candidates if limits.get_limit(x.name) is None]
    counted = [loads[name] for name in names or loads]
    # The loads count one more call at each replica; the mean must not.
    mean = max(0.0, sum(counted) / len(counted) - 1)
    idle = gateway.registry.count_evacuated(service)
    idle += gateway.registry.count_restarting(service)
    warm = len(candidates)
    if names and limits.cold.limits:
        usable = gateway.registry.list_usable(service)
        warm -= sum(x.name in limits.cold.limits for x in candidates)
        idle += sum(x.name in limits.cold.limits for x in usable)
    return mean * warm / (warm + idle)


def _get_spill_floor(service: ServiceName, gateway: GatewayState) -> float:
    """Return the calls that a replica may have above the multiple of the mean."""
    is_evacuated = gateway.registry.count_evacuated(service) > 0
    return EVACUATION_SPILL_FLOOR if is_evacuated else SPILL_FLOOR


def _compute_weight(replica: Replica, gateway: GatewayState, now: float) -> float:
    """Return the factor by which a replica's load counts.

    The slowness that a replica reports also shows in its latency, by which its health
    is judged, so the larger of the two counts rather than their product.
    """
    name, service = replica.name, replica.service
    health = gateway.health.compute_cost_factor(name, service, now)
    if not gateway.speeds.is_reported(service):
        return health
    speed = gateway.speeds.compute_cost_factor(name, service, now)
    return max(speed, health) if health > 1.0 else speed


def _choose_fastest(
    request_id: str,
    candidates: list[Replica],
    costs: dict[ReplicaName, float],
    gateway: GatewayState,
    now: float,
) -> Replica:
    """Return the replica that is expected to end a call first.

    Loads are up to 2 s old and other routers add to them, so queueing is expected to
    grow from the first call on rather than only beyond the slots. At equal speeds the
    order is that by load.
    """
    speeds = gateway.speeds

    def expect_time(item: Replica) -> float:
        run_time = speeds.compute_cost_factor(item.name, item.service, now)
        return run_time + costs[item.name] / max(1, item.slots)

    return min(order_by_score(request_id, candidates), key=expect_time)


def _choose_by_affinity(
    affinity_key: str,
    candidates: list[Replica],
    loads: dict[ReplicaName, float],
    bound: float,
) -> Replica:
    """Return the first replica in the key's rendezvous order that is not overloaded."""
    order = order_by_score(affinity_key, candidates)
    for replica in order:
        if loads[replica.name] <= min(bound, replica.slots):
            return replica
    return min(order, key=lambda item: loads[item.name])


def _choose_least_loaded(
    request_id: str, candidates: list[Replica], loads: dict[ReplicaName, float]
) -> Replica:
    """Return the replica with the lowest load per slot, ties broken by request."""
    order = order_by_score(request_id, candidates)
    return min(order, key=lambda item: loads[item.name] / max(1, item.slots))
