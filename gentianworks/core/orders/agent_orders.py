"""Agent orders: an agent's handlers, which keep superseded orders from its engine."""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent
from gentianworks.core.effects.orders import SendOrder
from gentianworks.core.events.orders import (
    FencingAnswered,
    FencingWanted,
    OrderAnswered,
    OrderGiven,
    OrderReported,
)
from gentianworks.core.orders.fencing import FencingGuard, OrderStatus
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.control_hosts import send_to_control
from gentianworks.core.state import State
from gentianworks.core.types import EndpointName


@reduce.register
def _(event: OrderGiven, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None or event.order.endpoint != agent.endpoint:
        return []
    guard = agent.fencing
    if not guard.is_confirmed:
        return _request_fencing(agent.endpoint, guard, state)
    if guard.is_in_flight or event.order.number < guard.floor:
        return []
    guard.raise_floor(event.order.number)
    if guard.status is not OrderStatus.PENDING:
        return _report_status(guard, state)
    guard.is_in_flight = True
    return [SendOrder(event.order)]


def _request_fencing(
    endpoint: EndpointName, guard: FencingGuard, state: State
) -> list[Effect]:
    guard.send_count += 1
    message = FencingWanted(
        sender=state.node.name,
        peer_address=state.node.peer_address,
        endpoint=endpoint,
        incarnation=state.incarnation,
    )
    return send_to_control(message, guard.send_count, state)


def _report_status(guard: FencingGuard, state: State) -> list[Effect]:
    guard.send_count += 1
    message = OrderReported(state.node.name, guard.floor, guard.status)
    return send_to_control(message, guard.send_count, state)


@reduce.register
def _(event: FencingAnswered, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None or event.endpoint != agent.endpoint:
        return []
    if event.incarnation != state.incarnation:
        return []
    agent.fencing.is_confirmed = True
    agent.fencing.raise_floor(event.number + 1)
    return []


@reduce.register
def _(event: OrderAnswered, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None:
        return []
    guard = agent.fencing
    guard.is_in_flight = False
    guard.status = event.status
    if event.status is OrderStatus.PENDING:
        return []
    details = (("number", str(event.number)), ("status", event.status.value))
    return [LogEvent("GW3004", details), *_report_status(guard, state)]
