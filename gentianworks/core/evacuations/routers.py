"""Routers: a router's handlers for evacuations of availability zones."""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent, SetTimer
from gentianworks.core.evacuations.registry import LIST_LAG
from gentianworks.core.events.evacuations import EvacuationsChanged, ZoneReopeningDue
from gentianworks.core.reducer import reduce
from gentianworks.core.state import State
from gentianworks.core.types import Role


@reduce.register
def _(event: EvacuationsChanged, state: State, now: float) -> list[Effect]:
    if state.node.role is not Role.ROUTER:
        return []
    return update_evacuations(event.revision, event.zones, state, now)


def update_evacuations(
    revision: int, zones: tuple[str, ...], state: State, now: float
) -> list[Effect]:
    """Put the evacuated zones in force on this router, if they are newer."""
    known = state.evacuations
    before = known.revision
    cold_time = _find_longest_cold_time(state)
    reopened = known.update(revision, zones, cold_time > 0, now)
    if known.revision == before:
        return []
    details = (
        ("revision", str(revision)),
        ("zones", " ".join(sorted(known.zones))),
        ("reopened", " ".join(sorted(reopened))),
    )
    effects: list[Effect] = [LogEvent("GW5130", details)]
    if cold_time:
        # By then, a replica that was cold at the withdrawal has warmed up.
        due_at = now + LIST_LAG + cold_time
        effects += [SetTimer(due_at, ZoneReopeningDue(zone, now)) for zone in reopened]
    return effects


def _find_longest_cold_time(state: State) -> float:
    """Return the longest time in seconds for which replicas are cold, or 0."""
    table = state.gateway.table if state.gateway else None
    services = table.services if table else ()
    return max((item.cold_time for item in services if item.cold_rate), default=0.0)


@reduce.register
def _(event: ZoneReopeningDue, state: State, now: float) -> list[Effect]:
    known, gateway = state.evacuations, state.gateway
    has_waited = known.end_wait(event.zone, event.withdrawn_at)
    if not has_waited or gateway is None:
        return []
    if gateway.registry.current_at >= event.withdrawn_at + LIST_LAG:
        return []
    age = now - gateway.registry.current_at
    return [LogEvent("GW5131", (("zone", event.zone), ("list_age", f"{age:.2f}")))]
