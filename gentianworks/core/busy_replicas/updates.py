"""Updates: how busy replicas are told with heartbeats and their answers."""

from __future__ import annotations

from gentianworks.core.busy_replicas.loads import SharedLoad
from gentianworks.core.events.membership import Heartbeat, HeartbeatAnswer
from gentianworks.core.replica_list.distribution import is_fetcher
from gentianworks.core.state import State


def answer_busy_reports(
    event: Heartbeat, state: State, now: float
) -> tuple[SharedLoad, ...]:
    """Record a router's reports and return the busy replicas of all routers."""
    if state.shared_list is None or event.endpoint or not is_fetcher(state):
        return ()
    table = state.busy_table
    table.record(event.busy_replicas, now)
    return table.list_busy(now)


def apply_busy_replicas(event: HeartbeatAnswer, state: State, now: float) -> None:
    """Use the loads of a leader's busy replicas that are newer than the known ones."""
    gateway = state.gateway
    if gateway is None:
        return
    registry = gateway.registry
    listed = [item for item in event.busy_replicas if item.replica in registry.replicas]
    gateway.busy.names = frozenset(item.replica for item in listed)
    for item in listed:
        load = registry.get_load(item.replica)
        if now - item.age > load.reported_at:
            load.record_report(item.calls, now - item.age)
