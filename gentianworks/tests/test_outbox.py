"""Tests of the queue of response parts and of their coalescing."""

from __future__ import annotations

import anyio
import pytest

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.callers import FinishAnswer, RelayPiece
from gentianworks.outbox import MAX_COALESCED_BYTES, MAX_QUEUED_PARTS, Outbox
from gentianworks.web.answers import merge_queued_parts

TIMEOUT = 10.0  # seconds


def get_parts(outbox: Outbox, count: int) -> list[Effect]:
    """Return `count` parts, each coalesced with those queued behind it."""

    async def consume() -> list[Effect]:
        with anyio.fail_after(TIMEOUT):
            return [
                merge_queued_parts(await outbox.get(), outbox) for _ in range(count)
            ]

    return anyio.run(consume)


class TestCoalescing:
    def test_queued_pieces_are_coalesced_up_to_the_end(self) -> None:
        outbox = Outbox()
        for number in range(5):
            outbox.put(RelayPiece("e1", b"%d" % number))
        outbox.put(FinishAnswer("e1"))
        coalesced = [RelayPiece("e1", b"01234"), FinishAnswer("e1")]
        assert get_parts(outbox, 2) == coalesced

    @pytest.mark.parametrize("size", [MAX_COALESCED_BYTES, MAX_COALESCED_BYTES // 2])
    def test_coalesced_bytes_are_bounded(self, size: int) -> None:
        outbox = Outbox()
        for _ in range(4):
            outbox.put(RelayPiece("e1", b"x" * size))
        parts = get_parts(outbox, 4 * size // MAX_COALESCED_BYTES)
        assert parts == [RelayPiece("e1", b"x" * MAX_COALESCED_BYTES)] * len(parts)


class TestOutbox:
    def test_producer_waits_while_full_and_consumer_while_empty(self) -> None:
        outbox = Outbox()
        count = 10 * MAX_QUEUED_PARTS
        data = bytearray()
        max_queued = 0

        async def produce() -> None:
            nonlocal max_queued
            for number in range(count):
                await outbox.wait_for_room()
                outbox.put(RelayPiece("e1", b"%d;" % number))
                max_queued = max(max_queued, outbox.count_queued())

        async def consume() -> None:
            while data.count(b";") < count:
                part = merge_queued_parts(await outbox.get(), outbox)
                assert isinstance(part, RelayPiece)
                data.extend(part.data)
                await anyio.sleep(0)

        async def run() -> None:
            with anyio.fail_after(TIMEOUT):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(produce)
                    tasks.start_soon(consume)

        anyio.run(run)
        assert data == b"".join(b"%d;" % number for number in range(count))
        assert max_queued == MAX_QUEUED_PARTS
