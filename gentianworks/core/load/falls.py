"""Load falls: how a control host follows sums that fall between heartbeats.

Only the endpoints that could be above the new bound are told; the others hear the sum
in the answers to their heartbeats.
"""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage, SetTimer
from gentianworks.core.events.membership import LoadFell, LoadFellDue, LoadReport
from gentianworks.core.load.load import Bound, multiply_mean
from gentianworks.core.load.sums import find_total
from gentianworks.core.load.table import ToldSum
from gentianworks.core.membership.roster import HEARTBEAT_TIMEOUT
from gentianworks.core.reducer import reduce
from gentianworks.core.state import State
from gentianworks.core.types import (
    EndpointName,
    Service,
    ServiceKind,
    ServiceLoad,
)

MIN_REVIEW_INTERVAL = 0.02  # seconds
MAX_REVIEW_RATE = 5000.0  # endpoints a second


@reduce.register
def _(event: LoadReport, state: State, now: float) -> list[Effect]:
    if not state.load_table.hear_report(event, now):
        return []
    state.roster.record_report(event)
    return follow_load(event.endpoint, state, now)


def follow_load(endpoint: EndpointName, state: State, now: float) -> list[Effect]:
    """Tell who must know that the load just heard of an endpoint lowers the sum."""
    service = _find_service(endpoint, state)
    if service is None or not state.load_table.falls.told:
        return []
    total = find_total(service.name, state, now)
    review = state.load_table.falls.find_review(service.name)
    if review.is_due:
        return []
    bound = multiply_mean(service, total.load)
    if not bound.is_below(multiply_mean(service, review.highest)):
        review.highest = total.load
        return _tell([endpoint], service, total, state, now)
    due = review.at + _find_interval(service, state)
    if now < due:
        review.is_due = True
        return [SetTimer(due, LoadFellDue(service.name))]
    return _review(service, total, state, now)


def _find_interval(service: Service, state: State) -> float:
    """Return the seconds between two reviews of all endpoints of a service."""
    endpoints = state.configuration.list_endpoints(service.name)
    return max(MIN_REVIEW_INTERVAL, len(endpoints) / MAX_REVIEW_RATE)


def _find_service(endpoint: EndpointName, state: State) -> Service | None:
    declared = state.configuration.find_endpoint(endpoint)
    if declared is None:
        return None
    service = state.configuration.find_service(declared.service)
    is_model = service is not None and service.kind is ServiceKind.MODEL
    return service if is_model else None


def _review(
    service: Service, total: ServiceLoad, state: State, now: float
) -> list[Effect]:
    """Tell a sum that has fallen to all who could be above its bound."""
    review = state.load_table.falls.find_review(service.name)
    review.at = now
    review.highest = total.load
    endpoints = state.configuration.list_endpoints(service.name)
    return _tell([item.name for item in endpoints], service, total, state, now)


def _tell(
    endpoints: list[EndpointName],
    service: Service,
    total: ServiceLoad,
    state: State,
    now: float,
) -> list[Effect]:
    bound = multiply_mean(service, total.load)
    message = LoadFell(state.node.name, state.node.peer_address, total)
    effects: list[Effect] = []
    for name in endpoints:
        endpoint = state.configuration.find_endpoint(name)
        if endpoint and _needs_telling(endpoint.name, service, bound, state, now):
            state.load_table.falls.told[name] = ToldSum(total.load, now)
            effects.append(SendMessage(endpoint.peer_address, message))
    return effects


def _needs_telling(
    endpoint: EndpointName, service: Service, bound: Bound, state: State, now: float
) -> bool:
    """Tell whether an endpoint could be above a bound that it does not know."""
    told = state.load_table.falls.told.get(endpoint)
    heard = state.load_table.heard.get(endpoint)
    if told is None or heard is None or now - told.at >= HEARTBEAT_TIMEOUT:
        return False
    highest = multiply_mean(service, told.load)
    return bound.is_near(heard.load) and bound.is_below(highest)


@reduce.register
def _(event: LoadFellDue, state: State, now: float) -> list[Effect]:
    service = state.configuration.find_service(event.service)
    state.load_table.falls.find_review(event.service).is_due = False
    if service is None:
        return []
    return _review(service, find_total(service.name, state, now), state, now)
