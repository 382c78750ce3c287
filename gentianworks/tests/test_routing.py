"""Tests of a router's decisions: where a request goes, and what its caller receives."""

from __future__ import annotations

import pytest

from gentianworks.core.effects.callers import RefuseRequest
from gentianworks.core.effects.dispatch import SendDispatch
from gentianworks.core.effects.lifecycle import SendMessage
from gentianworks.core.events.callers import CallerDisconnected, DeadlineReached
from gentianworks.core.events.dispatch import AttemptConnectionLost
from gentianworks.core.events.ledger import ClaimAnswered, ClaimWanted, ProofOverdue
from gentianworks.core.events.membership import EndpointState, HeartbeatAnswer
from gentianworks.core.handlers import reduce
from gentianworks.core.ledger.types import Claim, ClaimVerdict
from gentianworks.core.routing.backoff import MAX_FAILURE_SKIP
from gentianworks.core.routing.retry import MAX_BUDGET
from gentianworks.core.state import State
from gentianworks.core.types import (
    AdmissionLevel,
    Load,
    Problem,
    ProblemKind,
    RankWait,
    RunState,
)
from gentianworks.tests.fixtures import (
    NOW,
    build_end,
    build_head,
    build_piece,
    build_refusal,
    build_state,
    get_dispatch,
    send_request,
)

OVERLOADED = Problem(ProblemKind.OVERLOADED, "full", retry_after=1.0)
LEAVING = Problem(ProblemKind.LEAVING, "leaving")
FAILED = Problem(ProblemKind.ENDPOINT_FAILED, "failed", run_state=RunState.UNKNOWN)


def build_answer(*states: EndpointState, version: int = 1) -> HeartbeatAnswer:
    """Return a control host's answer with the states of endpoints."""
    return HeartbeatAnswer("control", "control", 1, (), states, "epoch", 0, version)


def find_home(state: State, now: float, exchange: str) -> str:
    """Return the endpoint that a request is dispatched to."""
    return get_dispatch(send_request(state, now, exchange)).dispatch.endpoint


class TestSpill:
    def test_skips_an_endpoint_that_refused_until_it_may_have_room(self) -> None:
        state = build_state()
        first = get_dispatch(send_request(state)).dispatch
        effects = reduce(build_refusal(first.attempt, OVERLOADED), state, NOW)
        second = get_dispatch(effects).dispatch
        assert second.endpoint != first.endpoint
        again = get_dispatch(send_request(state, NOW + 0.2, "x2")).dispatch
        assert again.endpoint == second.endpoint
        later = get_dispatch(send_request(state, NOW + 0.3, "x3")).dispatch
        assert later.endpoint == first.endpoint

    def test_does_not_skip_it_for_another_workspace_or_rank(self) -> None:
        state = build_state()
        first = get_dispatch(send_request(state)).dispatch
        reduce(build_refusal(first.attempt, OVERLOADED), state, NOW)
        urgent = send_request(state, NOW, "x2", rank="submissions")
        assert get_dispatch(urgent).dispatch.endpoint == first.endpoint

    def test_sends_no_work_to_an_endpoint_that_reports_leaving(self) -> None:
        state = build_state()
        first = get_dispatch(send_request(state)).dispatch
        reduce(build_refusal(first.attempt, LEAVING), state, NOW)
        urgent = send_request(state, NOW + 3, "x2", rank="submissions")
        assert get_dispatch(urgent).dispatch.endpoint != first.endpoint

    def test_sends_work_to_an_endpoint_that_returned_after_leaving(self) -> None:
        state = build_state()
        first = get_dispatch(send_request(state)).dispatch
        reduce(build_answer(EndpointState(first.endpoint, 1, True, False)), state, NOW)
        reduce(build_refusal(first.attempt, LEAVING), state, NOW)
        leaving = EndpointState(first.endpoint, 1, True, True)
        reduce(build_answer(leaving, version=2), state, NOW + 0.5)
        assert find_home(state, NOW + 0.5, "x2") != first.endpoint
        back = EndpointState(first.endpoint, 2, True, False)
        reduce(build_answer(back, version=3), state, NOW + 1)
        assert find_home(state, NOW + 1, "x3") == first.endpoint

    def test_continues_if_more_endpoints_leave_than_it_may_try(self) -> None:
        state = build_state()
        effects = send_request(state)
        for _ in range(4):
            dispatch = get_dispatch(effects).dispatch
            effects = reduce(build_refusal(dispatch.attempt, LEAVING), state, NOW)
        assert get_dispatch(effects).dispatch.endpoint != dispatch.endpoint

    def test_tries_an_endpoint_again_that_left_and_returned(self) -> None:
        state = build_state(endpoints=2)
        effects = send_request(state)
        first = get_dispatch(effects).dispatch
        reduce(build_answer(EndpointState(first.endpoint, 1, True, False)), state, NOW)
        effects = reduce(build_refusal(first.attempt, LEAVING), state, NOW)
        second = get_dispatch(effects).dispatch
        back = EndpointState(first.endpoint, 2, True, False)
        reduce(build_answer(back, version=2), state, NOW + 1)
        effects = reduce(build_refusal(second.attempt, LEAVING), state, NOW + 1)
        assert get_dispatch(effects).dispatch.endpoint == first.endpoint

    def test_tries_a_held_endpoint_if_the_last_other_one_leaves(self) -> None:
        state = build_state(endpoints=2)
        first = get_dispatch(send_request(state)).dispatch
        (other,) = {"chat-1", "chat-2"} - {first.endpoint}
        held = EndpointState(other, 1, True, False, is_held=True)
        reduce(build_answer(held), state, NOW)
        effects = reduce(build_refusal(first.attempt, LEAVING), state, NOW)
        assert get_dispatch(effects).dispatch.endpoint == other

    @pytest.mark.parametrize(
        ("rank", "elapsed", "spills"),
        [
            ("drafts", 0.1, True),
            ("drafts", 0.7, False),
            ("submissions", 0.1, False),
        ],
    )
    def test_spills_from_a_home_where_work_of_its_rank_would_wait(
        self, rank: str, elapsed: float, spills: bool
    ) -> None:
        state = build_state()
        first = get_dispatch(send_request(state)).dispatch
        level = AdmissionLevel(waits=(RankWait("drafts", 1.0),))
        answer = build_head(first.attempt, Load(requests=8, queued=50), level)
        reduce(answer, state, NOW)
        second = get_dispatch(
            send_request(state, NOW + elapsed, "x2", rank=rank)
        ).dispatch
        assert (second.endpoint != first.endpoint) == spills

    def test_reports_the_last_refusal_once_every_candidate_refused(self) -> None:
        state = build_state()
        effects = send_request(state)
        for _ in range(3):
            attempt = get_dispatch(effects).dispatch.attempt
            effects = reduce(build_refusal(attempt, OVERLOADED), state, NOW)
        assert effects == [RefuseRequest("x1", OVERLOADED)]


