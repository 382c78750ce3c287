"""Placing: which replica a call goes to.

Answers two loads: many subjects with long shared prompts, where each subject keeps to
the replica that holds its prompt, and one hot subject, which spills before its replica
holds much more than the mean.
"""

from __future__ import annotations

from collections.abc import Collection

from gentianworks.core.gateway.calls import Call
from gentianworks.core.gateway.replicas import Replica, ReplicaName
from gentianworks.core.gateway.state import GatewayState
from gentianworks.core.routing.placement import order_by_score
from gentianworks.core.types import ServiceName

SPILL_MULTIPLE = 1.6  # of the mean load; keeps clear of the bound of twice the mean
SPILL_FLOOR = 3.0  # calls; as many as the bound allows beside its multiple


def choose_replica(
    service: ServiceName,
    call: Call,
    tried: Collection[ReplicaName],
    gateway: GatewayState,
    now: float,
) -> Replica | None:
    """Return the replica that a call goes to next, or None."""
    usable = gateway.book.list_usable(service)
    fresh = [item for item in usable if item.name not in tried]
    sound = [
        item for item in fresh if not gateway.avoidance.is_unavailable(item.name, now)
    ]
    candidates = sound or fresh
    if not candidates:
        return None
    loads = {item.name: _weigh(item, gateway, now) for item in candidates}
    if call.subject:
        return _choose_home(call.subject, candidates, loads)
    return _choose_idlest(call.request_id, candidates, loads)


def _weigh(replica: Replica, gateway: GatewayState, now: float) -> float:
    """Return the load that one more call would make, weighed by the health."""
    load = gateway.book.get_load(replica.name).estimate(now)
    cost = gateway.health.find_cost(replica.name, replica.service, now)
    return (load + 1) * cost


def _choose_home(
    subject: str, candidates: list[Replica], loads: dict[ReplicaName, float]
) -> Replica:
    """Return the first replica in a subject's order that is not overloaded."""
    # The loads count one more call at each replica, the mean must not.
    mean = max(0.0, sum(loads.values()) / len(loads) - 1)
    bound = SPILL_MULTIPLE * mean + SPILL_FLOOR
    order = order_by_score(subject, candidates)
    for replica in order:
        if loads[replica.name] <= min(bound, replica.slots):
            return replica
    return min(order, key=lambda item: loads[item.name])


def _choose_idlest(
    request_id: str, candidates: list[Replica], loads: dict[ReplicaName, float]
) -> Replica:
    """Return the replica with the most room; equal ones take turns by request."""
    order = order_by_score(request_id, candidates)
    return min(order, key=lambda item: loads[item.name] / max(1, item.slots))
