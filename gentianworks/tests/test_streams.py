"""Tests of streamed answers: what reaches a caller, and where a cut one goes on."""

from __future__ import annotations

from gentianworks.codecs.server_events import EventBlock, EventSplitter
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.callers import AbortAnswer, FinishAnswer, RelayPiece
from gentianworks.core.events.dispatch import AttemptCut
from gentianworks.core.handlers import reduce
from gentianworks.core.routing.retry import MAX_RESUMES
from gentianworks.core.state import State
from gentianworks.core.types import ProblemKind, RunState
from gentianworks.tests.fixtures import (
    NOW,
    build_state,
    end,
    find_dispatch,
    head,
    piece,
    send_request,
)


def begin(state: State, events: int) -> str:
    attempt = find_dispatch(send_request(state)).dispatch.attempt
    reduce(head(attempt), state, NOW)
    for number in range(events):
        reduce(piece(attempt, number, number), state, NOW)
    return attempt


def list_data(effects: list[Effect]) -> list[bytes]:
    return [item.data for item in effects if isinstance(item, RelayPiece)]


class TestResume:
    def test_goes_on_at_another_endpoint_after_the_last_event(self) -> None:
        state = build_state()
        first = begin(state, 3)
        effects = reduce(AttemptCut(first, was_sent=True), state, NOW)
        second = find_dispatch(effects).dispatch
        assert second.resume_after == 2
        assert list_data(reduce(piece(first, 3, 3), state, NOW)) == []
        reduce(head(second.attempt), state, NOW)
        effects = reduce(piece(second.attempt, 0, 3), state, NOW)
        assert list_data(effects) == [b"event 3;"]
        assert FinishAnswer("x1") in reduce(end(second.attempt, 1), state, NOW)

    def test_drops_events_that_an_engine_sends_again(self) -> None:
        state = build_state()
        first = begin(state, 2)
        effects = reduce(AttemptCut(first, was_sent=True), state, NOW)
        second = find_dispatch(effects).dispatch.attempt
        reduce(head(second), state, NOW)
        relayed = [
            data
            for number in range(3)
            for data in list_data(reduce(piece(second, number, number), state, NOW))
        ]
        assert relayed == [b"event 2;"]

    def test_aborts_an_answer_that_ends_in_no_whole_event(self) -> None:
        state = build_state()
        first = begin(state, 2)
        reduce(piece(first, 2), state, NOW)
        effects = reduce(AttemptCut(first, was_sent=True), state, NOW)
        (abort,) = (item for item in effects if isinstance(item, AbortAnswer))
        assert abort.problem.kind is ProblemKind.STREAM_CUT
        assert abort.problem.run_state is RunState.RAN

    def test_aborts_after_a_few_resumes(self) -> None:
        state = build_state(endpoints=10)
        attempt = begin(state, 1)
        for _ in range(MAX_RESUMES):
            effects = reduce(AttemptCut(attempt, was_sent=True), state, NOW)
            attempt = find_dispatch(effects).dispatch.attempt
        effects = reduce(AttemptCut(attempt, was_sent=True), state, NOW)
        assert any(isinstance(item, AbortAnswer) for item in effects)

    def test_waits_for_an_endpoint_where_there_is_none(self) -> None:
        state = build_state(endpoints=1)
        attempt = begin(state, 1)
        effects = reduce(AttemptCut(attempt, was_sent=True), state, NOW)
        timer = effects[-1]
        effects = reduce(timer.event, state, timer.at)  # type: ignore[attr-defined]
        assert find_dispatch(effects).dispatch.resume_after == 0


class TestWholeness:
    def test_never_ends_an_answer_that_lacks_a_piece(self) -> None:
        state = build_state()
        attempt = begin(state, 2)
        effects = reduce(end(attempt, 3), state, NOW)
        assert FinishAnswer("x1") not in effects

    def test_drops_a_doubled_piece(self) -> None:
        state = build_state()
        attempt = begin(state, 2)
        assert list_data(reduce(piece(attempt, 1, 1), state, NOW)) == []


class TestEventCutter:
    def test_holds_half_events_back_and_numbers_whole_ones(self) -> None:
        cutter = EventSplitter()
        assert cutter.feed(b"id: 0\ndata: a\n\nid: 1\nda") == [
            EventBlock(b"id: 0\ndata: a\n\n", 0, 0)
        ]
        assert cutter.feed(b"ta: b\n\nid: 2\r\ndata: c\r\n\r\ndata: [DONE]\n\nx") == [
            EventBlock(b"id: 1\ndata: b\n\nid: 2\r\ndata: c\r\n\r\n", 1, 2),
            EventBlock(b"data: [DONE]\n\n"),
        ]
        assert cutter.finish() == [EventBlock(b"x")]
