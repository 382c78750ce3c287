"""Tests of streamed answers: what is relayed, and where a cut answer resumes."""

from __future__ import annotations

import time
from typing import Any

import pytest
from attrs import evolve

from gentianworks.codecs.server_events import (
    MAX_EVENT_BYTES,
    EventBlock,
    EventSplitter,
    EventTooLongError,
)
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.callers import AbortAnswer, FinishAnswer, RelayPiece
from gentianworks.core.events.dispatch import AttemptConnectionLost
from gentianworks.core.handlers import reduce
from gentianworks.core.routing.retry import MAX_RESUMES
from gentianworks.core.state import State
from gentianworks.core.types import Header, ProblemKind, RunState
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

    @pytest.mark.parametrize(
        "changes",
        [
            {"status": 404},
            {"headers": (Header("content-type", "application/json"),)},
            {"headers": ()},
        ],
    )
    def test_never_goes_on_with_an_answer_of_another_kind(
        self, changes: dict[str, Any]
    ) -> None:
        state = build_state()
        stream = (Header("content-type", "text/event-stream; charset=utf-8"),)
        first = get_dispatch(send_request(state)).dispatch.attempt
        reduce(evolve(build_head(first), headers=stream), state, NOW)
        reduce(build_piece(first, 0, 0), state, NOW)
        effects = reduce(AttemptConnectionLost(first, was_sent=True), state, NOW)
        second = get_dispatch(effects).dispatch.attempt
        head = evolve(build_head(second), headers=stream)
        reduce(evolve(head, **changes), state, NOW)
        later = [
            *reduce(build_piece(second, 0), state, NOW),
            *reduce(build_end(second, 1), state, NOW),
        ]
        assert list_relayed(later) == []
        assert FinishAnswer("x1") not in later

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
        assert cutter.has_incomplete_event()

    def test_an_event_without_end_is_an_error(self) -> None:
        cutter = EventSplitter()
        cutter.feed(b"z" * MAX_EVENT_BYTES)
        with pytest.raises(EventTooLongError):
            cutter.feed(b"z")

    def test_the_work_for_each_byte_does_not_grow_with_the_event(self) -> None:
        short, long = MAX_EVENT_BYTES // 32, MAX_EVENT_BYTES // 2
        per_byte = {
            size: min(_measure_bytewise(size) for _ in range(3)) / size
            for size in (short, long)
        }
        assert per_byte[long] < 4 * per_byte[short]  # 16 if it grew with the event

    @pytest.mark.parametrize("event", [b"data: x\n\n", b"id: %d\ndata: some words\n\n"])
    def test_the_work_for_each_event_does_not_grow_with_their_number(
        self, event: bytes
    ) -> None:
        """A replica that sent small events without end held up all other calls."""
        few, many = 1_000, 64_000
        per_event = {
            count: min(_measure_events(event, count) for _ in range(3)) / count
            for count in (few, many)
        }
        assert per_event[many] < 3 * per_event[few]

    def test_events_of_one_piece_are_grouped_by_their_numbers(self) -> None:
        stream = (
            b"id: 3\n\nid: 4\ndata: a\n\ndata: b\n\n\n\nid: 5\r\n\r\nid: 5\n\n"
            b"id: 7\n\ndata: c\r\rid: 8\n\n: d\n\nid: x\n\n"
        )
        blocks = EventSplitter().feed(stream)
        assert b"".join(item.data for item in blocks) == stream
        assert [(item.first_event, item.last_event) for item in blocks] == [
            (3, 4),
            (-1, -1),
            (5, 5),
            (5, 5),
            (7, 7),
            (-1, -1),
            (8, 8),
            (-1, -1),
        ]


def _measure_events(event: bytes, count: int) -> float:
    """Return the processor time to feed a number of events in one piece."""
    numbered = b"%d" in event
    data = b"".join(event % number if numbered else event for number in range(count))
    cutter = EventSplitter()
    started = time.process_time()
    cutter.feed(data)
    return time.process_time() - started


def _measure_bytewise(size: int) -> float:
    """Return the processor time to feed an event of a size byte by byte."""
    cutter = EventSplitter()
    started = time.process_time()
    for _ in range(size):
        cutter.feed(b"z")
    return time.process_time() - started
