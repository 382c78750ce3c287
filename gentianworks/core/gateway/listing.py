"""Listing: keeps a gateway's list of replicas up to date."""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.gateway import FetchReplicas
from gentianworks.core.effects.lifecycle import LogEvent, SetTimer
from gentianworks.core.events.gateway import (
    ReplicaListDue,
    ReplicaListFailed,
    ReplicaListFetched,
)
from gentianworks.core.gateway.serving import take_waiting
from gentianworks.core.reducer import reduce
from gentianworks.core.state import State

RETRY_INTERVAL = 0.3  # seconds; a failed call is made again well within the drain time
JITTER = 0.2  # of the interval, so that the routers' calls do not come together


def start_listing(state: State, now: float) -> list[Effect]:
    """Return the effects that begin a gateway's polling of the list."""
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
    known = gateway.book.replicas
    told = {item.name: item for item in event.replicas}
    changed = [item for item in told.values() if known.get(item.name) != item]
    gone = [item for item in known.values() if item.name not in told]
    gateway.book.take(event.replicas, now)
    gateway.health.forget(set(told))
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
    logs += [LogEvent("GW5103", (("replica", item.name),)) for item in gone]
    if event.refused:
        logs.append(LogEvent("GW5104", (("entries", str(event.refused)),)))
    state.last_id += 1
    spread = 1 + JITTER * (state.last_id % 7 / 6 - 0.5)
    due = now + gateway.listing_interval * spread
    return [SetTimer(due, ReplicaListDue()), *logs, *take_waiting(state, now)]


@reduce.register
def _(event: ReplicaListFailed, state: State, now: float) -> list[Effect]:
    log = LogEvent("GW5105", (("detail", event.detail),))
    return [log, SetTimer(now + RETRY_INTERVAL, ReplicaListDue())]
