"""Tests of an agent's handlers, from dispatch to the whole answer."""

from __future__ import annotations

import pytest

from gentianworks.core.admission.preemption import suspend_attempt
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.dispatch import SendFrame
from gentianworks.core.effects.engines import (
    CallEngine,
    CancelEngineCall,
    CancelOrphanedCall,
    FetchEngineLoad,
)
from gentianworks.core.events.base import Event
from gentianworks.core.events.dispatch import AnswerPiece
from gentianworks.core.events.engines import (
    CallFailure,
    EngineAnswerEnded,
    EngineCallFailed,
    EngineLoadFetched,
    EngineLoadUnavailable,
    LoadsReceived,
    PreemptionDue,
)
from gentianworks.core.events.lifecycle import ProcessStarted, ShutdownRequested
from gentianworks.core.events.membership import EndpointState
from gentianworks.core.handlers import reduce
from gentianworks.core.state import State
from gentianworks.core.types import (
    Load,
    ProblemKind,
    RunState,
    ServiceKind,
    ServiceLoad,
)
from gentianworks.tests.agents import (
    CAPACITY,
    NOW,
    build_state,
    dispatch,
    fill,
    find,
    find_refusals,
    stream,
)


class TestPreemption:
    def test_resumes_a_stream_after_its_last_whole_event(self) -> None:
        state = build_state()
        fill(state)
        dispatch(state, "urgent", "submissions")
        effects = reduce(PreemptionDue("urgent"), state, NOW)
        assert [item.attempt for item in find(CallEngine, effects)] == ["urgent"]
        assert find(CancelEngineCall, effects) == [CancelEngineCall("q3")]
        effects = reduce(EngineAnswerEnded("urgent"), state, NOW)
        [call] = find(CallEngine, effects)
        assert (call.attempt, call.call, call.resume_after) == ("q3", 2, 0)
        effects = stream(state, "q3", 1, call=2)
        [frame] = find(SendFrame, effects)
        assert isinstance(frame.message, AnswerPiece)
        assert (frame.message.sequence, frame.message.last_event) == (1, 1)

    def test_cuts_an_answer_that_the_engine_begins_again(self) -> None:
        state = build_state()
        fill(state)
        dispatch(state, "urgent", "submissions")
        reduce(PreemptionDue("urgent"), state, NOW)
        reduce(EngineAnswerEnded("urgent"), state, NOW)
        effects = stream(state, "q3", 0, call=2)
        [refusal] = find_refusals(effects)
        assert refusal.problem.kind is ProblemKind.STREAM_CUT
        assert refusal.problem.run_state is RunState.RAN

    def test_leaves_a_rank_its_guaranteed_share(self) -> None:
        state = build_state()
        fill(state)
        for number in range(CAPACITY):
            dispatch(state, f"s{number}", "submissions")
        for number in range(CAPACITY):
            reduce(PreemptionDue(f"s{number}"), state, NOW)
        assert state.agent is not None
        ranks = [attempt.ticket.rank for attempt in state.agent.list_running()]
        assert sorted(ranks) == ["questions"] * 2 + ["submissions"] * 2
        assert state.agent.queue.ranks["questions"].credit <= 0

    def test_keeps_what_the_credit_of_its_rank_pays_for(self) -> None:
        state = build_state()
        fill(state)
        assert state.agent is not None
        state.agent.queue.find_rank("questions").credit = 30.0
        dispatch(state, "urgent", "submissions")
        assert find(CancelEngineCall, reduce(PreemptionDue("urgent"), state, NOW)) == []
        running = state.agent.list_running()
        assert all(attempt.is_covered for attempt in running)
        assert state.agent.queue.ranks["questions"].credit == 30.0 - 3 * 9

    def test_gives_a_small_workspace_a_slot_of_a_large_one(self) -> None:
        state = build_state()
        fill(state)
        dispatch(state, "waiting")
        assert reduce(PreemptionDue("waiting"), state, NOW) == []
        dispatch(state, "small", workspace="v")
        effects = reduce(PreemptionDue("small"), state, NOW)
        assert [item.attempt for item in find(CallEngine, effects)] == ["small"]

    def test_never_stops_work_not_to_be_repeated(self) -> None:
        state = build_state()
        for number in range(CAPACITY):
            dispatch(state, f"q{number}", is_repeatable=False)
        dispatch(state, "urgent", "submissions")
        assert reduce(PreemptionDue("urgent"), state, NOW) == []


class TestBound:
    def test_suspends_what_a_fallen_mean_no_longer_allows(self) -> None:
        state = build_state()
        fill(state)
        fallen = Load(requests=4, cost=40, endpoints=2)
        state.fleet.loads = {"chat": ServiceLoad("chat", fallen)}
        effects = reduce(LoadsReceived(), state, NOW)
        assert len(find(CancelEngineCall, effects)) == 1
        assert state.agent is not None
        assert state.agent.measure_load().requests == 3

    def test_admits_more_once_the_mean_has_risen(self) -> None:
        state = build_state()
        state.fleet.loads = {}
        for number in range(CAPACITY):
            dispatch(state, f"q{number}")
        assert state.agent is not None
        assert len(state.agent.running) == 2
        busy = Load(requests=4, cost=40, endpoints=1)
        state.fleet.loads = {"chat": ServiceLoad("chat", busy)}
        assert len(find(CallEngine, reduce(LoadsReceived(), state, NOW))) == 2


