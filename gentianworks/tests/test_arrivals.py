"""Tests of attempts that arrive at an agent, wait there, or are refused."""

from __future__ import annotations

import pytest

from gentianworks.core.admission.admission import Throughput
from gentianworks.core.agents.arrivals import MAX_QUEUED
from gentianworks.core.effects.engines import (
    CallEngine,
)
from gentianworks.core.effects.lifecycle import SetTimer
from gentianworks.core.events.dispatch import Dispatch
from gentianworks.core.events.engines import (
    EngineEnded,
    PreemptionDue,
    QueueTimedOut,
)
from gentianworks.core.handlers import reduce
from gentianworks.core.state import State
from gentianworks.core.types import (
    ProblemKind,
    Request,
    RunState,
)
from gentianworks.tests.agents import (
    CAPACITY,
    NOW,
    build_state,
    dispatch,
    fill,
    find,
    find_refusals,
)


class TestQueue:
    def test_gives_up_casual_work_for_urgent_when_full(self) -> None:
        state = build_state()
        for number in range(CAPACITY + MAX_QUEUED):
            assert find_refusals(dispatch(state, f"q{number}")) == []
        [refusal] = find_refusals(dispatch(state, "more"))
        assert refusal.attempt == "more"
        [refusal] = find_refusals(dispatch(state, "urgent", "submissions"))
        assert refusal.attempt.startswith("q")
        assert refusal.problem.run_state is RunState.NOT_RUN

    def test_refuses_early_what_can_not_start_in_time(self) -> None:
        state = build_state()
        fill(state)
        assert state.agent is not None
        state.agent.throughput = Throughput(pace=1.0, cost=10.0)
        assert len(find_refusals(dispatch(state, "early"))) == 1
        later = state.fleet.loads_as_of = NOW + 9.0
        for number in range(CAPACITY):
            assert find_refusals(dispatch(state, f"w{number}", now=later)) == []
        [refusal] = find_refusals(dispatch(state, "more", now=later))
        assert refusal.problem.kind is ProblemKind.OVERLOADED
        assert refusal.problem.run_state is RunState.NOT_RUN
        assert refusal.level.closed[0].rank == "questions"

    def test_refuses_early_what_later_work_has_made_late(self) -> None:
        state = build_state()
        fill(state)
        assert state.agent is not None
        state.agent.throughput = Throughput(pace=0.099, cost=10.0)
        for number in range(CAPACITY * 2):
            assert find_refusals(dispatch(state, f"w{number}", workspace="v")) == []
        [refusal] = find_refusals(
            dispatch(state, "small", workspace="u", now=NOW + 0.15)
        )
        assert refusal.attempt == "w7"
        assert refusal.problem.run_state is RunState.NOT_RUN

    @pytest.mark.parametrize(
        ("rank", "workspace", "refusals"),
        [("questions", "w", 1), ("questions", "v", 0), ("submissions", "w", 0)],
    )
    def test_counts_on_work_that_would_be_suspended(
        self, rank: str, workspace: str, refusals: int
    ) -> None:
        state = build_state()
        fill(state)
        assert state.agent is not None
        state.agent.throughput = Throughput(pace=1.0, cost=10.0)
        refused = find_refusals(dispatch(state, "new", rank, workspace=workspace))
        assert len(refused) == refusals

    def test_refuses_at_once_what_was_refused_late_before(self) -> None:
        state = build_state()
        fill(state)
        assert state.agent is not None
        state.agent.throughput = Throughput(pace=0.099, cost=10.0)
        for number in range(CAPACITY * 2 - 1):
            dispatch(state, f"w{number}")
        assert find_refusals(dispatch(state, "late")) == []
        later = state.fleet.loads_as_of = NOW + 2.0
        reduce(QueueTimedOut("late"), state, later)
        [refusal] = find_refusals(dispatch(state, "again"))
        assert refusal.attempt == "again"
        assert find_refusals(dispatch(state, "small", workspace="v")) == []

    def test_takes_what_a_workspace_queues_where_many_others_ran_before(self) -> None:
        state = build_state()
        for number in range(100):
            dispatch(state, f"x{number}", workspace=f"w{number % 9}")
            reduce(EngineEnded(f"x{number}"), state, NOW)
        fill(state)
        assert state.agent is not None
        state.agent.throughput.pace = 0.099
        for number in range(CAPACITY):
            dispatched = dispatch(state, f"s{number}", workspace="small")
            assert find_refusals(dispatched) == []


class TestPatience:
    @pytest.mark.parametrize(("resume_after", "refusals"), [(-1, 1), (3, 0)])
    def test_lasts_for_an_answer_that_has_begun(
        self, resume_after: int, refusals: int
    ) -> None:
        state = build_state()
        fill(state)
        assert state.agent is not None
        state.agent.throughput.pace = 0.5
        dispatch(state, "first")
        request = Request("chat", "w", "questions", "POST", "/", (), b"", timeout=60.0)
        late = Dispatch("router", "late", "e1", 0, 50.0, 1, request, resume_after)
        assert len(find_refusals(reduce(late, state, NOW))) == refusals

    def test_ends_where_the_caller_could_not_have_the_whole_answer(self) -> None:
        state = build_state()
        fill(state)
        assert state.agent is not None
        state.agent.throughput.pace = 0.25
        request = Request(
            "chat", "w", "questions", "POST", "/", (), b"", cost=10, timeout=3.0
        )
        event = Dispatch("router", "brief", "e1", 0, 3.0, 1, request)
        now = NOW + 2.4
        timers = find(SetTimer, reduce(event, state, now))
        assert SetTimer(now + 0.5, QueueTimedOut("brief")) in timers

    def suspend_one(self) -> State:
        """Return the state of an agent that has suspended q3 for urgent work."""
        state = build_state()
        fill(state)
        dispatch(state, "urgent", "submissions")
        reduce(PreemptionDue("urgent"), state, NOW)
        assert state.agent is not None
        state.agent.throughput.pace = 1.0
        return state

    def test_of_a_suspended_answer_ends_with_its_deadline(self) -> None:
        state = self.suspend_one()
        state.fleet.loads_as_of = NOW + 55.0
        effects = reduce(EngineEnded("urgent"), state, NOW + 55.0)
        assert find(CallEngine, effects) == []
        [refusal] = find_refusals(effects)
        assert refusal.attempt == "q3"
        assert refusal.problem.kind is ProblemKind.DEADLINE_PASSED
        assert refusal.problem.run_state is RunState.RAN

    def test_of_a_suspended_answer_ends_before_its_turn(self) -> None:
        state = self.suspend_one()
        later = state.fleet.loads_as_of = NOW + 55.0
        refusals = find_refusals(dispatch(state, "new", now=later))
        assert [item.attempt for item in refusals if item.attempt != "new"] == ["q3"]
