"""Control orders: a control host's handlers for operators' orders to engines."""

from __future__ import annotations

from gentianworks.core.commands.base import (
    Command,
    apply_command,
    handle_outcome,
    handle_unknown_outcome,
)
from gentianworks.core.commands.fencing import (
    IssueOrder,
    OrderIssued,
    OrderSettled,
    SettleOrder,
)
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage
from gentianworks.core.effects.operators import AnswerOperator
from gentianworks.core.events.membership import Heartbeat
from gentianworks.core.events.orders import (
    FencingAnswered,
    FencingConfirmed,
    FencingWanted,
    OrderGiven,
    OrderReported,
    OrderRequested,
)
from gentianworks.core.operators.audit import AuditAction
from gentianworks.core.operators.audited_actions import record_action
from gentianworks.core.operators.read_requests import refuse_pending_request
from gentianworks.core.operators.reports import OrderReport
from gentianworks.core.orders.fencing import MAX_PENDING_ORDERS, Order
from gentianworks.core.orders.records import OrderRecord
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.proposals import confirm_read, propose
from gentianworks.core.replication.replicated_state import ReplicatedState
from gentianworks.core.state import State
from gentianworks.core.types import EndpointName, Problem, ProblemKind, Role


@reduce.register
def _(event: OrderRequested, state: State, now: float) -> list[Effect]:
    state.operators.pending_requests[event.exchange] = event
    detail = _validate_order(event, state)
    if detail:
        problem = Problem(ProblemKind.BAD_REQUEST, detail)
        return refuse_pending_request(event.exchange, problem, state)
    command = IssueOrder(
        proposal=event.exchange,
        proposed_at=now,
        operator=event.operator,
        endpoint=event.endpoint,
        kind=event.kind,
        value=event.value,
        load_time=event.size / state.store_rate,
        request=event.request,
    )
    return propose(command, state, now)


def _validate_order(event: OrderRequested, state: State) -> str:
    """Return a description of the error in an order, or an empty string."""
    if not event.request:
        return "The order has no id; set `request` to a unique one."
    if state.configuration.find_endpoint(event.endpoint) is None:
        return f"No endpoint is named {event.endpoint!r}; use a configured name."
    return ""


@apply_command.register
def _(command: IssueOrder, replicated: ReplicatedState) -> OrderIssued:
    earlier = replicated.order_records.find(command.request)
    if earlier is None:
        record = _issue(command, replicated)
        if command.request:
            replicated.order_records.add(record)
        return OrderIssued(record)
    is_same = earlier.has_same_contents(
        command.operator, command.endpoint, command.kind, command.value
    )
    if is_same:
        return OrderIssued(earlier, is_repeated=True)
    return OrderIssued(_build_record(command, problem=_describe_reuse(earlier)))


def _issue(command: IssueOrder, replicated: ReplicatedState) -> OrderRecord:
    description = f"{command.kind.value} {command.value} at {command.endpoint}"
    if replicated.orders.has_full_queue(command.endpoint):
        problem = _describe_full_queue(command.endpoint)
        detail = f"{problem.kind.value}: {description}"
        record_action(
            command, command.operator, AuditAction.REFUSED, detail, replicated
        )
        return _build_record(command, problem=problem)
    order = replicated.orders.issue(
        command.endpoint,
        command.kind,
        command.value,
        command.load_time,
        command.proposed_at,
    )
    detail = f"order {order.number}: {description}"
    record_action(command, command.operator, AuditAction.ORDERED, detail, replicated)
    return _build_record(command, order=order)


def _build_record(
    command: IssueOrder, order: Order | None = None, problem: Problem | None = None
) -> OrderRecord:
    return OrderRecord(
        request=command.request,
        operator=command.operator,
        endpoint=command.endpoint,
        kind=command.kind,
        value=command.value,
        order=order,
        problem=problem,
    )


def _describe_reuse(earlier: OrderRecord) -> Problem:
    return Problem(
        ProblemKind.ORDER_REUSED,
        f"Request {earlier.request} of {earlier.operator} came before with other "
        f"contents; order without --request to give this one an id of its own.",
    )


def _describe_full_queue(endpoint: EndpointName) -> Problem:
    return Problem(
        ProblemKind.TOO_MANY_ORDERS,
        f"{MAX_PENDING_ORDERS} orders to {endpoint} are pending; see status, and order "
        f"again once its engine has answered some.",
    )


@handle_unknown_outcome.register
def _(command: IssueOrder, problem: Problem, state: State, now: float) -> list[Effect]:
    return refuse_pending_request(command.proposal, problem, state)


@handle_outcome.register
def _(outcome: OrderIssued, command: Command, state: State, now: float) -> list[Effect]:
    if state.operators.pending_requests.pop(command.proposal, None) is None:
        return []
    record = outcome.record
    if record.order is None:
        return [AnswerOperator(command.proposal, None, record.problem)]
    report = OrderReport(record.order, record.request, outcome.is_repeated)
    return [AnswerOperator(command.proposal, report)]


def send_due_order(event: Heartbeat, state: State, now: float) -> list[Effect]:
    """Send an agent its endpoint's due order, in answer to each heartbeat."""
    if not state.configuration.find_endpoint_at(event.endpoint, event.peer_address):
        return []
    order = state.control.replicated.orders.find_due(event.endpoint, now)
    if order is None:
        return []
    return [SendMessage(event.peer_address, OrderGiven(state.node.name, order))]


@reduce.register
def _(event: FencingWanted, state: State, now: float) -> list[Effect]:
    if state.node.role is not Role.CONTROL:
        return []
    return confirm_read(FencingConfirmed(event), state, now)


@reduce.register
def _(event: FencingConfirmed, state: State, now: float) -> list[Effect]:
    endpoint = event.request.endpoint
    number = state.control.replicated.orders.get_floor(endpoint)
    answer = FencingAnswered(
        state.node.name, endpoint, number, event.request.incarnation
    )
    return [SendMessage(event.request.peer_address, answer)]


@reduce.register
def _(event: OrderReported, state: State, now: float) -> list[Effect]:
    if state.node.role is not Role.CONTROL:
        return []
    command = SettleOrder(
        proposal=state.create_id(),
        proposed_at=now,
        number=event.number,
        status=event.status,
    )
    return propose(command, state, now)


@apply_command.register
def _(command: SettleOrder, replicated: ReplicatedState) -> OrderSettled:
    replicated.orders.settle(command.number, command.status)
    return OrderSettled()


@handle_outcome.register
def _(
    outcome: OrderSettled, command: Command, state: State, now: float
) -> list[Effect]:
    return []
