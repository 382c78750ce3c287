"""Discovery: polls the list of replicas and updates the registry from it."""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.gateway import FetchReplicas
from gentianworks.core.effects.lifecycle import LogEvent, SetTimer
from gentianworks.core.events.gateway import (
    ReplicaListDue,
    ReplicaListFailed,
    ReplicaListFetched,
)
from gentianworks.core.gateway.dispatch import dispatch_queued_calls
from gentianworks.core.reducer import reduce
from gentianworks.core.state import State

RETRY_INTERVAL = 0.3  # seconds; repeats a failed poll well within the drain time
POLL_JITTER = 0.2  # of the interval; spreads the polls of the routers


def start_discovery(state: State, now: float) -> list[Effect]:
    """Return the effects that start polling the list of replicas."""
    if state.gateway is None:
        return []
    state.gateway.started_at = now
    return [SetTimer(now, ReplicaListDue())]


@reduce.register
def _(event: ReplicaListDue, state: State, now: float) -> list[Effect]:
    return [FetchReplicas()]


@reduce.register
def _(event: ReplicaListFetched, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    if gateway is None:
        return []
    previous = gateway.registry.replicas
    listed = {item.name: item for item in event.replicas}
    changed = [item for item in listed.values() if previous.get(item.name) != item]
    removed = [item for item in previous.values() if item.name not in listed]
    gateway.registry.update(event.replicas, now)
    gateway.health.retain_replicas(set(listed))
    logs: list[Effect] = [
        LogEvent(
            "GW5102",
            (
                ("replica", item.name),
                ("service", item.service),
                ("address", item.address),
                ("leaving", str(item.is_leaving)),
            ),
        )
        for item in changed
    ]
    logs += [LogEvent("GW5103", (("replica", item.name),)) for item in removed]
    if event.refused:
        logs.append(LogEvent("GW5104", (("entries", str(event.refused)),)))
    state.last_id += 1
    spread = 1 + POLL_JITTER * (state.last_id % 7 / 6 - 0.5)
    due = now + gateway.discovery_interval * spread
    return [SetTimer(due, ReplicaListDue()), *logs, *dispatch_queued_calls(state, now)]


@reduce.register
def _(event: ReplicaListFailed, state: State, now: float) -> list[Effect]:
    log = LogEvent("GW5105", (("detail", event.detail),))
    return [log, SetTimer(now + RETRY_INTERVAL, ReplicaListDue())]
