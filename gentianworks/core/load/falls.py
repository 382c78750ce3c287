"""Load falls: a control host announces sums that fall between heartbeats.

Only the endpoints that could be above the new bound are sent the sum; the others get it
in the answers to their heartbeats.
"""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage, SetTimer
from gentianworks.core.events.membership import LoadFell, LoadFellDue, LoadReport
from gentianworks.core.load.bound import LoadBound, compute_fresh_bound
from gentianworks.core.load.sums import compute_service_total
from gentianworks.core.load.table import SentSum
from gentianworks.core.membership.roster import HEARTBEAT_TIMEOUT
from gentianworks.core.reducer import reduce
from gentianworks.core.state import State
from gentianworks.core.types import (
    EndpointName,
    Service,
    ServiceKind,
    ServiceLoad,
)

MIN_ANNOUNCEMENT_INTERVAL = 0.02  # seconds
MAX_ANNOUNCEMENT_RATE = 5000.0  # endpoints a second


@reduce.register
def _(event: LoadReport, state: State, now: float) -> list[Effect]:
    if not state.load_table.record_report(event, now):
        return []
    state.roster.record_report(event)
    return announce_fall(event.endpoint, state, now)


def announce_fall(endpoint: EndpointName, state: State, now: float) -> list[Effect]:
    """Announce the sum if the last load received from `endpoint` has lowered it."""
    service = _find_service(endpoint, state)
    if service is None or not state.load_table.falls.sent_sums:
        return []
    total = compute_service_total(service.name, state, now)
    announcement = state.load_table.falls.get_announcement(service.name)
    if announcement.is_scheduled:
        return []
    bound = compute_fresh_bound(service, total.load)
    if not bound.is_below(compute_fresh_bound(service, announcement.highest_sum)):
        announcement.highest_sum = total.load
        return _send_sum([endpoint], service, total, state, now)
    due = announcement.sent_at + _compute_interval(service, state)
    if now < due:
        announcement.is_scheduled = True
        return [SetTimer(due, LoadFellDue(service.name))]
    return _announce_to_all(service, total, state, now)


def _compute_interval(service: Service, state: State) -> float:
    """Return the seconds between two announcements to all endpoints of a service."""
    endpoints = state.configuration.list_endpoints(service.name)
    return max(MIN_ANNOUNCEMENT_INTERVAL, len(endpoints) / MAX_ANNOUNCEMENT_RATE)


def _find_service(endpoint: EndpointName, state: State) -> Service | None:
    declared = state.configuration.find_endpoint(endpoint)
    if declared is None:
        return None
    service = state.configuration.find_service(declared.service)
    is_model = service is not None and service.kind is ServiceKind.MODEL
    return service if is_model else None


def _announce_to_all(
    service: Service, total: ServiceLoad, state: State, now: float
) -> list[Effect]:
    """Send a sum that has fallen to all endpoints that could be above its bound."""
    announcement = state.load_table.falls.get_announcement(service.name)
    announcement.sent_at = now
    announcement.highest_sum = total.load
    endpoints = state.configuration.list_endpoints(service.name)
    return _send_sum([item.name for item in endpoints], service, total, state, now)


def _send_sum(
    endpoints: list[EndpointName],
    service: Service,
    total: ServiceLoad,
    state: State,
    now: float,
) -> list[Effect]:
    bound = compute_fresh_bound(service, total.load)
    message = LoadFell(state.node.name, state.node.peer_address, total)
    effects: list[Effect] = []
    for name in endpoints:
        endpoint = state.configuration.find_endpoint(name)
        if endpoint and _needs_sum(endpoint.name, service, bound, state, now):
            state.load_table.falls.sent_sums[name] = SentSum(total.load, now)
            effects.append(SendMessage(endpoint.peer_address, message))
    return effects


def _needs_sum(
    endpoint: EndpointName, service: Service, bound: LoadBound, state: State, now: float
) -> bool:
    """Return whether an endpoint could be above a bound that it wasn't sent."""
    sent = state.load_table.falls.sent_sums.get(endpoint)
    received = state.load_table.loads.get(endpoint)
    if sent is None or received is None or now - sent.sent_at >= HEARTBEAT_TIMEOUT:
        return False
    highest = compute_fresh_bound(service, sent.load)
    return bound.may_be_exceeded(received.load) and bound.is_below(highest)


@reduce.register
def _(event: LoadFellDue, state: State, now: float) -> list[Effect]:
    service = state.configuration.find_service(event.service)
    state.load_table.falls.get_announcement(event.service).is_scheduled = False
    if service is None:
        return []
    return _announce_to_all(
        service, compute_service_total(service.name, state, now), state, now
    )