class TestRetries:
    def test_dispatches_no_unrepeatable_work_before_it_is_claimed(self) -> None:
        state = build_state()
        state.control_addresses = ("control",)
        effects = send_request(state, is_repeatable=False)
        sends = [item for item in effects if isinstance(item, SendMessage)]
        assert [type(item.message) for item in sends] == [ClaimWanted]
        assert not any(isinstance(item, SendDispatch) for item in effects)

    def test_repeats_no_claimed_work_that_was_cut(self) -> None:
        state = build_state()
        send_request(state, is_repeatable=False)
        claim = Claim("00" * 12, 1, "chat-1", 7)
        grant = ClaimAnswered("control", "x1", ClaimVerdict.GRANTED, claim, None)
        reduce(grant, state, NOW)
        lost = reduce(AttemptConnectionLost(claim.attempt, was_sent=True), state, NOW)
        assert not any(isinstance(item, SendDispatch) for item in lost)
        reduce(DeadlineReached("x1"), state, NOW)
        effects = reduce(ProofOverdue("x1"), state, NOW)
        (refused,) = (item for item in effects if isinstance(item, RefuseRequest))
        assert refused.problem.kind is ProblemKind.OUTCOME_UNKNOWN
        assert refused.problem.run_state is RunState.UNKNOWN

    def test_gives_up_after_two_engines_failed(self) -> None:
        state = build_state()
        effects = send_request(state)
        for _ in range(2):
            attempt = get_dispatch(effects).dispatch.attempt
            effects = reduce(build_refusal(attempt, FAILED), state, NOW)
        assert effects == [RefuseRequest("x1", FAILED)]

    def test_does_not_multiply_the_load_of_a_fault(self) -> None:
        state = build_state()
        retries = 0
        for number in range(1000):
            now = NOW + number * 2 * MAX_FAILURE_SKIP
            dispatch = get_dispatch(send_request(state, now, f"x{number}")).dispatch
            effects = reduce(build_refusal(dispatch.attempt, FAILED), state, now)
            retries += not any(isinstance(item, RefuseRequest) for item in effects)
            reduce(CallerDisconnected(f"x{number}"), state, now)
        assert retries <= 0.2 * 1000 + MAX_BUDGET

    @pytest.mark.parametrize("answers", [False, True])
    def test_reports_not_run_only_if_no_attempt_may_have_run(
        self, answers: bool
    ) -> None:
        state = build_state()
        dispatch = get_dispatch(send_request(state)).dispatch
        if answers:
            reduce(build_head(dispatch.attempt), state, NOW)
        effects = reduce(DeadlineReached("x1"), state, NOW + 60)
        (refused,) = (item for item in effects if isinstance(item, RefuseRequest))
        expected = RunState.RAN if answers else RunState.UNKNOWN
        assert refused.problem.run_state is expected

    def test_reports_unknown_if_an_attempt_was_lost_and_the_next_refused(self) -> None:
        state = build_state(endpoints=2)
        dispatch = get_dispatch(send_request(state)).dispatch
        effects = reduce(
            AttemptConnectionLost(dispatch.attempt, was_sent=True), state, NOW
        )
        attempt = get_dispatch(effects).dispatch.attempt
        problem = Problem(ProblemKind.QUARANTINED, "crashes engines")
        (refused,) = reduce(build_refusal(attempt, problem), state, NOW)
        assert isinstance(refused, RefuseRequest)
        assert refused.problem.run_state is RunState.UNKNOWN

    def test_gives_each_hop_less_time(self) -> None:
        dispatch = get_dispatch(send_request(build_state(), timeout=1.0)).dispatch
        assert 0 < dispatch.deadline < 1.0


class TestArrival:
    def test_uses_the_default_rank_of_the_service(self) -> None:
        dispatch = get_dispatch(send_request(build_state(), rank="")).dispatch
        assert dispatch.request.rank == "drafts"

    def test_removes_exchanges_that_ended(self) -> None:
        state = build_state()
        attempt = get_dispatch(send_request(state)).dispatch.attempt
        for event in (
            build_head(attempt),
            build_piece(attempt, 0, 0),
            build_end(attempt, 1),
        ):
            reduce(event, state, NOW)
        assert state.router.exchanges == {}
        assert state.router.exchange_of_attempt == {}
