"""Tests of sums that any control host tells while no leader does."""

from __future__ import annotations

import pytest
from attrs import evolve

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage
from gentianworks.core.events.lifecycle import Started
from gentianworks.core.events.membership import (
    Heartbeat,
    HeartbeatAnswer,
    HeartbeatDue,
    LoadFell,
    LoadReport,
    LoadSum,
    SumDue,
    SweepDue,
)
from gentianworks.core.handlers import reduce
from gentianworks.core.load import sums as load_sums
from gentianworks.core.load.bounds import find_bound
from gentianworks.core.load.reports import report_change
from gentianworks.core.load.sums import find_total
from gentianworks.core.load.table import BACKLOG_TIME
from gentianworks.core.membership import heartbeats
from gentianworks.core.membership.fleet import HEARTBEAT_INTERVAL
from gentianworks.core.membership.heartbeats import LOAD_TIMEOUT, SUM_TIMEOUT
from gentianworks.core.state import State
from gentianworks.core.types import Load, Role, ServiceLoad
from gentianworks.tests.agents import find
from gentianworks.tests.fixtures import NOW, build_agent_at, build_state

CONTROLS = ("tcp://a", "tcp://b", "tcp://c")
BUSY = ServiceLoad("chat", Load(requests=50, cost=1000, endpoints=5))

TURN_TIME = 1.25  # seconds


