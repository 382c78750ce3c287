"""Routers: a router's handlers for replicas that become cold, warm or are lost."""

from __future__ import annotations

from gentianworks.core.cold_replicas.registry import list_cold_limits
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent, SetTimer
from gentianworks.core.evacuations.registry import LIST_LAG
from gentianworks.core.events.cold_replicas import ReplicaDisconnected, RestartWaitEnded
from gentianworks.core.events.gateway import ReplicaFailure
from gentianworks.core.gateway.replicas import Replica
from gentianworks.core.gateway.state import GatewayState
from gentianworks.core.reducer import reduce
from gentianworks.core.state import State

LOSSES = frozenset(
    {ReplicaFailure.CUT, ReplicaFailure.NOT_SENT, ReplicaFailure.UNREACHABLE}
)


def update_cold_replicas(gateway: GatewayState, now: float) -> list[Effect]:
    """Apply the list and the route table to what is known of cold replicas."""
    replicas = gateway.registry.replicas
    rates = gateway.table.cold_rates if gateway.table else {}
    limits = list_cold_limits(replicas.values(), rates)
    cold, warm = gateway.limits.update_cold(limits, replicas, now)
    return [
        *(
            LogEvent(
                "GW5135",
                (
                    ("replica", name),
                    ("service", replicas[name].service),
                    ("limit", f"{limits[name]:g}"),
                    ("rate", f"{gateway.limits.get_rate(name):.3g}"),
                ),
            )
            for name in cold
        ),
        *(
            LogEvent("GW5136", (("replica", name), ("service", replicas[name].service)))
            for name in warm
        ),
    ]


def record_lost_connection(
    replica: Replica, failure: ReplicaFailure, gateway: GatewayState, now: float
) -> list[Effect]:
    """Send nothing to a replica that may have started again, until a list tells."""
    service = gateway.table.find_service(replica.service) if gateway.table else None
    lost_at = gateway.registry.lost_at
    if service is None or not service.cold_rate or failure not in LOSSES:
        return []
    if lost_at.get(replica.name) == now:
        return []
    lost_at[replica.name] = now
    due_at = now + LIST_LAG + service.cold_time
    return [SetTimer(due_at, RestartWaitEnded(replica.name, now))]


@reduce.register
def _(event: ReplicaDisconnected, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    replica = gateway.registry.replicas.get(event.replica) if gateway else None
    if gateway is None or replica is None:
        return []
    return record_lost_connection(replica, ReplicaFailure.CUT, gateway, now)


@reduce.register
def _(event: RestartWaitEnded, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    if gateway is not None and (
        gateway.registry.lost_at.get(event.replica) == event.lost_at
    ):
        del gateway.registry.lost_at[event.replica]
    return []
