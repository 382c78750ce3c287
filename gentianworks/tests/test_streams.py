"""Tests of streamed answers: what is relayed, and where a cut answer resumes."""

from __future__ import annotations

from gentianworks.codecs.server_events import EventBlock, EventSplitter
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.callers import AbortAnswer, FinishAnswer, RelayPiece
from gentianworks.core.events.dispatch import AttemptConnectionLost
from gentianworks.core.handlers import reduce
from gentianworks.core.routing.retry import MAX_RESUMES
from gentianworks.core.state import State
from gentianworks.core.types import ProblemKind, RunState
from gentianworks.tests.fixtures import (
    NOW,
    build_end,
    build_head,
    build_piece,
    build_state,
    get_dispatch,
    send_request,
)


def start_answer(state: State, events: int) -> str:
    attempt = get_dispatch(send_request(state)).dispatch.attempt
    reduce(build_head(attempt), state, NOW)
    for number in range(events):
        reduce(build_piece(attempt, number, number), state, NOW)
    return attempt


def list_relayed(effects: list[Effect]) -> list[bytes]:
    return [item.data for item in effects if isinstance(item, RelayPiece)]


class TestResume:
    def test_resumes_at_another_endpoint_after_the_last_event(self) -> None:
        state = build_state()
        first = start_answer(state, 3)
        effects = reduce(AttemptConnectionLost(first, was_sent=True), state, NOW)
        second = get_dispatch(effects).dispatch
        assert second.resume_after == 2
        assert list_relayed(reduce(build_piece(first, 3, 3), state, NOW)) == []
        reduce(build_head(second.attempt), state, NOW)
        effects = reduce(build_piece(second.attempt, 0, 3), state, NOW)
        assert list_relayed(effects) == [b"event 3;"]
        assert FinishAnswer("x1") in reduce(build_end(second.attempt, 1), state, NOW)

    def test_drops_events_that_an_engine_repeats(self) -> None:
        state = build_state()
        first = start_answer(state, 2)
        effects = reduce(AttemptConnectionLost(first, was_sent=True), state, NOW)
        second = get_dispatch(effects).dispatch.attempt
        reduce(build_head(second), state, NOW)
        relayed = [
            data
            for number in range(3)
            for data in list_relayed(
                reduce(build_piece(second, number, number), state, NOW)
            )
        ]
        assert relayed == [b"event 2;"]

    def test_aborts_an_answer_that_was_cut_within_an_event(self) -> None:
        state = build_state()
        first = start_answer(state, 2)
        reduce(build_piece(first, 2), state, NOW)
        effects = reduce(AttemptConnectionLost(first, was_sent=True), state, NOW)
        (abort,) = (item for item in effects if isinstance(item, AbortAnswer))
        assert abort.problem.kind is ProblemKind.STREAM_CUT
        assert abort.problem.run_state is RunState.RAN

    def test_aborts_after_a_few_resumes(self) -> None:
        state = build_state(endpoints=10)
        attempt = start_answer(state, 1)
        for _ in range(MAX_RESUMES):
            effects = reduce(AttemptConnectionLost(attempt, was_sent=True), state, NOW)
            attempt = get_dispatch(effects).dispatch.attempt
        effects = reduce(AttemptConnectionLost(attempt, was_sent=True), state, NOW)
        assert any(isinstance(item, AbortAnswer) for item in effects)

    def test_waits_for_an_endpoint_if_none_is_available(self) -> None:
        state = build_state(endpoints=1)
        attempt = start_answer(state, 1)
        effects = reduce(AttemptConnectionLost(attempt, was_sent=True), state, NOW)
        timer = effects[-1]
        effects = reduce(timer.event, state, timer.due_at)  # type: ignore[attr-defined]
        assert get_dispatch(effects).dispatch.resume_after == 0


class TestCompleteness:
    def test_never_finishes_an_answer_that_lacks_a_piece(self) -> None:
        state = build_state()
        attempt = start_answer(state, 2)
        effects = reduce(build_end(attempt, 3), state, NOW)
        assert FinishAnswer("x1") not in effects

    def test_drops_a_duplicate_piece(self) -> None:
        state = build_state()
        attempt = start_answer(state, 2)
        assert list_relayed(reduce(build_piece(attempt, 1, 1), state, NOW)) == []


class TestEventCutter:
    def test_buffers_partial_events_and_numbers_complete_ones(self) -> None:
        cutter = EventSplitter()
        assert cutter.feed(b"id: 0\ndata: a\n\nid: 1\nda") == [
            EventBlock(b"id: 0\ndata: a\n\n", 0, 0)
        ]
        assert cutter.feed(b"ta: b\n\nid: 2\r\ndata: c\r\n\r\ndata: [DONE]\n\nx") == [
            EventBlock(b"id: 1\ndata: b\n\nid: 2\r\ndata: c\r\n\r\n", 1, 2),
            EventBlock(b"data: [DONE]\n\n"),
        ]
        assert cutter.finish() == [EventBlock(b"x")]
