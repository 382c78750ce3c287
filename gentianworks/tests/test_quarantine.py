"""Tests of requests that crash their engine."""

from __future__ import annotations

from attrs import evolve

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.dispatch import SendFrame
from gentianworks.core.effects.engines import CallEngine, CancelCall
from gentianworks.core.effects.lifecycle import SendMessage
from gentianworks.core.effects.operators import AnswerOperator
from gentianworks.core.events.base import Event
from gentianworks.core.events.dispatch import AttemptRefused, Dispatch, RouterLeft
from gentianworks.core.events.engines import (
    CallFailure,
    EngineEnded,
    EngineFailed,
    QueueTimedOut,
)
from gentianworks.core.events.lifecycle import ShutdownRequested
from gentianworks.core.events.quarantine import (
    CrashReported,
    ReleaseRequested,
    TrialAnswered,
    TrialDue,
    TrialWanted,
)
from gentianworks.core.handlers import reduce
from gentianworks.core.ledger.recording import withdraw_queued
from gentianworks.core.quarantine.fingerprints import compute_fingerprint
from gentianworks.core.quarantine.suspect_updates import TRIAL_ANSWER_TIMEOUT
from gentianworks.core.quarantine.suspects import SuspectRegistry
from gentianworks.core.state import State
from gentianworks.core.types import Node, ProblemKind, Role, RunState
from gentianworks.tests.fixtures import NOW, REQUEST, build_configuration

CULPRIT = evolve(REQUEST, body=b"culprit")


class Fleet:
    """Hold two agents and a control host that hear each other at once."""

    def __init__(self) -> None:
        self.control = self._build("control", Role.CONTROL)
        self.agents = {
            endpoint.peer_address: self._build(endpoint.name, Role.AGENT)
            for endpoint in build_configuration().endpoints
        }
        self.performed: list[Effect] = []
        self.lose_reports = False

    def _build(self, name: str, role: Role) -> State:
        return State(
            node=Node(name, role, "r", "a", name, name),
            control_addresses=("control",),
            configuration=build_configuration(),
            agent=AgentState(name) if role is Role.AGENT else None,
            checks_invariants=True,
        )

    def tell(self, state: State, event: Event, now: float = NOW) -> list[Effect]:
        """Reduce an event and deliver the messages that follow."""
        effects = reduce(event, state, now)
        self.performed += effects
        for effect in effects:
            if isinstance(effect, SendMessage):
                self._deliver(effect)
        return effects

    def _deliver(self, effect: SendMessage) -> None:
        if isinstance(effect.message, CrashReported) and self.lose_reports:
            return
        if effect.address == "control":
            self.tell(self.control, effect.message)
        for address, agent in self.agents.items():
            if effect.address in (address, agent.node.peer_address):
                self.tell(agent, effect.message)

    def find_agent(self, number: int) -> State:
        """Return the agent of an endpoint."""
        return self.agents[f"tcp://127.0.0.1:{number}"]

    def dispatch(
        self, number: int, attempt: str, body: bytes, crashes: int = 0
    ) -> bool:
        """Bring an attempt to an agent and tell whether its engine was called."""
        request = evolve(REQUEST, body=body)
        event = Dispatch("r", attempt, "", 0, 60.0, 1, request, crashes=crashes)
        return self.count_calls(self.find_agent(number), event) > 0

    def count_calls(self, state: State, event: Event, now: float = NOW) -> int:
        """Reduce an event and return how many calls of engines follow."""
        before = len(self.list_calls())
        self.tell(state, event, now)
        return len(self.list_calls()) - before

    def list_calls(self) -> list[str]:
        """Return the attempts that engines were called for."""
        return [item.attempt for item in self.performed if isinstance(item, CallEngine)]

    def crash(self, number: int, attempt: str) -> None:
        """Let an engine crash under an attempt."""
        event = EngineFailed(attempt, CallFailure.CUT)
        self.tell(self.find_agent(number), event)

    def find_refusal(self, attempt: str) -> AttemptRefused:
        """Return the refusal of an attempt."""
        refusals = [
            item.message
            for item in self.performed
            if isinstance(item, SendFrame)
            and isinstance(item.message, AttemptRefused)
            and item.attempt == attempt
        ]
        return refusals[-1]


def build_suspecting() -> Fleet:
    """Return a fleet in which a request has crashed one engine."""
    fleet = Fleet()
    fleet.dispatch(1, "a1", b"suspect")
    fleet.crash(1, "a1")
    return fleet