class TestCharge:
    @pytest.mark.parametrize(("generated", "charged"), [(0, 0), (50, 41)])
    def test_follows_what_a_whole_answer_tells(
        self, generated: int, charged: int
    ) -> None:
        state = build_state()
        for number in range(CAPACITY + 2):
            dispatch(state, f"q{number}")
        assert state.agent is not None
        account = state.agent.queue.ranks["questions"].workspaces["w"]
        before = account.start
        reduce(EngineAnswerEnded("q0", 1, generated), state, NOW)
        assert account.start == before + charged + 10

    def test_of_a_resumed_answer_is_corrected_once(self) -> None:
        state = build_state()
        fill(state)
        dispatch(state, "urgent", "submissions")
        reduce(PreemptionDue("urgent"), state, NOW)
        for number in range(2):
            dispatch(state, f"next{number}")
        reduce(EngineAnswerEnded("urgent"), state, NOW)
        assert state.agent is not None
        for event in range(1, 5):
            stream(state, "q3", event, call=2)
        account = state.agent.queue.ranks["questions"].workspaces["w"]
        before = account.start
        reduce(EngineAnswerEnded("q3", 2), state, NOW)
        assert account.start == before + (6 - 10) + 10

    def test_of_a_suspended_answer_is_for_the_rest_of_its_run(self) -> None:
        state = build_state()
        fill(state)
        assert state.agent is not None
        for event in range(1, 6):
            stream(state, "q3", event)
        effects = suspend_attempt(state.agent.running["q3"], state.agent)
        assert find(CancelEngineCall, effects) == [CancelEngineCall("q3")]
        assert state.agent.queue.tickets["q3"].cost == round(10 * 3 / 9)


class TestFailure:
    @pytest.mark.parametrize(
        ("failure", "run_state"),
        [
            (CallFailure.NOT_SENT, RunState.NOT_RUN),
            (CallFailure.CUT, RunState.UNKNOWN),
            (CallFailure.TIMED_OUT, RunState.UNKNOWN),
        ],
    )
    def test_tells_whether_the_work_was_run(
        self, failure: CallFailure, run_state: RunState
    ) -> None:
        state = build_state()
        dispatch(state, "q")
        [refusal] = find_refusals(reduce(EngineCallFailed("q", failure), state, NOW))
        assert refusal.problem.run_state is run_state


class TestRecount:
    def start(self, state: State) -> None:
        """Start the process beside an engine that may be busy."""
        effects: list[Effect] = reduce(ProcessStarted(7), state, NOW)
        assert len(find(FetchEngineLoad, effects)) == 1
        assert find(CallEngine, dispatch(state, "q")) == []

    def read(self, state: State, running: tuple[str, ...], age: float) -> list[Effect]:
        """Tell the agent what the engine runs, a second after its start."""
        return reduce(EngineLoadFetched(running, age), state, NOW + 1.0)

    def test_waits_for_a_report_newer_than_the_start(self) -> None:
        state = build_state()
        self.start(state)
        assert find(CallEngine, self.read(state, (), 1.5)) == []
        assert len(find(CallEngine, self.read(state, (), 0.5))) == 1

    def test_counts_and_cancels_what_it_does_not_know(self) -> None:
        state = build_state()
        self.start(state)
        names = ("a.1", "b.1", "c.1", "d.1")
        effects = self.read(state, names, 0.0)
        assert len(find(CancelOrphanedCall, effects)) == 4
        assert find(CallEngine, effects) == []
        assert len(find(CallEngine, self.read(state, names[:2], 0.0))) == 1

    def test_never_cancels_a_plain_service(self) -> None:
        state = build_state(ServiceKind.PLAIN)
        self.start(state)
        effects = self.read(state, ("a.1", "b.1", "c.1", "d.1"), 0.0)
        assert find(CancelOrphanedCall, effects) == []
        assert find(CallEngine, effects) == []

    @pytest.mark.parametrize(("may_run", "calls"), [(True, 0), (False, 1)])
    def test_goes_on_without_a_report(self, may_run: bool, calls: int) -> None:
        state = build_state()
        self.start(state)
        event: Event = EngineLoadUnavailable(may_run)
        assert len(find(CallEngine, reduce(event, state, NOW))) == calls


class TestDrain:
    def test_hands_back_what_has_not_begun(self) -> None:
        state = build_state()
        fill(state)
        dispatch(state, "waiting")
        [refusal] = find_refusals(reduce(ShutdownRequested(), state, NOW))
        assert refusal.attempt == "waiting"
        assert refusal.problem.kind is ProblemKind.LEAVING
        assert refusal.problem.run_state is RunState.NOT_RUN
        assert state.agent is not None
        assert len(state.agent.running) == CAPACITY
        [refusal] = find_refusals(dispatch(state, "new"))
        assert refusal.problem.kind is ProblemKind.LEAVING

    def test_follows_the_platform(self) -> None:
        state = build_state()
        for is_leaving, refusals in ((True, 1), (False, 0)):
            leaving = EndpointState("e1", 0, True, is_leaving)
            state.fleet.states = {"e1": leaving}
            reduce(LoadsReceived(), state, NOW)
            refused = find_refusals(dispatch(state, f"q{is_leaving}"))
            assert len(refused) == refusals
