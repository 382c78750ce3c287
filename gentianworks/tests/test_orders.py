"""Tests of orders to engines under fencing numbers."""

from __future__ import annotations

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.commands.base import apply_command
from gentianworks.core.commands.fencing import IssueOrder, OrderIssued
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage
from gentianworks.core.effects.operators import AnswerOperator
from gentianworks.core.effects.orders import SendOrder
from gentianworks.core.events.orders import (
    FencingAnswered,
    FencingWanted,
    OrderAnswered,
    OrderGiven,
    OrderReported,
    OrderRequested,
)
from gentianworks.core.handlers import reduce
from gentianworks.core.membership.heartbeats import build_heartbeat
from gentianworks.core.orders.control_orders import send_due_order
from gentianworks.core.orders.fencing import (
    MAX_PENDING_ORDERS,
    Order,
    OrderKind,
    OrderRegistry,
    OrderStatus,
)
from gentianworks.core.replication.replicated_state import ReplicatedState
from gentianworks.core.state import State
from gentianworks.core.types import Node, ProblemKind, Role
from gentianworks.tests.fixtures import NOW, build_agent_at, build_state

LOAD_TIME = 30.0  # seconds


def build_agent() -> State:
    """Return the state of an agent that has just started."""
    return State(
        node=Node("agent", Role.AGENT, "r", "a", "agent", "agent"),
        control_addresses=("control",),
        agent=AgentState("e1"),
    )


def send_order(state: State, number: int) -> list[Effect]:
    """Send an agent an order."""
    order = Order(number, "e1", OrderKind.LOAD_VERSION, f"v{number}", NOW)
    return reduce(OrderGiven("control", order), state, NOW)


def list_numbers(effects: list[Effect]) -> list[int]:
    """Return the numbers of the orders that are sent to the engine."""
    return [item.order.number for item in effects if isinstance(item, SendOrder)]


class TestFencingGuard:
    def test_asks_the_quorum_before_it_sends_the_first_order(self) -> None:
        state = build_agent()
        (send,) = (
            item for item in send_order(state, 5) if isinstance(item, SendMessage)
        )
        assert isinstance(send.message, FencingWanted)
        reduce(FencingAnswered("control", "e1", 4, 0), state, NOW)
        assert list_numbers(send_order(state, 4)) == []
        assert list_numbers(send_order(state, 5)) == [5]

    def test_never_sends_an_older_order(self) -> None:
        state = build_agent()
        reduce(FencingAnswered("control", "e1", 0, 0), state, NOW)
        assert list_numbers(send_order(state, 7)) == [7]
        reduce(OrderAnswered(7, OrderStatus.TAKEN), state, NOW)
        assert list_numbers(send_order(state, 6)) == []

    def test_sends_an_order_once_and_reports_it_until_it_is_settled(self) -> None:
        state = build_agent()
        reduce(FencingAnswered("control", "e1", 0, 0), state, NOW)
        send_order(state, 1)
        assert list_numbers(send_order(state, 1)) == []
        reduce(OrderAnswered(1, OrderStatus.TAKEN), state, NOW)
        (send,) = (
            item for item in send_order(state, 1) if isinstance(item, SendMessage)
        )
        assert send.message == OrderReported("agent", 1, OrderStatus.TAKEN)

    def test_resends_an_order_that_a_former_incarnation_did_not_report(
        self,
    ) -> None:
        state = build_agent()
        reduce(FencingAnswered("control", "e1", 0, 0), state, NOW)
        assert list_numbers(send_order(state, 1)) == [1]
        restarted = build_agent()
        assert list_numbers(send_order(restarted, 1)) == []
        reduce(FencingAnswered("control", "e1", 0, 0), restarted, NOW)
        assert list_numbers(send_order(restarted, 1)) == [1]

    def test_resends_no_settled_order_after_a_restart(self) -> None:
        restarted = build_agent()
        reduce(FencingAnswered("control", "e1", 1, 0), restarted, NOW)
        assert list_numbers(send_order(restarted, 1)) == []
        assert list_numbers(send_order(restarted, 2)) == [2]

    def test_rejects_an_answer_to_a_former_incarnation(self) -> None:
        restarted = build_agent()
        restarted.incarnation = 2
        reduce(FencingAnswered("control", "e1", 3, 1), restarted, NOW)
        assert list_numbers(send_order(restarted, 4)) == []
        reduce(FencingAnswered("control", "e1", 5, 2), restarted, NOW)
        assert list_numbers(send_order(restarted, 4)) == []
        assert list_numbers(send_order(restarted, 6)) == [6]

    def test_retries_an_engine_that_was_not_reached(self) -> None:
        state = build_agent()
        reduce(FencingAnswered("control", "e1", 0, 0), state, NOW)
        send_order(state, 1)
        reduce(OrderAnswered(1, OrderStatus.PENDING), state, NOW)
        assert list_numbers(send_order(state, 1)) == [1]


