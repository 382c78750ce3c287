"""Tests of membership: which endpoints are live, leaving or held, and who learns it."""

from __future__ import annotations

import pytest
from attrs import evolve

from gentianworks.codecs.messages import MessageCodec
from gentianworks.core.effects.dispatch import SendDispatch
from gentianworks.core.effects.lifecycle import SendMessage
from gentianworks.core.events.dispatch import Dispatch
from gentianworks.core.events.lifecycle import ShutdownRequested
from gentianworks.core.events.membership import (
    Heartbeat,
    HeartbeatAnswer,
    HeartbeatDue,
    LivenessCheckDue,
    PlatformHost,
    PlatformHostsListed,
)
from gentianworks.core.handlers import reduce
from gentianworks.core.load import sums as load_sums
from gentianworks.core.load.table import REGION_TIMEOUT
from gentianworks.core.membership import heartbeats
from gentianworks.core.membership.fleet import Fleet
from gentianworks.core.membership.roster import HEARTBEAT_TIMEOUT
from gentianworks.core.state import State
from gentianworks.core.types import Load, Role, ServiceLoad
from gentianworks.tests.fixtures import (
    NOW,
    REQUEST,
    build_agent_at,
    build_state,
    get_dispatch,
    send_request,
)

MAX_NODE_BYTES = 5000  # bytes per second
MAX_STATES = 64  # states per answer
REGION_ENDPOINTS = 771


def receive_heartbeat(
    state: State,
    now: float,
    number: int = 1,
    incarnation: int = 1,
    fleet: Fleet | None = None,
    sender: str = "",
    peer_address: str = "",
) -> HeartbeatAnswer:
    known = fleet or Fleet()
    heartbeat = Heartbeat(
        sender=sender or f"agent-{number}",
        endpoint=f"chat-{number}",
        incarnation=incarnation,
        is_leaving=False,
        load=Load(requests=number, endpoints=1),
        revision=1,
        peer_address=peer_address or f"tcp://127.0.0.1:{number}",
        epoch=known.epoch,
        version=known.version,
    )
    (send,) = reduce(heartbeat, state, now)
    assert isinstance(send, SendMessage)
    assert isinstance(send.message, HeartbeatAnswer)
    return send.message


@pytest.fixture(autouse=True)
def leading(monkeypatch: pytest.MonkeyPatch) -> None:
    for module in (heartbeats, load_sums):
        monkeypatch.setattr(module, "is_leading", lambda state, now: True)


def build_leader(endpoints: int = 5) -> State:
    state = build_state(Role.CONTROL, endpoints)
    reduce(LivenessCheckDue(), state, NOW)
    return state


class TestDeltas:
    def test_answer_holds_only_changes_since_the_last_one(self) -> None:
        leader, fleet = build_leader(), Fleet()
        for number in range(1, 6):
            assert fleet.apply_answer(
                receive_heartbeat(leader, NOW, number, fleet=fleet), NOW
            )
        assert len(fleet.states) == 5
        assert receive_heartbeat(leader, NOW + 0.5, fleet=fleet).endpoints == ()
        reduce(LivenessCheckDue(), leader, NOW + HEARTBEAT_TIMEOUT + 0.1)
        answer = receive_heartbeat(leader, NOW + HEARTBEAT_TIMEOUT + 0.1, fleet=fleet)
        assert {item.endpoint for item in answer.endpoints} == {
            "chat-2",
            "chat-3",
            "chat-4",
            "chat-5",
        }

    def test_rejects_older_state_and_delta_to_another_epoch(self) -> None:
        leader, fleet = build_leader(), Fleet()
        old = receive_heartbeat(leader, NOW, 1)
        fleet.apply_answer(receive_heartbeat(leader, NOW, 2), NOW)
        assert not fleet.apply_answer(old, NOW)
        delta = HeartbeatAnswer("c", "", 1, (), (), "other", 4, 5)
        assert not fleet.apply_answer(delta, NOW)

    def test_accepts_heartbeats_only_from_the_declared_address(self) -> None:
        leader, fleet = build_leader(), Fleet()
        fleet.apply_answer(
            receive_heartbeat(leader, NOW, incarnation=1, fleet=fleet), NOW
        )
        other = receive_heartbeat(
            leader,
            NOW + 0.1,
            incarnation=2,
            sender="agent-new",
            peer_address="tcp://127.0.0.1:99",
            fleet=fleet,
        )
        assert other.endpoints == ()
        assert fleet.states["chat-1"].incarnation == 1

    def test_sums_the_load_of_live_endpoints(self) -> None:
        leader = build_leader()
        receive_heartbeat(leader, NOW, 1)
        receive_heartbeat(leader, NOW, 2)
        reduce(LivenessCheckDue(), leader, NOW + 0.25)
        assert receive_heartbeat(leader, NOW + 0.5, 2).loads == ()
        settled = NOW + HEARTBEAT_TIMEOUT
        receive_heartbeat(leader, settled, 1)
        receive_heartbeat(leader, settled, 2)
        reduce(LivenessCheckDue(), leader, settled + 0.25)
        (sums,) = receive_heartbeat(leader, settled + 0.5, 2).loads
        assert (sums.load.requests, sums.load.endpoints) == (3, 2)

    def test_sends_a_large_fleet_in_answers_of_bounded_size(self) -> None:
        leader, fleet = build_leader(REGION_ENDPOINTS), Fleet()
        codec = MessageCodec(b"key")
        for number in range(1, REGION_ENDPOINTS + 1):
            receive_heartbeat(leader, NOW, number)
        answers: list[HeartbeatAnswer] = []
        while len(fleet.states) < REGION_ENDPOINTS and len(answers) < REGION_ENDPOINTS:
            answers.append(receive_heartbeat(leader, NOW, fleet=fleet))
            assert fleet.apply_answer(answers[-1], NOW)
        assert len(fleet.states) == REGION_ENDPOINTS
        assert max(len(codec.encode(item)) for item in answers) < MAX_NODE_BYTES / 2
        assert max(len(item.endpoints) for item in answers) <= MAX_STATES

    def test_keeps_known_states_until_a_new_leader_replaces_them(self) -> None:
        leader, fleet = build_leader(), Fleet()
        fleet.apply_answer(receive_heartbeat(leader, NOW, 1, fleet=fleet), NOW)
        leader.roster.begin_epoch("control-2-1-1", NOW)
        assert fleet.apply_answer(receive_heartbeat(leader, NOW, 2, fleet=fleet), NOW)
        assert set(fleet.states) == {"chat-1", "chat-2"}

    def test_traffic_of_a_node_stays_below_half_its_limit(self) -> None:
        leader, fleet, codec = build_leader(), Fleet(), MessageCodec(b"key")
        fleet.apply_answer(receive_heartbeat(leader, NOW, fleet=fleet), NOW)
        answer = receive_heartbeat(leader, NOW + 0.5, fleet=fleet)
        assert 2 * 2 * len(codec.encode(answer)) < 5000 / 2