def ask(
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
    messages = [item.message for item in find(SendMessage, effects)]
    return [item for item in messages if isinstance(item, LoadSum)]


def build_follower() -> State:
    state = build_state(Role.CONTROL)
    reduce(SweepDue(), state, NOW)
    return state


def build_agent() -> State:
    """Return an agent whose leader answered its last heartbeat."""
    state = build_agent_at("tcp://127.0.0.1:1")
    state.control_addresses = CONTROLS
    reduce(Started(7), state, NOW)
    answer = HeartbeatAnswer("c", "tcp://b", 1, (BUSY,), ())
    reduce(answer, state, NOW)
    return state


def tell(
    state: State, total: Load, source: str, at: float, is_whole: bool = True
) -> Load:
    """Let a control host tell a sum and return the one that the agent then holds."""
    told = LoadSum("c", source, ServiceLoad("chat", total), at, is_whole)
    reduce(told, state, at)
    return state.fleet.loads["chat"].load


class TestControl:
    def test_tells_the_sum_without_leading(self) -> None:
        state = build_follower()
        for number in range(1, 5):
            ask(state, number)
        told = ask(state, 5)[-1]
        assert told.is_whole
        assert told.total.load == Load(requests=50, cost=500, endpoints=5)

    def test_counts_what_it_has_not_heard_as_idle(self) -> None:
        state = build_follower()
        ask(state, 1)
        (told,) = ask(state, 2)
        assert not told.is_whole
        assert told.total.load == Load(requests=20, cost=200, endpoints=5)

    def test_answers_again_once_the_sum_is_whole(self) -> None:
        state = build_follower()
        for number in range(1, 5):
            ask(state, number)
        assert len(ask(state, 5, asks_sum=False)) == 4
        assert ask(state, 5, asks_sum=False) == []

    def test_forgets_loads_that_are_not_told_again(self) -> None:
        state = build_follower()
        ask(state, 1)
        reduce(SweepDue(), state, NOW + LOAD_TIMEOUT)
        (told,) = ask(state, 2, NOW + LOAD_TIMEOUT)
        assert told.total.load.requests == 10

    def test_tells_nothing_from_the_backlog_of_a_freeze(self) -> None:
        state = build_follower()
        thawed = NOW + 5.0
        assert ask(state, 1, thawed) == []
        reduce(SweepDue(), state, thawed)
        assert ask(state, 1, thawed + 0.1) == []
        for step in range(1, 6):
            reduce(SweepDue(), state, thawed + step * BACKLOG_TIME / 4)
        assert ask(state, 1, thawed + 1.2 * BACKLOG_TIME) != []

    def test_hears_an_endpoint_only_from_its_declared_address(self) -> None:
        state = build_follower()
        first, *others = state.configuration.endpoints
        moved = evolve(first, peer_address="tcp://127.0.0.1:99")
        state.configuration = evolve(state.configuration, endpoints=(moved, *others))
        assert ask(state, 1) == []
        assert state.load_table.heard == {}

    def test_takes_no_report_of_an_agent_that_has_started_anew(self) -> None:
        state = build_follower()
        ask(state, 1)
        for incarnation, load in ((1, Load(7, 70, 0, 1)), (2, Load(endpoints=1))):
            reduce(LoadReport("agent-1", "chat-1", incarnation, load), state, NOW)
        assert state.load_table.sums["chat"].load.requests == 7


class TestLeader:
    def test_tells_the_sum_of_live_endpoints_once_nodes_had_time_to_turn_to_it(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        state = build_follower()
        for module in (heartbeats, load_sums):
            monkeypatch.setattr(module, "is_leading", lambda state, now: True)
        reduce(SweepDue(), state, NOW)
        early = NOW + TURN_TIME - 0.1
        totals = []
        for now in (early, NOW + TURN_TIME):
            reduce(SweepDue(), state, now - 0.05)
            ask(state, 1, now, asks_sum=False)
            totals.append(find_total("chat", state, now).load.endpoints)
        assert totals == [5, 1]


class TestAgent:
    def test_asks_the_other_control_hosts_when_the_leader_is_silent(self) -> None:
        state = build_agent()
        sent_at = NOW + HEARTBEAT_INTERVAL
        beat = find(SendMessage, reduce(HeartbeatDue(), state, sent_at))
        asked = reduce(SumDue(sent_at), state, sent_at + SUM_TIMEOUT)
        assert [item.address for item in beat] == ["tcp://b"]
        others = [item.address for item in find(SendMessage, asked)]
        assert others == ["tcp://a", "tcp://c"]

    def test_still_reports_to_the_leader_what_it_told_the_others(self) -> None:
        state = build_agent()
        assert state.agent is not None
        state.agent.unknown_calls = frozenset(str(number) for number in range(10))
        sent_at = NOW + HEARTBEAT_INTERVAL
        reduce(HeartbeatDue(), state, sent_at)
        state.agent.unknown_calls = frozenset(["1", "2"])
        reduce(SumDue(sent_at), state, sent_at + SUM_TIMEOUT)
        reports = report_change(state.agent, state, sent_at + SUM_TIMEOUT)
        assert [item.address for item in find(SendMessage, reports)] == ["tcp://b"]

    def test_asks_nobody_when_the_leader_answers(self) -> None:
        state = build_agent()
        sent_at = NOW + HEARTBEAT_INTERVAL
        reduce(HeartbeatDue(), state, sent_at)
        reduce(HeartbeatAnswer("c", "tcp://b", 1, (BUSY,), ()), state, sent_at)
        assert reduce(SumDue(sent_at), state, sent_at + SUM_TIMEOUT) == []

    def test_goes_on_asking_a_leader_that_tells_no_sum_yet(self) -> None:
        state = build_agent()
        for beats in (1, 2):
            now = NOW + beats * HEARTBEAT_INTERVAL
            sent = find(SendMessage, reduce(HeartbeatDue(), state, now))
            reduce(HeartbeatAnswer("c", "tcp://c", 1, (), ()), state, now)
        assert [item.address for item in sent] == list(CONTROLS)
        asked = [item.message for item in sent]
        assert all(isinstance(item, Heartbeat) and item.asks_sum for item in asked)

    def test_takes_no_sum_that_lacks_loads_while_its_own_allows_more(self) -> None:
        state = build_agent()
        part = Load(requests=20, cost=200, endpoints=5)
        assert tell(state, part, "tcp://a", NOW + 0.6, False) == BUSY.load
        assert tell(state, part, "tcp://a", NOW + 4.5, False) == part

    def test_takes_a_whole_sum_that_is_lower(self) -> None:
        state = build_agent()
        whole = Load(requests=20, cost=200, endpoints=5)
        assert tell(state, whole, "tcp://a", NOW + 0.6) == whole

    def test_follows_the_first_address_of_those_that_answer_one_question(self) -> None:
        state = build_agent()
        first, last = evolve(BUSY.load, requests=41), evolve(BUSY.load, requests=43)
        assert tell(state, last, "tcp://c", NOW + 0.6) == last
        assert tell(state, first, "tcp://a", NOW + 0.6) == first
        assert tell(state, last, "tcp://c", NOW + 0.6) == first

    @pytest.mark.parametrize(
        "message",
        [
            pytest.param(HeartbeatAnswer("c", "tcp://b", 1, (BUSY,), ()), id="answer"),
            pytest.param(LoadFell("c", "tcp://b", BUSY), id="fall"),
        ],
    )
    def test_takes_a_sum_that_waited_for_a_frozen_process_as_old(
        self, message: HeartbeatAnswer | LoadFell
    ) -> None:
        state = build_agent()
        assert state.agent is not None
        reduce(HeartbeatDue(), state, NOW + HEARTBEAT_INTERVAL)
        thawed = NOW + 10.0
        reduce(message, state, thawed)
        bound = find_bound(state.agent, state, thawed)
        assert bound.requests == state.configuration.services[0].load_floor

    def test_takes_no_sum_of_an_older_question(self) -> None:
        state = build_agent()
        tell(state, evolve(BUSY.load, requests=41), "tcp://a", NOW + 0.6)
        old = evolve(BUSY.load, requests=70)
        assert tell(state, old, "tcp://a", NOW + 0.5).requests == 41
