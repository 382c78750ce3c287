"""Tests of connections to replicas that answer late, doubly, partly or not at all."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest
from attrs import define, field

from gentianworks.web.connections import (
    Connection,
    ConnectionPool,
    Fault,
    RequestHead,
)

HEAD = RequestHead("GET", "/", ((b"host", b"a"),))
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
OWN = b"HTTP/1.1 200 OK\r\nrequest-id: own\r\ncontent-length: 3\r\n\r\nown"
OTHER = b"HTTP/1.1 200 OK\r\nrequest-id: other\r\ncontent-length: 5\r\n\r\nother"


@define(eq=False)
class Answer:
    """Gather an answer; only those with the id `own` are known."""

    done: anyio.Event = field(factory=anyio.Event)
    body: bytes = b""
    is_whole: bool = False
    fault: Fault | None = None

    def take_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        return dict(headers).get(b"request-id", b"own") == b"own"

    def take_data(self, data: bytes) -> None:
        self.body += data

    def take_end(self) -> None:
        self.is_whole = True
        self.done.set()

    def take_fault(self, fault: Fault, detail: str) -> None:
        self.fault = fault
        self.done.set()


@asynccontextmanager
async def serve(
    *answers: bytes, closes: bool = False, resets: bool = False
) -> AsyncIterator[str]:
    """Serve the answers, one for each request of a connection."""

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for data in answers:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
            await writer.drain()
        if resets:
            await asyncio.sleep(0.05)
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        elif closes:
            writer.close()

    server = await asyncio.start_server(talk, "127.0.0.1", 0)
    try:
        host, port = server.sockets[0].getsockname()
        yield f"{host}:{port}"
    finally:
        server.close()


async def ask(connection: Connection) -> Answer:
    """Send a request and wait for the end of its answer."""
    answer = Answer()
    connection.send(HEAD, b"", answer)
    with anyio.fail_after(5):
        await answer.done.wait()
    return answer


class TestAnswers:
    @pytest.mark.anyio
    async def test_a_connection_is_used_again_after_a_whole_answer(self) -> None:
        pool = ConnectionPool()
        async with serve(OWN, OWN) as address:
            connection = await pool.connect(address)
            assert (await ask(connection)).body == b"own"
            again = pool.borrow(address, connection.idle_since, is_careful=True)
            assert again is connection
            assert (await ask(connection)).is_whole

    @pytest.mark.anyio
    async def test_an_answer_to_another_request_is_skipped(self) -> None:
        async with serve(OTHER + OWN) as address:
            connection = await ConnectionPool().connect(address)
            answer = await ask(connection)
            assert answer.is_whole
            assert answer.body == b"own"

    @pytest.mark.anyio
    async def test_a_surplus_answer_ends_its_connection(self) -> None:
        pool = ConnectionPool()
        async with serve(OWN + OTHER) as address:
            connection = await pool.connect(address)
            assert (await ask(connection)).body == b"own"
            assert pool.borrow(address, connection.idle_since, False) is None

    @pytest.mark.anyio
    async def test_a_surplus_answer_that_comes_later_ends_it_too(self) -> None:
        pool = ConnectionPool()
        async with serve(OWN, closes=True) as address:
            connection = await pool.connect(address)
            assert (await ask(connection)).is_whole
            await asyncio.sleep(0.05)
            assert pool.borrow(address, connection.idle_since, False) is None


class TestFaults:
    @pytest.mark.anyio
    async def test_a_body_that_is_cut_short_is_not_whole(self) -> None:
        async with serve(OWN[:-1], closes=True) as address:
            answer = await ask(await ConnectionPool().connect(address))
            assert not answer.is_whole
            assert answer.fault is not None

    @pytest.mark.anyio
    async def test_bytes_that_are_no_answer_are_told_as_such(self) -> None:
        async with serve(b"\x00\x01nonsense\r\n\r\n") as address:
            answer = await ask(await ConnectionPool().connect(address))
            assert answer.fault is Fault.MALFORMED

    @pytest.mark.anyio
    async def test_an_answer_without_length_ends_with_its_connection(self) -> None:
        async with serve(b"HTTP/1.1 200 OK\r\n\r\nown", closes=True) as address:
            answer = await ask(await ConnectionPool().connect(address))
            assert answer.is_whole
            assert answer.body == b"own"

    @pytest.mark.anyio
    async def test_an_answer_without_length_that_is_reset_is_not_whole(self) -> None:
        async with serve(b"HTTP/1.1 200 OK\r\n\r\nown", resets=True) as address:
            answer = await ask(await ConnectionPool().connect(address))
            assert not answer.is_whole
            assert answer.fault is Fault.CUT

    @pytest.mark.anyio
    async def test_nobody_listening_is_an_error_at_once(self) -> None:
        async with serve() as address:
            pass
        with pytest.raises(ConnectionRefusedError):
            await ConnectionPool().connect(address)