class TestSendDueOrder:
    def test_sends_an_order_only_to_the_declared_agent(self) -> None:
        control = build_state(Role.CONTROL)
        registry = control.control.replicated.orders
        registry.issue("chat-1", OrderKind.CHANGE_ROLE, "decode", 0.0, NOW)
        declared = build_heartbeat(build_agent_at("tcp://127.0.0.1:1"), NOW)
        elsewhere = build_heartbeat(build_agent_at("tcp://127.0.0.1:99"), NOW)
        assert send_due_order(elsewhere, control, NOW) == []
        (send,) = send_due_order(declared, control, NOW)
        assert isinstance(send, SendMessage)
        assert send.address == "tcp://127.0.0.1:1"


class TestOrderRegistry:
    def test_spaces_loads_by_the_rate_of_the_store(self) -> None:
        registry = OrderRegistry()
        for endpoint in ("e1", "e2"):
            registry.issue(endpoint, OrderKind.LOAD_MODEL, "m", LOAD_TIME, NOW)
        registry.issue("e3", OrderKind.CHANGE_ROLE, "decode", 0.0, NOW)
        assert registry.find_due("e1", NOW) is not None
        assert registry.find_due("e2", NOW) is None
        assert registry.find_due("e2", NOW + LOAD_TIME) is not None
        assert registry.find_due("e3", NOW) is not None

    def test_orders_of_an_endpoint_fall_due_one_at_a_time(self) -> None:
        registry = OrderRegistry()
        for value in ("a", "b"):
            registry.issue("e1", OrderKind.CHANGE_ROLE, value, 0.0, NOW)
        first = registry.find_due("e1", NOW)
        assert first is not None
        registry.settle(first.number, OrderStatus.TAKEN)
        second = registry.find_due("e1", NOW)
        assert second is not None
        assert second.number > first.number
        assert registry.get_floor("e1") == first.number


def apply_order(
    replicated: ReplicatedState, request: str, value: str = "decode"
) -> OrderIssued:
    """Apply an operator's order to the replicated state."""
    command = IssueOrder(
        proposal=f"proposal of {request}",
        proposed_at=NOW,
        operator="olwen",
        endpoint="e1",
        kind=OrderKind.CHANGE_ROLE,
        value=value,
        load_time=0.0,
        request=request,
    )
    outcome = apply_command(command, replicated)
    assert isinstance(outcome, OrderIssued)
    return outcome


class TestOrderRecords:
    def test_a_resent_order_gets_its_first_answer(self) -> None:
        replicated = ReplicatedState()
        first, again = apply_order(replicated, "r1"), apply_order(replicated, "r1")
        assert first.record.order is not None
        assert again.record == first.record
        assert again.is_repeated
        assert len(replicated.orders.pending) == 1
        assert len(replicated.audit.list_after(0, 9)) == 1

    def test_a_reused_id_with_other_contents_is_refused(self) -> None:
        replicated = ReplicatedState()
        apply_order(replicated, "r1")
        problem = apply_order(replicated, "r1", "prefill").record.problem
        assert problem is not None
        assert problem.kind is ProblemKind.ORDER_REUSED
        assert len(replicated.orders.pending) == 1

    def test_orders_beyond_the_limit_are_refused_permanently(self) -> None:
        replicated = ReplicatedState()
        for number in range(MAX_PENDING_ORDERS):
            apply_order(replicated, f"r{number}")
        refused = apply_order(replicated, "late").record
        assert refused.problem is not None
        assert refused.problem.kind is ProblemKind.TOO_MANY_ORDERS
        replicated.orders.settle(1, OrderStatus.TAKEN)
        assert apply_order(replicated, "late").record == refused
        assert apply_order(replicated, "later").record.order is not None

    def test_an_order_without_an_id_is_refused(self) -> None:
        state = build_state(Role.CONTROL)
        event = OrderRequested("x1", "olwen", "", "chat-1", OrderKind.CHANGE_ROLE, "d")
        (answer,) = reduce(event, state, NOW)
        assert isinstance(answer, AnswerOperator)
        assert answer.problem is not None
        assert answer.problem.kind is ProblemKind.BAD_REQUEST
