"""Tests of the quarantine of requests that crash their engines."""

from __future__ import annotations

from attrs import evolve

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.dispatch import SendFrame
from gentianworks.core.effects.engines import CallEngine, CancelEngineCall
from gentianworks.core.effects.lifecycle import SendMessage
from gentianworks.core.effects.operators import AnswerOperator
from gentianworks.core.events.base import Event
from gentianworks.core.events.dispatch import (
    AttemptRefused,
    Dispatch,
    RouterDisconnected,
)
from gentianworks.core.events.engines import (
    CallFailure,
    EngineAnswerEnded,
    EngineCallFailed,
    QueueTimedOut,
)
from gentianworks.core.events.lifecycle import ShutdownRequested
from gentianworks.core.events.quarantine import (
    CrashReported,
    SuspectReleaseRequested,
    TrialAnswered,
    TrialRetryDue,
    TrialWanted,
)
from gentianworks.core.handlers import reduce
from gentianworks.core.ledger.claimed_runs import withdraw_queued
from gentianworks.core.quarantine.fingerprints import compute_fingerprint
from gentianworks.core.quarantine.suspect_updates import TRIAL_ANSWER_TIMEOUT
from gentianworks.core.quarantine.suspects import SuspectRegistry
from gentianworks.core.state import State
from gentianworks.core.types import Node, ProblemKind, Role, RunState
from gentianworks.tests.fixtures import NOW, REQUEST, build_configuration

CULPRIT = evolve(REQUEST, body=b"culprit")


class Fleet:
    """Agents and a control host that exchange messages without delay."""

    def __init__(self) -> None:
        self.control = self._build("control", Role.CONTROL)
        self.agents = {
            endpoint.peer_address: self._build(endpoint.name, Role.AGENT)
            for endpoint in build_configuration().endpoints
        }
        self.effects_seen: list[Effect] = []
        self.drops_crash_reports = False

    def _build(self, name: str, role: Role) -> State:
        return State(
            node=Node(name, role, "r", "a", name, name),
            control_addresses=("control",),
            configuration=build_configuration(),
            agent=AgentState(name) if role is Role.AGENT else None,
            checks_invariants=True,
        )

    def reduce_and_deliver(
        self, state: State, event: Event, now: float = NOW
    ) -> list[Effect]:
        """Reduce an event and deliver the messages that result."""
        effects = reduce(event, state, now)
        self.effects_seen += effects
        for effect in effects:
            if isinstance(effect, SendMessage):
                self._deliver(effect)
        return effects

    def _deliver(self, effect: SendMessage) -> None:
        if isinstance(effect.message, CrashReported) and self.drops_crash_reports:
            return
        if effect.address == "control":
            self.reduce_and_deliver(self.control, effect.message)
        for address, agent in self.agents.items():
            if effect.address in (address, agent.node.peer_address):
                self.reduce_and_deliver(agent, effect.message)

    def get_agent(self, number: int) -> State:
        """Return the state of an endpoint's agent."""
        return self.agents[f"tcp://127.0.0.1:{number}"]

    def dispatch(
        self, number: int, attempt: str, body: bytes, crashes: int = 0
    ) -> bool:
        """Dispatch an attempt to an agent; return whether its engine was called."""
        request = evolve(REQUEST, body=body)
        event = Dispatch("r", attempt, "", 0, 60.0, 1, request, crashes=crashes)
        return self.count_calls(self.get_agent(number), event) > 0

    def count_calls(self, state: State, event: Event, now: float = NOW) -> int:
        """Reduce an event and return the number of engine calls that result."""
        before = len(self.list_calls())
        self.reduce_and_deliver(state, event, now)
        return len(self.list_calls()) - before

    def list_calls(self) -> list[str]:
        """Return the attempts that engines were called for."""
        return [
            item.attempt for item in self.effects_seen if isinstance(item, CallEngine)
        ]

    def crash(self, number: int, attempt: str) -> None:
        """Report to an agent that its engine crashed during an attempt."""
        event = EngineCallFailed(attempt, CallFailure.CUT)
        self.reduce_and_deliver(self.get_agent(number), event)

    def get_refusal(self, attempt: str) -> AttemptRefused:
        """Return the refusal of an attempt."""
        refusals = [
            item.message
            for item in self.effects_seen
            if isinstance(item, SendFrame)
            and isinstance(item.message, AttemptRefused)
            and item.attempt == attempt
        ]
        return refusals[-1]


