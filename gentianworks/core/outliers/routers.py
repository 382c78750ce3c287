"""Routers: a router's reports of failures, and the replicas that it avoids."""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent, SendMessage
from gentianworks.core.events.outliers import OutliersChanged, ReplicaFailuresReported
from gentianworks.core.gateway.replicas import Replica
from gentianworks.core.outliers.outcomes import Outcome
from gentianworks.core.reducer import reduce
from gentianworks.core.state import State


@reduce.register
def _(event: OutliersChanged, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    if gateway is None:
        return []
    gateway.outliers.avoid(event.ejected, now)
    return [LogEvent("GW5141", (("replicas", " ".join(sorted(event.ejected))),))]


def record_outcome(
    replica: Replica, is_failure: bool, state: State, now: float
) -> list[Effect]:
    """Record an answer or failure of a replica, and report failures to the leader."""
    gateway = state.gateway
    if gateway is None or not gateway.outliers.is_enabled:
        return []
    service = replica.service
    recent = gateway.outliers.recent
    recent.record(service, Outcome(replica.name, is_failure, now))
    leader = state.fleet.leader_address
    if not is_failure or not leader:
        return []
    replicas = len(gateway.registry.list_usable(service))
    report = recent.take_report(replica.name, service, replicas, now)
    if report is None:
        return []
    message = ReplicaFailuresReported(state.node.name, state.node.peer_address, report)
    return [SendMessage(leader, message)]