class TestQuarantine:
    def test_a_second_crash_keeps_a_request_from_every_endpoint(self) -> None:
        fleet = Fleet()
        for number in (1, 2):
            assert fleet.dispatch(number, f"a{number}", CULPRIT.body)
            fleet.crash(number, f"a{number}")
        assert not fleet.dispatch(3, "a3", CULPRIT.body)
        problem = fleet.find_refusal("a3").problem
        assert problem.kind is ProblemKind.QUARANTINED
        assert problem.run_state is RunState.NOT_RUN

    def test_the_router_hears_of_a_crash_only_after_the_agents(self) -> None:
        fleet = Fleet()
        fleet.dispatch(1, "a1", CULPRIT.body)
        effects = reduce(EngineFailed("a1", CallFailure.CUT), fleet.find_agent(1), NOW)
        assert not any(isinstance(item, SendFrame) for item in effects)
        (report,) = (item for item in effects if isinstance(item, SendMessage))
        fleet._deliver(report)
        assert fleet.find_refusal("a1").problem.kind is ProblemKind.ENDPOINT_FAILED
        assert all(agent.suspects.suspects for agent in fleet.agents.values())

    def test_a_suspect_runs_alone(self) -> None:
        fleet = Fleet()
        fleet.dispatch(1, "a1", b"innocent")
        fleet.crash(1, "a1")
        assert fleet.dispatch(2, "b1", b"other")
        assert not fleet.dispatch(2, "a2", b"innocent")
        fleet.tell(fleet.find_agent(2), EngineEnded("b1"))
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
        fleet.tell(fleet.control, report)
        fleet.tell(fleet.control, report)
        suspects = fleet.control.control.replicated.suspects.suspects
        assert not suspects[digest].is_quarantined

    def test_an_operator_releases_a_request_on_the_record(self) -> None:
        fleet = Fleet()
        digest = compute_fingerprint(CULPRIT)
        for incident in ("one", "two"):
            report = CrashReported("chat-1", "nowhere", "r", incident, digest, "chat")
            fleet.tell(fleet.control, report)
        release = ReleaseRequested("x1", "siân", digest)
        effects = fleet.tell(fleet.control, release)
        assert any(isinstance(item, AnswerOperator) for item in effects)
        replicated = fleet.control.control.replicated
        assert replicated.suspects.suspects == {}
        assert replicated.audit.entries[-1].operator == "siân"


class TestSuspectBook:
    def test_a_trial_is_one_copy_s_until_it_ends_or_its_time_is_up(self) -> None:
        book = SuspectRegistry()
        assert book.begin_trial("digest", "a1", 10.0, NOW)
        assert book.begin_trial("digest", "a1", 10.0, NOW)
        assert not book.begin_trial("digest", "a2", 10.0, NOW)
        book.end_trial("digest", "a2")
        assert not book.begin_trial("digest", "a2", 10.0, NOW)
        assert book.begin_trial("digest", "a2", 10.0, NOW + 10.0)
        book.end_trial("digest", "a2")
        assert book.begin_trial("digest", "a3", 10.0, NOW + 10.0)

    def test_a_quarantined_request_gets_no_trial(self) -> None:
        book = SuspectRegistry()
        for incident in ("one", "two"):
            book.record_crash("digest", "chat", incident, NOW)
        assert not book.begin_trial("digest", "a1", 10.0, NOW)