def build_fleet_with_suspect() -> Fleet:
    """Return a fleet in which a request has crashed one engine."""
    fleet = Fleet()
    fleet.dispatch(1, "a1", b"suspect")
    fleet.crash(1, "a1")
    return fleet


class TestQuarantine:
    def test_a_second_crash_quarantines_a_request_at_every_endpoint(self) -> None:
        fleet = Fleet()
        for number in (1, 2):
            assert fleet.dispatch(number, f"a{number}", CULPRIT.body)
            fleet.crash(number, f"a{number}")
        assert not fleet.dispatch(3, "a3", CULPRIT.body)
        problem = fleet.get_refusal("a3").problem
        assert problem.kind is ProblemKind.QUARANTINED
        assert problem.run_state is RunState.NOT_RUN

    def test_the_router_is_informed_of_a_crash_only_after_the_agents(self) -> None:
        fleet = Fleet()
        fleet.dispatch(1, "a1", CULPRIT.body)
        effects = reduce(
            EngineCallFailed("a1", CallFailure.CUT), fleet.get_agent(1), NOW
        )
        assert not any(isinstance(item, SendFrame) for item in effects)
        (report,) = (item for item in effects if isinstance(item, SendMessage))
        fleet._deliver(report)
        assert fleet.get_refusal("a1").problem.kind is ProblemKind.ENDPOINT_FAILED
        assert all(agent.suspects.suspects for agent in fleet.agents.values())

    def test_a_suspect_runs_alone(self) -> None:
        fleet = Fleet()
        fleet.dispatch(1, "a1", b"innocent")
        fleet.crash(1, "a1")
        assert fleet.dispatch(2, "b1", b"other")
        assert not fleet.dispatch(2, "a2", b"innocent")
        fleet.reduce_and_deliver(fleet.get_agent(2), EngineAnswerEnded("b1"))
        assert fleet.list_calls()[-1] == "a2"
        assert not fleet.dispatch(2, "b2", b"other")

    def test_a_router_that_retries_marks_the_suspect_itself(self) -> None:
        fleet = Fleet()
        assert fleet.dispatch(2, "b1", b"other")
        assert not fleet.dispatch(2, "a2", b"retried", crashes=1)

    def test_a_crash_that_is_reported_twice_counts_once(self) -> None:
        fleet = Fleet()
        digest = compute_fingerprint(CULPRIT)
        report = CrashReported("chat-1", "nowhere", "r", "incident", digest, "chat")
        fleet.reduce_and_deliver(fleet.control, report)
        fleet.reduce_and_deliver(fleet.control, report)
        suspects = fleet.control.control.replicated.suspects.suspects
        assert not suspects[digest].is_quarantined

    def test_a_release_by_an_operator_is_recorded_in_the_audit_log(self) -> None:
        fleet = Fleet()
        digest = compute_fingerprint(CULPRIT)
        for incident in ("one", "two"):
            report = CrashReported("chat-1", "nowhere", "r", incident, digest, "chat")
            fleet.reduce_and_deliver(fleet.control, report)
        release = SuspectReleaseRequested("x1", "siân", digest)
        effects = fleet.reduce_and_deliver(fleet.control, release)
        assert any(isinstance(item, AnswerOperator) for item in effects)
        replicated = fleet.control.control.replicated
        assert replicated.suspects.suspects == {}
        assert replicated.audit.entries[-1].operator == "siân"


