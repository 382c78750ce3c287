"""Tests of the parts of an answer on their way to a connection."""

from __future__ import annotations

import anyio
import pytest

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.callers import FinishAnswer, RelayPiece
from gentianworks.outbox import MAX_JOINED_BYTES, MAX_WAITING_PARTS, Outbox
from gentianworks.web.answers import merge_queued_parts

TIMEOUT = 10.0  # seconds


def take_all(outbox: Outbox, count: int) -> list[Effect]:
    """Return so many parts, each joined with those that wait behind it."""

    async def take() -> list[Effect]:
        with anyio.fail_after(TIMEOUT):
            return [
                merge_queued_parts(await outbox.take(), outbox) for _ in range(count)
            ]

    return anyio.run(take)


class TestJoining:
    def test_pieces_that_wait_go_in_one_write_before_the_end(self) -> None:
        outbox = Outbox()
        for number in range(5):
            outbox.put(RelayPiece("e1", b"%d" % number))
        outbox.put(FinishAnswer("e1"))
        joined = [RelayPiece("e1", b"01234"), FinishAnswer("e1")]
        assert take_all(outbox, 2) == joined

    @pytest.mark.parametrize("size", [MAX_JOINED_BYTES, MAX_JOINED_BYTES // 2])
    def test_joins_no_more_than_a_bounded_number_of_bytes(self, size: int) -> None:
        outbox = Outbox()
        for _ in range(4):
            outbox.put(RelayPiece("e1", b"x" * size))
        taken = take_all(outbox, 4 * size // MAX_JOINED_BYTES)
        assert taken == [RelayPiece("e1", b"x" * MAX_JOINED_BYTES)] * len(taken)


class TestOutbox:
    def test_readers_wait_while_it_is_full_and_writers_while_it_is_empty(self) -> None:
        outbox = Outbox()
        count = 10 * MAX_WAITING_PARTS
        data = bytearray()
        most = 0

        async def feed() -> None:
            nonlocal most
            for number in range(count):
                await outbox.wait_for_room()
                outbox.put(RelayPiece("e1", b"%d;" % number))
                most = max(most, outbox.count_waiting())

        async def take() -> None:
            while data.count(b";") < count:
                part = merge_queued_parts(await outbox.take(), outbox)
                assert isinstance(part, RelayPiece)
                data.extend(part.data)
                await anyio.sleep(0)

        async def run() -> None:
            with anyio.fail_after(TIMEOUT):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(feed)
                    tasks.start_soon(take)

        anyio.run(run)
        assert data == b"".join(b"%d;" % number for number in range(count))
        assert most == MAX_WAITING_PARTS
