"""Tests of attempts that arrive at an agent and are queued or refused."""

from __future__ import annotations

import pytest

from gentianworks.core.admission.wait_estimates import Throughput
from gentianworks.core.agents.arrivals import MAX_QUEUED_ATTEMPTS
from gentianworks.core.effects.engines import (
    CallEngine,
)
from gentianworks.core.effects.lifecycle import SetTimer
from gentianworks.core.events.dispatch import Dispatch
from gentianworks.core.events.engines import (
    EngineAnswerEnded,
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
    build_agent_state,
    dispatch_attempt,
    fill_slots,
    filter_effects,
    list_refusals,
)


class TestQueue:
    def test_when_full_evicts_a_low_priority_attempt_for_an_urgent_one(self) -> None:
        state = build_agent_state()
        for number in range(CAPACITY + MAX_QUEUED_ATTEMPTS):
            assert list_refusals(dispatch_attempt(state, f"q{number}")) == []
        [refusal] = list_refusals(dispatch_attempt(state, "more"))
        assert refusal.attempt == "more"
        [refusal] = list_refusals(dispatch_attempt(state, "urgent", "submissions"))
        assert refusal.attempt.startswith("q")
        assert refusal.problem.run_state is RunState.NOT_RUN

    def test_refuses_on_arrival_an_attempt_that_can_not_start_in_time(self) -> None:
        state = build_agent_state()
        fill_slots(state)
        assert state.agent is not None
        state.agent.throughput = Throughput(seconds_per_token=1.0, mean_cost=10.0)
        assert len(list_refusals(dispatch_attempt(state, "early"))) == 1
        later = state.fleet.loads_as_of = NOW + 9.0
        for number in range(CAPACITY):
            assert list_refusals(dispatch_attempt(state, f"w{number}", now=later)) == []
        [refusal] = list_refusals(dispatch_attempt(state, "more", now=later))
        assert refusal.problem.kind is ProblemKind.OVERLOADED
        assert refusal.problem.run_state is RunState.NOT_RUN
        assert refusal.level.closed[0].rank == "questions"

    def test_refuses_before_its_timeout_an_attempt_delayed_by_later_arrivals(
        self,
    ) -> None:
        state = build_agent_state()
        fill_slots(state)
        assert state.agent is not None
        state.agent.throughput = Throughput(seconds_per_token=0.099, mean_cost=10.0)
        for number in range(CAPACITY * 2):
            assert (
                list_refusals(dispatch_attempt(state, f"w{number}", workspace="v"))
                == []
            )
        [refusal] = list_refusals(
            dispatch_attempt(state, "small", workspace="u", now=NOW + 0.15)
        )
        assert refusal.attempt == "w7"
        assert refusal.problem.run_state is RunState.NOT_RUN

    @pytest.mark.parametrize(
        ("rank", "workspace", "refusals"),
        [("questions", "w", 1), ("questions", "v", 0), ("submissions", "w", 0)],
    )
    def test_accounts_for_attempts_that_would_be_suspended(
        self, rank: str, workspace: str, refusals: int
    ) -> None:
        state = build_agent_state()
        fill_slots(state)
        assert state.agent is not None
        state.agent.throughput = Throughput(seconds_per_token=1.0, mean_cost=10.0)
        refused = list_refusals(
            dispatch_attempt(state, "new", rank, workspace=workspace)
        )
        assert len(refused) == refusals

    def test_refuses_on_arrival_after_a_timeout_in_the_same_queue(self) -> None:
        state = build_agent_state()
        fill_slots(state)
        assert state.agent is not None
        state.agent.throughput = Throughput(seconds_per_token=0.099, mean_cost=10.0)
        for number in range(CAPACITY * 2 - 1):
            dispatch_attempt(state, f"w{number}")
        assert list_refusals(dispatch_attempt(state, "late")) == []
        later = state.fleet.loads_as_of = NOW + 2.0
        reduce(QueueTimedOut("late"), state, later)
        [refusal] = list_refusals(dispatch_attempt(state, "again"))
        assert refusal.attempt == "again"
        assert list_refusals(dispatch_attempt(state, "small", workspace="v")) == []

    def test_accepts_the_attempts_of_a_workspace_after_many_others_have_run(
        self,
    ) -> None:
        state = build_agent_state()
        for number in range(100):
            dispatch_attempt(state, f"x{number}", workspace=f"w{number % 9}")
            reduce(EngineAnswerEnded(f"x{number}"), state, NOW)
        fill_slots(state)
        assert state.agent is not None
        state.agent.throughput.seconds_per_token = 0.099
        for number in range(CAPACITY):
            dispatched = dispatch_attempt(state, f"s{number}", workspace="small")
            assert list_refusals(dispatched) == []


class TestMaxWait:
    @pytest.mark.parametrize(("resume_after", "refusals"), [(-1, 1), (3, 0)])
    def test_is_not_shortened_for_a_resumed_answer(
        self, resume_after: int, refusals: int
    ) -> None:
        state = build_agent_state()
        fill_slots(state)
        assert state.agent is not None
        state.agent.throughput.seconds_per_token = 0.5
        dispatch_attempt(state, "first")
        request = Request("chat", "w", "questions", "POST", "/", (), b"", timeout=60.0)
        late = Dispatch("router", "late", "e1", 0, 50.0, 1, request, resume_after)
        assert len(list_refusals(reduce(late, state, NOW))) == refusals

    def test_leaves_time_for_the_run_before_the_deadline(self) -> None:
        state = build_agent_state()
        fill_slots(state)
        assert state.agent is not None
        state.agent.throughput.seconds_per_token = 0.25
        request = Request(
            "chat", "w", "questions", "POST", "/", (), b"", cost=10, timeout=3.0
        )
        event = Dispatch("router", "brief", "e1", 0, 3.0, 1, request)
        now = NOW + 2.4
        timers = filter_effects(SetTimer, reduce(event, state, now))
        assert SetTimer(now + 0.5, QueueTimedOut("brief")) in timers

    def suspend_one(self) -> State:
        """Return the state of an agent that has suspended q3 for urgent work."""
        state = build_agent_state()
        fill_slots(state)
        dispatch_attempt(state, "urgent", "submissions")
        reduce(PreemptionDue("urgent"), state, NOW)
        assert state.agent is not None
        state.agent.throughput.seconds_per_token = 1.0
        return state

    def test_suspended_answer_is_refused_if_it_would_miss_its_deadline(self) -> None:
        state = self.suspend_one()
        state.fleet.loads_as_of = NOW + 55.0
        effects = reduce(EngineAnswerEnded("urgent"), state, NOW + 55.0)
        assert filter_effects(CallEngine, effects) == []
        [refusal] = list_refusals(effects)
        assert refusal.attempt == "q3"
        assert refusal.problem.kind is ProblemKind.DEADLINE_PASSED
        assert refusal.problem.run_state is RunState.RAN

    def test_suspended_answer_is_refused_before_it_is_next_to_start(self) -> None:
        state = self.suspend_one()
        later = state.fleet.loads_as_of = NOW + 55.0
        refusals = list_refusals(dispatch_attempt(state, "new", now=later))
        assert [item.attempt for item in refusals if item.attempt != "new"] == ["q3"]
