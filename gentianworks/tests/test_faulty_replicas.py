"""Tests of replicas that send wrong, surplus or endless bytes, over real sockets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio
import pytest

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.callers import (
    AbortAnswer,
    FinishAnswer,
    RefuseRequest,
    StartAnswer,
)
from gentianworks.core.types import RunState
from gentianworks.tests.faulty_replicas import (
    EARLY_PAUSE,
    FaultyReplica,
    Script,
    build_answer,
    build_chunk,
    build_event,
    build_head,
    build_stream_head,
    join_body,
    repeat_until_closed,
    run_router,
    send,
    send_and_close,
    send_and_reset,
)

PAY: dict[str, Any] = {"path": "/pay/1", "prompt": (), "timeout": 1.5}
BEGUN_STREAM = build_stream_head("$ID") + build_chunk(build_event(0))
WHOLE_STREAM = (
    build_stream_head("$ID")
    + build_chunk(build_event(0) + build_event(1))
    + build_chunk(b"")
)
OWN = build_answer("$ID", b"own answer")
REFUSAL = build_answer("$ID", b"full", 503, not_executed="1")
EVENT_ONLY = BEGUN_STREAM.partition(b"\r\n\r\n")[2]


def get_end(parts: list[Effect]) -> Effect:
    """Return the last part of an answer."""
    return parts[-1]


def order_replicas(
    first: list[Script], second: list[Script]
) -> tuple[FaultyReplica, FaultyReplica]:
    """Return replicas of which either may be the one that is tried first."""
    scripts = [*first, *second]
    return FaultyReplica(scripts), FaultyReplica(scripts)


class TestResumption:
    @pytest.mark.anyio
    @pytest.mark.parametrize(
        "second",
        [
            build_answer("$ID", b"no such page", 404),
            build_answer("$ID", b'{"error": "x"}', content_type="application/json"),
            build_answer("$ID", b"own answer"),
            build_answer("$ID", b"broken", 500),
            build_answer("$ID", b"moved", 302),
            build_stream_head("$ID")
            + build_chunk(b"data: oops\n\n")
            + build_chunk(b""),
            build_stream_head("$ID") + build_chunk(build_event(2)) + build_chunk(b""),
            build_stream_head("$ID") + build_chunk(build_head("x", 500)),
            build_head("$ID", 206, content_type="text/event-stream") + build_event(1),
            b"HTTP/1.1 500 Internal\r\n\r\nHTTP/1.1 500",
        ],
    )
    async def test_an_answer_of_another_kind_never_enters_a_stream(
        self, second: bytes
    ) -> None:
        replicas = order_replicas([send_and_reset(BEGUN_STREAM)], [send(second)])
        async with run_router(*replicas) as router:
            parts = await router.call(timeout=1.0)
        assert join_body(parts) == build_event(0)
        assert isinstance(get_end(parts), AbortAnswer)

    @pytest.mark.anyio
    async def test_a_stream_goes_on_with_the_next_event(self) -> None:
        rest = build_stream_head("$ID") + build_chunk(build_event(1)) + build_chunk(b"")
        replicas = order_replicas([send_and_reset(BEGUN_STREAM)], [send(rest)])
        async with run_router(*replicas) as router:
            parts = await router.call()
        assert join_body(parts) == build_event(0) + build_event(1)
        assert isinstance(get_end(parts), FinishAnswer)
        assert b"last-event-id: 0" in replicas[0].requests[-1] + b"".join(
            replicas[1].requests[-1:]
        )

    @pytest.mark.anyio
    async def test_an_error_that_has_begun_is_not_resumed(self) -> None:
        cut = build_head("$ID", 404, content_length="9") + b"no "
        replicas = order_replicas([send_and_reset(cut)], [send(WHOLE_STREAM)])
        async with run_router(*replicas) as router:
            parts = await router.call()
        assert join_body(parts) == b"no "
        assert isinstance(get_end(parts), AbortAnswer)

    @pytest.mark.anyio
    async def test_a_stream_that_stops_inside_an_event_is_incomplete(self) -> None:
        data = BEGUN_STREAM + build_chunk(b"id: 1\ndata: ha") + build_chunk(b"")
        replicas = order_replicas([send(data)], [send(data)])
        async with run_router(*replicas) as router:
            parts = await router.call()
        assert join_body(parts) == build_event(0)
        assert isinstance(get_end(parts), AbortAnswer)


class TestRepeatedAnswers:
    @pytest.mark.anyio
    async def test_a_repeated_answer_never_reaches_a_later_call(self) -> None:
        first = build_answer("$ID", b"first")
        replica = FaultyReplica([send(first), send(build_answer("r1", b"first") + OWN)])
        async with run_router(replica, service="books") as router:
            await router.call("r1", **PAY)
            parts = await router.call("r2", **PAY)
        assert join_body(parts) == b"own answer"

    @pytest.mark.anyio
    async def test_a_call_with_the_same_id_uses_another_connection(self) -> None:
        replica = FaultyReplica([send(OWN), send(OWN), send(OWN)])
        async with run_router(replica, service="books") as router:
            for request_id in ("r1", "r2", "r1"):
                parts = await router.call(request_id, **PAY)
                assert join_body(parts) == b"own answer"
        assert replica.connection_count == 2

    @pytest.mark.anyio
    async def test_a_refusal_that_comes_again_is_not_taken_by_the_same_id(self) -> None:
        replica = FaultyReplica([send(REFUSAL), send(REFUSAL + OWN)])
        async with run_router(replica, service="books") as router:
            refused = get_end(await router.call("r1", **PAY))
            assert isinstance(refused, RefuseRequest)
            assert refused.problem.run_state is RunState.NOT_RUN
            replica.scripts[:] = [send(OWN)]
            parts = await router.call("r1", **PAY)
        assert join_body(parts) == b"own answer"
        assert replica.connection_count == 2

    @pytest.mark.anyio
    async def test_a_skipped_answer_ends_the_use_of_its_connection(self) -> None:
        late = build_answer("r0", b"late", 503, not_executed="1")
        replica = FaultyReplica([send(late + OWN), send(OWN)])
        async with run_router(replica, service="books") as router:
            assert join_body(await router.call("r1", **PAY)) == b"own answer"
            assert join_body(await router.call("r2", **PAY)) == b"own answer"
        assert replica.connection_count == 2

    @pytest.mark.anyio
    async def test_a_refusal_after_the_true_answer_changes_nothing(self) -> None:
        replica = FaultyReplica([send(OWN + REFUSAL), send(OWN)])
        async with run_router(replica, service="books") as router:
            for request_id in ("r1", "r2"):
                parts = await router.call(request_id, **PAY)
                assert join_body(parts) == b"own answer"
        assert len(replica.requests) == 2

    @pytest.mark.anyio
    async def test_a_refusal_inside_the_true_answer_is_part_of_its_body(self) -> None:
        head = build_head("$ID", content_length=str(len(REFUSAL) - 1))
        replica = FaultyReplica([send(head + REFUSAL)])
        async with run_router(replica, service="books") as router:
            parts = await router.call("r1", **PAY)
        assert len(join_body(parts)) == len(REFUSAL) - 1
        assert isinstance(get_end(parts), FinishAnswer)


HEADS = {
    "with a length": OWN.partition(b"own answer")[0],
    "with chunks": build_head("$ID", 200, transfer_encoding="chunked"),
    "of a stream": build_stream_head("$ID"),
    "that ends with its connection": build_head("$ID"),
}


class TestIncompleteHeads:
    """A replica that stops in its head must not make an empty answer look whole."""

    @pytest.mark.anyio
    @pytest.mark.parametrize("head", HEADS.values(), ids=HEADS.keys())
    @pytest.mark.parametrize("end", [send_and_close, send_and_reset])
    async def test_a_head_that_ends_early_is_no_answer(
        self, head: bytes, end: Callable[[bytes], Script]
    ) -> None:
        head = head.replace(b"$ID", b"r1")
        cuts = [head[:size] for size in range(0, len(head), 7)]
        cuts += [line + b"\r\n" for line in _list_line_starts(head)]
        replica = FaultyReplica([end(cut) for cut in cuts])
        async with run_router(replica, service="books") as router:
            for _ in cuts:
                parts = await router.call("r1", **PAY)
                assert len(parts) == 1
                problem = get_end(parts)
                assert isinstance(problem, RefuseRequest)
                assert problem.problem.run_state is RunState.UNKNOWN

    @pytest.mark.anyio
    @pytest.mark.parametrize("size", [0, 1, 9])
    @pytest.mark.parametrize("end", [send_and_close, send_and_reset])
    async def test_a_body_that_ends_early_is_incomplete(
        self, size: int, end: Callable[[bytes], Script]
    ) -> None:
        cut = OWN.partition(b"own answer")[0] + b"own answer"[:size]
        async with run_router(FaultyReplica([end(cut)]), service="books") as router:
            parts = await router.call("r1", **PAY)
        assert isinstance(get_end(parts), AbortAnswer)


def _list_line_starts(head: bytes) -> list[bytes]:
    """Return what precedes the end of each line but the last two."""
    lines = head.split(b"\r\n")[:-2]
    return [b"\r\n".join(lines[:count]) for count in range(1, len(lines))]


class TestContradictions:
    @pytest.mark.anyio
    @pytest.mark.parametrize(
        "answer",
        [
            build_answer("$ID", b"done", 200, not_executed="1"),
            build_answer("$ID", b"done", 302, not_executed="1"),
            build_head("$ID", content_length="3", transfer_encoding="chunked") + b"0",
            build_head("$ID", content_length="3").replace(
                b"\r\n\r\n", b"\r\ncontent-length: 4\r\n\r\n"
            )
            + b"done",
        ],
    )
    async def test_a_contradictory_answer_is_no_refusal(self, answer: bytes) -> None:
        replicas = order_replicas([send(answer)], [send(OWN)])
        async with run_router(*replicas, service="books") as router:
            refused = get_end(await router.call("r1", **PAY))
        assert isinstance(refused, RefuseRequest)
        assert refused.problem.run_state is not RunState.NOT_RUN
        assert sum(len(item.requests) for item in replicas) == 1

    @pytest.mark.anyio
    async def test_an_interim_answer_is_no_refusal(self) -> None:
        interim = build_head("$ID", 103, not_executed="1")
        replicas = order_replicas([send(interim + OWN)], [send(OWN)])
        async with run_router(*replicas, service="books") as router:
            parts = await router.call("r1", **PAY)
        assert join_body(parts) == b"own answer"
        assert sum(len(item.requests) for item in replicas) == 1

    @pytest.mark.anyio
    async def test_an_answer_before_the_body_was_read_is_used_once(self) -> None:
        replica = FaultyReplica([send(OWN)] * 2, answers_early=True)
        sent = [b"1" * 3_000_000, b"2" * 3_000_000]
        async with run_router(replica, service="books") as router:
            for request_id, body in zip(("r1", "r2"), sent, strict=True):
                parts = await router.call(request_id, body=body, **PAY)
                assert join_body(parts) == b"own answer"
            await anyio.sleep(2 * EARLY_PAUSE)
        assert replica.bodies == sent
        assert replica.connection_count == 1

    @pytest.mark.anyio
    async def test_a_second_answer_to_the_same_call_reaches_nobody(self) -> None:
        replica = FaultyReplica([send(OWN + OWN), send(OWN)], answers_early=True)
        async with run_router(replica, service="books") as router:
            for request_id in ("r1", "r2"):
                parts = await router.call(request_id, body=b"x" * 9000, **PAY)
                assert join_body(parts) == b"own answer"
        assert replica.connection_count == 2


ENDLESS = {
    "interim": repeat_until_closed(b"", b"HTTP/1.1 103 Early\r\n\r\n"),
    "head": repeat_until_closed(b"HTTP/1.1 200 OK\r\nx: ", b"y", 0.0005),
    "header": repeat_until_closed(b"HTTP/1.1 200 OK\r\n", b"x: y\r\n"),
    "skipped": repeat_until_closed(
        build_head("other", transfer_encoding="chunked"), build_chunk(b"z" * 100)
    ),
    "skipped-answers": repeat_until_closed(b"", build_answer("other", b"z")),
    "body": repeat_until_closed(
        build_head("$ID", transfer_encoding="chunked"), build_chunk(b"z" * 1000)
    ),
    "tiny-chunks": repeat_until_closed(
        build_head("$ID", transfer_encoding="chunked"), build_chunk(b"z") * 2000
    ),
    "until-close": repeat_until_closed(build_head("$ID"), b"z" * 1000),
    "extension": repeat_until_closed(
        build_head("$ID", transfer_encoding="chunked") + b"1;", b"e" * 100
    ),
    "trailer": repeat_until_closed(
        build_head("$ID", transfer_encoding="chunked") + b"0\r\n", b"t: u\r\n" * 10
    ),
    "garbage": repeat_until_closed(b"", b"\x00\x01\x02"),
}
ENDLESS_EVENTS = {
    "event": repeat_until_closed(BEGUN_STREAM, build_chunk(b"data: z\n" * 100)),
    "event-bytes": repeat_until_closed(
        build_stream_head("$ID"), build_chunk(b"z"), 0.0005
    ),
    "unnumbered": repeat_until_closed(BEGUN_STREAM, build_chunk(b"data: z\n\n")),
    "small": repeat_until_closed(BEGUN_STREAM, build_chunk(b"data: z\n\n" * 8_000)),
    "repeated": repeat_until_closed(BEGUN_STREAM, build_chunk(b"id: 0\n\n" * 8_000)),
    "mixed": repeat_until_closed(BEGUN_STREAM, build_chunk(b"id: 0\n\n:\n\n" * 8_000)),
}
FLOODS = {
    **ENDLESS_EVENTS,
    "tiny chunks": repeat_until_closed(
        build_head("$ID", 200, transfer_encoding="chunked"), build_chunk(b"z") * 10_000
    ),
    "a body": repeat_until_closed(build_head("$ID"), b"z" * 65_536),
}
FLOODED_CALLERS = 20


class TestEndlessBytes:
    @pytest.mark.anyio
    @pytest.mark.parametrize("name", list(ENDLESS))
    async def test_a_payment_ends_by_its_deadline_and_never_as_not_run(
        self, name: str
    ) -> None:
        replica = FaultyReplica([ENDLESS[name]])
        async with run_router(replica, service="books") as router:
            started = anyio.current_time()
            parts = await router.call("r1", **PAY)
            assert anyio.current_time() - started < PAY["timeout"] + 0.5
            await self.check_closed(replica)
        end = get_end(parts)
        if isinstance(parts[0], StartAnswer):
            assert isinstance(end, AbortAnswer)
        else:
            assert isinstance(end, RefuseRequest)
            assert end.problem.run_state is not RunState.NOT_RUN

    @pytest.mark.anyio
    @pytest.mark.parametrize("name", list(ENDLESS_EVENTS))
    async def test_a_stream_ends_by_its_deadline_as_incomplete(self, name: str) -> None:
        script = ENDLESS_EVENTS[name]
        replicas = order_replicas([script], [script])
        async with run_router(*replicas) as router:
            started = anyio.current_time()
            parts = await router.call("r1", timeout=1.5)
            assert anyio.current_time() - started < 2.0
            await self.check_closed(replicas[0], replicas[1])
        assert isinstance(get_end(parts), AbortAnswer | RefuseRequest)
        assert not any(isinstance(item, FinishAnswer) for item in parts)

    @pytest.mark.anyio
    @pytest.mark.parametrize("name", list(ENDLESS))
    async def test_other_calls_are_served_meanwhile(self, name: str) -> None:
        faulty = FaultyReplica([ENDLESS[name]])
        async with run_router(faulty, service="books") as router:
            sound = FaultyReplica([send(OWN)] * 20)
            async with (
                run_router(sound, service="books") as other,
                anyio.create_task_group() as tasks,
            ):
                tasks.start_soon(lambda: router.call("r1", **PAY))
                await anyio.sleep(0.1)
                for number in range(20):
                    parts = await other.call(f"s{number}", **PAY)
                    assert join_body(parts) == b"own answer"

    @pytest.mark.anyio
    @pytest.mark.parametrize("name", list(FLOODS))
    async def test_calls_of_a_sound_replica_keep_their_deadline(
        self, name: str
    ) -> None:
        """The router parsed all that it had received before it served other calls."""
        faulty = FaultyReplica([FLOODS[name]] * FLOODED_CALLERS)
        sound = FaultyReplica([send(OWN)] * 20, service="books")
        async with (
            run_router(faulty, sound) as router,
            anyio.create_task_group() as tasks,
        ):
            for number in range(FLOODED_CALLERS):
                tasks.start_soon(router.call, f"f{number}")
            await anyio.sleep(0.5)
            for number in range(20):
                parts = await router.call(f"s{number}", **PAY)
                assert join_body(parts) == b"own answer"
            tasks.cancel_scope.cancel()

    @pytest.mark.anyio
    async def test_a_caller_that_leaves_ends_the_endless_answer(self) -> None:
        replica = FaultyReplica([ENDLESS["body"]])
        async with (
            run_router(replica, service="books") as router,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(lambda: router.call("r1", **PAY))
            await anyio.sleep(0.2)
            router.abandon()
            await self.check_closed(replica)
            tasks.cancel_scope.cancel()

    async def check_closed(self, *replicas: FaultyReplica) -> None:
        """Check that the router closed the connections of the endless answers."""
        with anyio.fail_after(2.0):
            for replica in replicas:
                if replica.connection_count:
                    await replica.closed.wait()