class TestFlapping:
    def test_holds_back_an_endpoint_that_restarts_repeatedly(self) -> None:
        leader = build_leader(endpoints=1)
        held = []
        for number in range(5):
            now = NOW + number
            receive_heartbeat(leader, now, incarnation=number)
            (state,) = leader.roster.list_changes("", 0)
            held.append(state.is_held)
        assert held == [False, False, True, True, True]
        for tick in range(40):
            receive_heartbeat(leader, NOW + 4 + tick / 4, incarnation=4)
        reduce(LivenessCheckDue(), leader, NOW + 14)
        (state,) = leader.roster.list_changes("", 0)
        assert state.is_live
        assert not state.is_held

    def test_gives_held_endpoints_work_only_without_alternatives(self) -> None:
        state = build_state(endpoints=2)
        leader = build_leader()
        for number in range(5):
            answer = receive_heartbeat(leader, NOW + number, incarnation=number)
        state.fleet.apply_answer(answer, NOW)
        pool = state.configuration.endpoints
        assert [e.name for e in state.fleet.select_endpoints(pool)] == ["chat-2"]
        assert [e.name for e in state.fleet.select_endpoints(pool[:1])] == ["chat-1"]


class TestRegions:
    def test_sums_of_another_region_count_until_they_expire(self) -> None:
        near, far = build_leader(), build_leader()
        far.node = evolve(far.node, region="far")
        far.region_addresses = ("near",)
        for number in (1, 2):
            receive_heartbeat(far, NOW, number)
        effects = reduce(LivenessCheckDue(), far, NOW)
        (send,) = (item for item in effects if isinstance(item, SendMessage))
        assert send.address == "near"
        reduce(send.message, near, NOW)
        assert near.load_table.sum_regions("chat", NOW).load.requests == 3
        assert (
            near.load_table.sum_regions("chat", NOW + REGION_TIMEOUT).load.requests == 0
        )


class TestLeaving:
    def test_is_announced_immediately(self) -> None:
        agent = build_agent_at("tcp://127.0.0.1:1")
        effects = reduce(ShutdownRequested(), agent, NOW)
        messages = [item.message for item in effects if isinstance(item, SendMessage)]
        (heartbeat,) = (item for item in messages if isinstance(item, Heartbeat))
        assert heartbeat.is_leaving

    def test_announces_hosts_that_the_platform_lists_as_leaving(self) -> None:
        leader = build_leader()
        receive_heartbeat(leader, NOW, 3)
        reduce(PlatformHostsListed((PlatformHost("127.0.0.1:3", True),)), leader, NOW)
        answer = receive_heartbeat(leader, NOW + 1, 3)
        assert [item.is_leaving for item in answer.endpoints] == [True]

    def test_a_node_contacts_all_control_hosts_when_the_leader_is_silent(self) -> None:
        state = build_state()
        state.control_addresses = ("tcp://a", "tcp://b")
        state.fleet.apply_answer(HeartbeatAnswer("c", "tcp://a", 1, (), ()), NOW)
        near = reduce(HeartbeatDue(), state, NOW + 1)
        far = reduce(HeartbeatDue(), state, NOW + 5)
        assert [e.address for e in near if isinstance(e, SendMessage)] == ["tcp://a"]
        assert len([e for e in far if isinstance(e, SendMessage)]) == 2

    def test_a_node_contacts_all_control_hosts_after_an_unanswered_heartbeat(
        self,
    ) -> None:
        state = build_state()
        state.control_addresses = ("tcp://a", "tcp://b")
        state.fleet.apply_answer(HeartbeatAnswer("c", "tcp://a", 1, (), ()), NOW)
        unanswered = reduce(HeartbeatDue(), state, NOW + 0.4)
        second = reduce(HeartbeatDue(), state, NOW + 0.9)
        assert len([e for e in unanswered if isinstance(e, SendMessage)]) == 1
        assert len([e for e in second if isinstance(e, SendMessage)]) == 2