class TestTrials:
    def test_one_copy_of_a_suspect_runs_at_a_time(self) -> None:
        fleet = build_suspecting()
        assert fleet.dispatch(2, "a2", b"suspect")
        assert not fleet.dispatch(3, "a3", b"suspect")
        assert not fleet.dispatch(3, "a4", b"suspect")
        assert fleet.dispatch(3, "b1", b"other")
        fleet.tell(fleet.find_agent(3), EngineEnded("b1"))
        fleet.tell(fleet.find_agent(2), EngineEnded("a2"))
        assert fleet.count_calls(fleet.find_agent(3), TrialDue("a4")) == 0
        assert fleet.count_calls(fleet.find_agent(3), TrialDue("a3")) == 1

    def test_a_crash_on_trial_refuses_the_copies_that_wait(self) -> None:
        fleet = build_suspecting()
        fleet.dispatch(2, "a2", b"suspect")
        fleet.dispatch(3, "a3", b"suspect")
        fleet.crash(2, "a2")
        assert fleet.find_refusal("a3").problem.kind is ProblemKind.QUARANTINED
        agent = fleet.find_agent(3).agent
        assert agent is not None
        assert agent.attempts == {}

    def test_no_copy_starts_before_a_crash_on_trial_is_counted(self) -> None:
        fleet = build_suspecting()
        fleet.dispatch(2, "a2", b"suspect")
        fleet.dispatch(3, "a3", b"suspect")
        fleet.lose_reports = True
        fleet.crash(2, "a2")
        assert fleet.count_calls(fleet.find_agent(3), TrialDue("a3")) == 0

    def test_a_copy_that_runs_elsewhere_is_stopped_to_run_alone(self) -> None:
        fleet = Fleet()
        for number in (1, 2, 3):
            assert fleet.dispatch(number, f"a{number}", b"suspect")
        assert fleet.dispatch(2, "b1", b"other")
        fleet.crash(1, "a1")
        stopped = [item for item in fleet.performed if isinstance(item, CancelCall)]
        assert [item.attempt for item in stopped] == ["a2", "a3"]
        assert fleet.list_calls() == ["a1", "a2", "a3", "b1"]
        assert fleet.count_calls(fleet.find_agent(2), EngineEnded("b1")) == 1
        fleet.tell(fleet.find_agent(2), EngineEnded("a2", call=2))
        assert fleet.count_calls(fleet.find_agent(3), TrialDue("a3")) == 1

    def test_calls_that_are_lost_with_one_engine_are_one_crash(self) -> None:
        fleet = Fleet()
        fleet.dispatch(1, "a1", b"innocent")
        fleet.dispatch(1, "a2", b"innocent")
        fleet.crash(1, "a1")
        fleet.crash(1, "a2")
        suspects = fleet.control.control.replicated.suspects.suspects
        assert [item.crashes for item in suspects.values()] == [1]

    def test_a_copy_that_waits_leaves_with_its_router_or_its_endpoint(self) -> None:
        fleet = build_suspecting()
        fleet.dispatch(2, "a2", b"suspect")
        for attempt in ("a3", "a4"):
            assert not fleet.dispatch(3, attempt, b"suspect")
        state = fleet.find_agent(3)
        fleet.tell(state, RouterLeft("a3"))
        assert state.agent is not None
        assert set(state.agent.trials) == {"a4"}
        fleet.tell(state, ShutdownRequested())
        assert fleet.find_refusal("a4").problem.kind is ProblemKind.LEAVING
        fleet.tell(state, TrialDue("a4"))
        assert state.agent.attempts == {}

    def test_a_copy_that_waits_is_refused_when_its_queue_time_ends(self) -> None:
        fleet = build_suspecting()
        fleet.dispatch(2, "a2", b"suspect")
        fleet.dispatch(3, "a3", b"suspect")
        fleet.tell(fleet.find_agent(3), QueueTimedOut("a3"))
        problem = fleet.find_refusal("a3").problem
        assert problem.kind is ProblemKind.OVERLOADED
        assert problem.run_state is RunState.NOT_RUN

    def test_a_copy_that_is_voided_while_it_waits_asks_no_more(self) -> None:
        fleet = build_suspecting()
        fleet.dispatch(2, "a2", b"suspect")
        fleet.dispatch(3, "a3", b"suspect")
        state = fleet.find_agent(3)
        assert state.agent is not None
        withdraw_queued("a3", state.agent)
        fleet.tell(state, TrialDue("a3"))
        assert state.agent.trials == {}

    def test_a_suspect_is_not_called_at_an_engine_that_goes_down(self) -> None:
        fleet = Fleet()
        fleet.dispatch(1, "a1", b"innocent")
        fleet.dispatch(1, "b1", b"culprit")
        fleet.crash(1, "a1")
        fleet.crash(1, "b1")
        assert fleet.dispatch(2, "b2", b"culprit")
        assert not fleet.dispatch(2, "a2", b"innocent")
        fleet.crash(2, "b2")
        assert fleet.list_calls() == ["a1", "b1", "b2"]
        problem = fleet.find_refusal("a2").problem
        assert problem.kind is ProblemKind.ENDPOINT_FAILED
        assert problem.run_state is RunState.NOT_RUN

    def test_a_suspect_runs_alone_where_no_control_host_answers(self) -> None:
        fleet = Fleet()
        fleet.find_agent(2).control_addresses = ("silent",)
        assert not fleet.dispatch(2, "a2", b"suspect", crashes=1)
        agent = fleet.find_agent(2)
        later = NOW + TRIAL_ANSWER_TIMEOUT + 1
        assert fleet.count_calls(agent, TrialDue("a2")) == 0
        assert fleet.count_calls(agent, TrialDue("a2"), later) == 1

    def test_a_grant_that_comes_too_late_is_returned(self) -> None:
        fleet = Fleet()
        wanted = TrialWanted("chat-2", "chat-2", "digest", "gone", 60.0)
        fleet.tell(fleet.control, wanted)
        assert fleet.control.control.replicated.suspects.trials == {}

    def test_a_late_grant_is_kept_while_its_crash_is_reported(self) -> None:
        fleet = build_suspecting()
        fleet.dispatch(2, "a2", b"suspect")
        fleet.lose_reports = True
        fleet.crash(2, "a2")
        fingerprint = compute_fingerprint(evolve(REQUEST, body=b"suspect"))
        grant = TrialAnswered("control", fingerprint, "a2", is_granted=True)
        assert fleet.tell(fleet.find_agent(2), grant) == []
