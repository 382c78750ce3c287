"""Tests of the load sums that any control host sends while no leader does."""

from __future__ import annotations

import pytest
from attrs import evolve

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage
from gentianworks.core.events.lifecycle import ProcessStarted
from gentianworks.core.events.membership import (
    Heartbeat,
    HeartbeatAnswer,
    HeartbeatDue,
    LivenessCheckDue,
    LoadFell,
    LoadReport,
    LoadSum,
    LoadSumOverdue,
)
from gentianworks.core.handlers import reduce
from gentianworks.core.load import sums as load_sums
from gentianworks.core.load.agent_bounds import compute_agent_bound
from gentianworks.core.load.reports import report_load_change
from gentianworks.core.load.sums import compute_service_total
from gentianworks.core.load.table import BACKLOG_TIME
from gentianworks.core.membership import heartbeats
from gentianworks.core.membership.fleet import HEARTBEAT_INTERVAL
from gentianworks.core.membership.heartbeats import LOAD_TIMEOUT, SUM_TIMEOUT
from gentianworks.core.state import State
from gentianworks.core.types import Load, Role, ServiceLoad
from gentianworks.tests.agents import filter_effects
from gentianworks.tests.fixtures import NOW, build_agent_at, build_state

CONTROLS = ("tcp://a", "tcp://b", "tcp://c")
BUSY = ServiceLoad("chat", Load(requests=50, cost=1000, endpoints=5))

LEADER_SETTLE_TIME = 1.25  # seconds


def send_heartbeat(
    state: State, number: int, now: float = NOW, asks_sum: bool = True
) -> list[LoadSum]:
    heartbeat = Heartbeat(
        sender=f"agent-{number}",
        endpoint=f"chat-{number}",
        incarnation=1,
        is_leaving=False,
        load=Load(requests=10, cost=100, endpoints=1),
        revision=1,
        peer_address=f"tcp://127.0.0.1:{number}",
        sent_at=now - 1.0,
        asks_sum=asks_sum,
    )
    return find_sums(reduce(heartbeat, state, now))


def find_sums(effects: list[Effect]) -> list[LoadSum]:
    messages = [item.message for item in filter_effects(SendMessage, effects)]
    return [item for item in messages if isinstance(item, LoadSum)]


def build_follower() -> State:
    state = build_state(Role.CONTROL)
    reduce(LivenessCheckDue(), state, NOW)
    return state


def build_agent() -> State:
    """Return an agent whose leader answered its last heartbeat."""
    state = build_agent_at("tcp://127.0.0.1:1")
    state.control_addresses = CONTROLS
    reduce(ProcessStarted(7), state, NOW)
    answer = HeartbeatAnswer("c", "tcp://b", 1, (BUSY,), ())
    reduce(answer, state, NOW)
    return state


def receive_sum(
    state: State, total: Load, source: str, at: float, is_whole: bool = True
) -> Load:
    """Deliver a sum to the agent and return the load that it then uses."""
    answer = LoadSum("c", source, ServiceLoad("chat", total), at, is_whole)
    reduce(answer, state, at)
    return state.fleet.loads["chat"].load


class TestControl:
    def test_sends_the_sum_without_leading(self) -> None:
        state = build_follower()
        for number in range(1, 5):
            send_heartbeat(state, number)
        answer = send_heartbeat(state, 5)[-1]
        assert answer.is_whole
        assert answer.total.load == Load(requests=50, cost=500, endpoints=5)

    def test_counts_endpoints_of_unknown_load_as_idle(self) -> None:
        state = build_follower()
        send_heartbeat(state, 1)
        (answer,) = send_heartbeat(state, 2)
        assert not answer.is_whole
        assert answer.total.load == Load(requests=20, cost=200, endpoints=5)

    def test_answers_again_once_the_sum_is_complete(self) -> None:
        state = build_follower()
        for number in range(1, 5):
            send_heartbeat(state, number)
        assert len(send_heartbeat(state, 5, asks_sum=False)) == 4
        assert send_heartbeat(state, 5, asks_sum=False) == []

    def test_removes_loads_that_are_not_reported_again(self) -> None:
        state = build_follower()
        send_heartbeat(state, 1)
        reduce(LivenessCheckDue(), state, NOW + LOAD_TIMEOUT)
        (answer,) = send_heartbeat(state, 2, NOW + LOAD_TIMEOUT)
        assert answer.total.load.requests == 10

    def test_sends_no_sum_from_the_backlog_of_a_pause(self) -> None:
        state = build_follower()
        resumed = NOW + 5.0
        assert send_heartbeat(state, 1, resumed) == []
        reduce(LivenessCheckDue(), state, resumed)
        assert send_heartbeat(state, 1, resumed + 0.1) == []
        for step in range(1, 6):
            reduce(LivenessCheckDue(), state, resumed + step * BACKLOG_TIME / 4)
        assert send_heartbeat(state, 1, resumed + 1.2 * BACKLOG_TIME) != []

    def test_accepts_a_load_only_from_the_declared_address(self) -> None:
        state = build_follower()
        first, *others = state.configuration.endpoints
        moved = evolve(first, peer_address="tcp://127.0.0.1:99")
        state.configuration = evolve(state.configuration, endpoints=(moved, *others))
        assert send_heartbeat(state, 1) == []
        assert state.load_table.loads == {}

    def test_ignores_a_report_of_another_incarnation(self) -> None:
        state = build_follower()
        send_heartbeat(state, 1)
        for incarnation, load in ((1, Load(7, 70, 0, 1)), (2, Load(endpoints=1))):
            reduce(LoadReport("agent-1", "chat-1", incarnation, load), state, NOW)
        assert state.load_table.sums["chat"].load.requests == 7