def answer_heartbeat(state: State, sums: Load, version: int, now: float) -> None:
    """Deliver the answer to a node's heartbeat."""
    loads = (ServiceLoad("chat", sums),)
    answer = HeartbeatAnswer("c", "tcp://a", 1, loads, (), "e", 0, version)
    reduce(answer, state, now)


def count_heartbeats(state: State, now: float) -> int:
    """Return how many heartbeats a node sends when one is due."""
    effects = reduce(HeartbeatDue(), state, now)
    return sum(isinstance(item, SendMessage) for item in effects)


IDLE = Load(endpoints=5)
BUSY = Load(requests=3, endpoints=5)


class TestIdleNode:
    def build_idle(self, sums: Load = IDLE) -> State:
        """Return an idle agent whose last heartbeat has been answered."""
        agent = build_agent_at("tcp://127.0.0.1:1")
        for number in range(2):
            reduce(HeartbeatDue(), agent, NOW - 0.5 + number * 0.5)
            answer_heartbeat(agent, sums, 1, NOW - 0.5 + number * 0.5)
        return agent

    def test_skips_every_second_heartbeat(self) -> None:
        agent = self.build_idle()
        sent = []
        for number in range(1, 5):
            sent.append(count_heartbeats(agent, NOW + number / 2))
            answer_heartbeat(agent, IDLE, 1, NOW + number / 2)
        assert sent == [0, 1, 0, 1]

    def test_skips_none_while_its_service_has_work(self) -> None:
        assert count_heartbeats(self.build_idle(BUSY), NOW + 0.5) == 1

    def test_skips_none_once_it_has_work(self) -> None:
        agent = self.build_idle()
        reduce(Dispatch("r", "a1", "chat-1", 0, 60.0, 1, REQUEST), agent, NOW + 0.1)
        assert count_heartbeats(agent, NOW + 0.5) == 1

    def test_sends_a_skipped_heartbeat_with_the_first_work(self) -> None:
        agent = self.build_idle()
        assert count_heartbeats(agent, NOW + 0.5) == 0
        sent = []
        for number in range(2):
            event = Dispatch("r", f"a{number}", "chat-1", 0, 60.0, 1, REQUEST)
            effects = reduce(event, agent, NOW + 0.9)
            messages = [item for item in effects if isinstance(item, SendMessage)]
            sent += [item.message for item in messages]
        (heartbeat,) = (item for item in sent if isinstance(item, Heartbeat))
        assert heartbeat.load.requests + heartbeat.load.queued == 1

    def test_skips_none_while_it_receives_changes(self) -> None:
        agent = self.build_idle()
        answer_heartbeat(agent, IDLE, 2, NOW + 0.1)
        assert count_heartbeats(agent, NOW + 0.5) == 1

    def test_skips_none_after_an_unanswered_heartbeat(self) -> None:
        agent = self.build_idle()
        assert count_heartbeats(agent, NOW + 0.5) == 0
        assert count_heartbeats(agent, NOW + 1.0) == 1
        assert count_heartbeats(agent, NOW + 1.5) == 1

    def test_sends_two_heartbeats_within_the_timeout(self) -> None:
        agent = self.build_idle()
        times = [NOW + number / 2 for number in range(1, 5)]
        sent = []
        for now in times:
            sent += [now] * count_heartbeats(agent, now)
            answer_heartbeat(agent, IDLE, 1, now)
        assert sent[1] - NOW <= HEARTBEAT_TIMEOUT


class TestFailover:
    def test_moves_silent_attempts_off_a_lost_endpoint(self) -> None:
        state, leader = build_state(), build_leader()
        first = get_dispatch(send_request(state)).dispatch
        number = int(first.endpoint.removeprefix("chat-"))
        receive_heartbeat(leader, NOW, number)
        reduce(LivenessCheckDue(), leader, NOW + HEARTBEAT_TIMEOUT)
        answer = receive_heartbeat(leader, NOW + HEARTBEAT_TIMEOUT, number % 5 + 1)
        state.fleet.apply_answer(answer, NOW + HEARTBEAT_TIMEOUT)
        effects = reduce(HeartbeatDue(), state, NOW + HEARTBEAT_TIMEOUT)
        (dispatch,) = (item for item in effects if isinstance(item, SendDispatch))
        assert dispatch.dispatch.endpoint != first.endpoint