class TestSuspectRegistry:
    def test_one_copy_has_the_trial_until_it_ends_or_expires(self) -> None:
        registry = SuspectRegistry()
        assert registry.begin_trial("digest", "a1", 10.0, NOW)
        assert registry.begin_trial("digest", "a1", 10.0, NOW)
        assert not registry.begin_trial("digest", "a2", 10.0, NOW)
        registry.end_trial("digest", "a2")
        assert not registry.begin_trial("digest", "a2", 10.0, NOW)
        assert registry.begin_trial("digest", "a2", 10.0, NOW + 10.0)
        registry.end_trial("digest", "a2")
        assert registry.begin_trial("digest", "a3", 10.0, NOW + 10.0)

    def test_a_quarantined_request_gets_no_trial(self) -> None:
        registry = SuspectRegistry()
        for incident in ("one", "two"):
            registry.record_crash("digest", "chat", incident, NOW)
        assert not registry.begin_trial("digest", "a1", 10.0, NOW)


class TestTrials:
    def test_one_copy_of_a_suspect_runs_at_a_time(self) -> None:
        fleet = build_fleet_with_suspect()
        assert fleet.dispatch(2, "a2", b"suspect")
        assert not fleet.dispatch(3, "a3", b"suspect")
        assert not fleet.dispatch(3, "a4", b"suspect")
        assert fleet.dispatch(3, "b1", b"other")
        fleet.reduce_and_deliver(fleet.get_agent(3), EngineAnswerEnded("b1"))
        fleet.reduce_and_deliver(fleet.get_agent(2), EngineAnswerEnded("a2"))
        assert fleet.count_calls(fleet.get_agent(3), TrialRetryDue("a4")) == 0
        assert fleet.count_calls(fleet.get_agent(3), TrialRetryDue("a3")) == 1

    def test_a_crash_on_trial_refuses_the_waiting_copies(self) -> None:
        fleet = build_fleet_with_suspect()
        fleet.dispatch(2, "a2", b"suspect")
        fleet.dispatch(3, "a3", b"suspect")
        fleet.crash(2, "a2")
        assert fleet.get_refusal("a3").problem.kind is ProblemKind.QUARANTINED
        agent = fleet.get_agent(3).agent
        assert agent is not None
        assert agent.attempts == {}

    def test_no_copy_starts_before_a_crash_on_trial_is_counted(self) -> None:
        fleet = build_fleet_with_suspect()
        fleet.dispatch(2, "a2", b"suspect")
        fleet.dispatch(3, "a3", b"suspect")
        fleet.drops_crash_reports = True
        fleet.crash(2, "a2")
        assert fleet.count_calls(fleet.get_agent(3), TrialRetryDue("a3")) == 0

    def test_a_copy_that_runs_elsewhere_is_suspended_to_run_alone(self) -> None:
        fleet = Fleet()
        for number in (1, 2, 3):
            assert fleet.dispatch(number, f"a{number}", b"suspect")
        assert fleet.dispatch(2, "b1", b"other")
        fleet.crash(1, "a1")
        stopped = [
            item for item in fleet.effects_seen if isinstance(item, CancelEngineCall)
        ]
        assert [item.attempt for item in stopped] == ["a2", "a3"]
        assert fleet.list_calls() == ["a1", "a2", "a3", "b1"]
        assert fleet.count_calls(fleet.get_agent(2), EngineAnswerEnded("b1")) == 1
        fleet.reduce_and_deliver(fleet.get_agent(2), EngineAnswerEnded("a2", call=2))
        assert fleet.count_calls(fleet.get_agent(3), TrialRetryDue("a3")) == 1

    def test_calls_that_one_engine_crash_cuts_off_count_as_one_crash(self) -> None:
        fleet = Fleet()
        fleet.dispatch(1, "a1", b"innocent")
        fleet.dispatch(1, "a2", b"innocent")
        fleet.crash(1, "a1")
        fleet.crash(1, "a2")
        suspects = fleet.control.control.replicated.suspects.suspects
        assert [item.crashes for item in suspects.values()] == [1]

    def test_a_waiting_copy_is_removed_when_its_router_or_endpoint_leaves(self) -> None:
        fleet = build_fleet_with_suspect()
        fleet.dispatch(2, "a2", b"suspect")
        for attempt in ("a3", "a4"):
            assert not fleet.dispatch(3, attempt, b"suspect")
        state = fleet.get_agent(3)
        fleet.reduce_and_deliver(state, RouterDisconnected("a3"))
        assert state.agent is not None
        assert set(state.agent.trials) == {"a4"}
        fleet.reduce_and_deliver(state, ShutdownRequested())
        assert fleet.get_refusal("a4").problem.kind is ProblemKind.LEAVING
        fleet.reduce_and_deliver(state, TrialRetryDue("a4"))
        assert state.agent.attempts == {}

    def test_a_waiting_copy_is_refused_when_its_queue_time_ends(self) -> None:
        fleet = build_fleet_with_suspect()
        fleet.dispatch(2, "a2", b"suspect")
        fleet.dispatch(3, "a3", b"suspect")
        fleet.reduce_and_deliver(fleet.get_agent(3), QueueTimedOut("a3"))
        problem = fleet.get_refusal("a3").problem
        assert problem.kind is ProblemKind.OVERLOADED
        assert problem.run_state is RunState.NOT_RUN

    def test_a_waiting_copy_that_is_voided_stops_requesting_a_trial(self) -> None:
        fleet = build_fleet_with_suspect()
        fleet.dispatch(2, "a2", b"suspect")
        fleet.dispatch(3, "a3", b"suspect")
        state = fleet.get_agent(3)
        assert state.agent is not None
        withdraw_queued("a3", state.agent)
        fleet.reduce_and_deliver(state, TrialRetryDue("a3"))
        assert state.agent.trials == {}

    def test_a_suspect_does_not_start_on_an_exiting_engine(self) -> None:
        fleet = Fleet()
        fleet.dispatch(1, "a1", b"innocent")
        fleet.dispatch(1, "b1", b"culprit")
        fleet.crash(1, "a1")
        fleet.crash(1, "b1")
        assert fleet.dispatch(2, "b2", b"culprit")
        assert not fleet.dispatch(2, "a2", b"innocent")
        fleet.crash(2, "b2")
        assert fleet.list_calls() == ["a1", "b1", "b2"]
        problem = fleet.get_refusal("a2").problem
        assert problem.kind is ProblemKind.ENDPOINT_FAILED
        assert problem.run_state is RunState.NOT_RUN

    def test_a_suspect_runs_alone_where_no_control_host_answers(self) -> None:
        fleet = Fleet()
        fleet.get_agent(2).control_addresses = ("silent",)
        assert not fleet.dispatch(2, "a2", b"suspect", crashes=1)
        agent = fleet.get_agent(2)
        later = NOW + TRIAL_ANSWER_TIMEOUT + 1
        assert fleet.count_calls(agent, TrialRetryDue("a2")) == 0
        assert fleet.count_calls(agent, TrialRetryDue("a2"), later) == 1

    def test_a_grant_that_arrives_too_late_is_returned(self) -> None:
        fleet = Fleet()
        wanted = TrialWanted("chat-2", "chat-2", "digest", "gone", 60.0)
        fleet.reduce_and_deliver(fleet.control, wanted)
        assert fleet.control.control.replicated.suspects.trials == {}

    def test_a_late_grant_is_kept_while_its_crash_is_reported(self) -> None:
        fleet = build_fleet_with_suspect()
        fleet.dispatch(2, "a2", b"suspect")
        fleet.drops_crash_reports = True
        fleet.crash(2, "a2")
        fingerprint = compute_fingerprint(evolve(REQUEST, body=b"suspect"))
        grant = TrialAnswered("control", fingerprint, "a2", is_granted=True)
        assert fleet.reduce_and_deliver(fleet.get_agent(2), grant) == []