class TestLeader:
    def test_sums_only_live_endpoints_once_nodes_had_time_to_find_it(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        state = build_follower()
        for module in (heartbeats, load_sums):
            monkeypatch.setattr(module, "is_leading", lambda state, now: True)
        reduce(LivenessCheckDue(), state, NOW)
        early = NOW + LEADER_SETTLE_TIME - 0.1
        totals = []
        for now in (early, NOW + LEADER_SETTLE_TIME):
            reduce(LivenessCheckDue(), state, now - 0.05)
            send_heartbeat(state, 1, now, asks_sum=False)
            totals.append(compute_service_total("chat", state, now).load.endpoints)
        assert totals == [5, 1]


class TestAgent:
    def test_queries_the_other_control_hosts_when_the_leader_is_silent(self) -> None:
        state = build_agent()
        sent_at = NOW + HEARTBEAT_INTERVAL
        beat = filter_effects(SendMessage, reduce(HeartbeatDue(), state, sent_at))
        queries = reduce(LoadSumOverdue(sent_at), state, sent_at + SUM_TIMEOUT)
        assert [item.address for item in beat] == ["tcp://b"]
        others = [item.address for item in filter_effects(SendMessage, queries)]
        assert others == ["tcp://a", "tcp://c"]

    def test_still_reports_to_the_leader_what_it_reported_to_others(self) -> None:
        state = build_agent()
        assert state.agent is not None
        state.agent.unknown_calls = frozenset(str(number) for number in range(10))
        sent_at = NOW + HEARTBEAT_INTERVAL
        reduce(HeartbeatDue(), state, sent_at)
        state.agent.unknown_calls = frozenset(["1", "2"])
        reduce(LoadSumOverdue(sent_at), state, sent_at + SUM_TIMEOUT)
        reports = report_load_change(state.agent, state, sent_at + SUM_TIMEOUT)
        assert [item.address for item in filter_effects(SendMessage, reports)] == [
            "tcp://b"
        ]

    def test_queries_no_other_host_when_the_leader_answers(self) -> None:
        state = build_agent()
        sent_at = NOW + HEARTBEAT_INTERVAL
        reduce(HeartbeatDue(), state, sent_at)
        reduce(HeartbeatAnswer("c", "tcp://b", 1, (BUSY,), ()), state, sent_at)
        assert reduce(LoadSumOverdue(sent_at), state, sent_at + SUM_TIMEOUT) == []

    def test_keeps_requesting_the_sum_from_a_leader_without_one(self) -> None:
        state = build_agent()
        for beats in (1, 2):
            now = NOW + beats * HEARTBEAT_INTERVAL
            sent = filter_effects(SendMessage, reduce(HeartbeatDue(), state, now))
            reduce(HeartbeatAnswer("c", "tcp://c", 1, (), ()), state, now)
        assert [item.address for item in sent] == list(CONTROLS)
        messages = [item.message for item in sent]
        assert all(isinstance(item, Heartbeat) and item.asks_sum for item in messages)

    def test_ignores_an_incomplete_sum_while_its_own_allows_more(self) -> None:
        state = build_agent()
        part = Load(requests=20, cost=200, endpoints=5)
        assert receive_sum(state, part, "tcp://a", NOW + 0.6, False) == BUSY.load
        assert receive_sum(state, part, "tcp://a", NOW + 4.5, False) == part

    def test_accepts_a_complete_sum_that_is_lower(self) -> None:
        state = build_agent()
        complete = Load(requests=20, cost=200, endpoints=5)
        assert receive_sum(state, complete, "tcp://a", NOW + 0.6) == complete

    def test_prefers_the_first_address_of_those_that_answer_one_heartbeat(self) -> None:
        state = build_agent()
        first, last = evolve(BUSY.load, requests=41), evolve(BUSY.load, requests=43)
        assert receive_sum(state, last, "tcp://c", NOW + 0.6) == last
        assert receive_sum(state, first, "tcp://a", NOW + 0.6) == first
        assert receive_sum(state, last, "tcp://c", NOW + 0.6) == first

    @pytest.mark.parametrize(
        "message",
        [
            pytest.param(HeartbeatAnswer("c", "tcp://b", 1, (BUSY,), ()), id="answer"),
            pytest.param(LoadFell("c", "tcp://b", BUSY), id="fall"),
        ],
    )
    def test_treats_a_sum_received_after_a_pause_as_old(
        self, message: HeartbeatAnswer | LoadFell
    ) -> None:
        state = build_agent()
        assert state.agent is not None
        reduce(HeartbeatDue(), state, NOW + HEARTBEAT_INTERVAL)
        resumed = NOW + 10.0
        reduce(message, state, resumed)
        bound = compute_agent_bound(state.agent, state, resumed)
        assert bound.requests == state.configuration.services[0].load_floor

    def test_ignores_a_sum_for_an_older_heartbeat(self) -> None:
        state = build_agent()
        receive_sum(state, evolve(BUSY.load, requests=41), "tcp://a", NOW + 0.6)
        old = evolve(BUSY.load, requests=70)
        assert receive_sum(state, old, "tcp://a", NOW + 0.5).requests == 41
