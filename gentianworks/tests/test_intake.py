"""Tests of the HTTP protocol that bounds what a client makes a process hold."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from attrs import define, field

from gentianworks.web import intake as intake_module
from gentianworks.web.intake import ClientLimits, Intake
from gentianworks.web.memory import ClientMemory, RefusalCause
from gentianworks.web.server import (
    Receive,
    Scope,
    Send,
    create_server,
    read_body,
    send_response,
)
from standins.ports import find_free_port

BODY_BYTES = 256 * 1024
TIMEOUT = 10.0  # seconds
CHUNKED = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"


def announce(size: int) -> bytes:
    """Return the head of a request that announces a body."""
    return b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % size


@define
class RecordingApplication:
    """ASGI application that records the sizes of the bodies that it was given."""

    sizes: list[int] = field(factory=list)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        result = await read_body(receive, BODY_BYTES)
        if result.is_ok():
            self.sizes.append(len(result.ok))
            await send_response(send, 200, [(b"content-length", b"0")], b"")


@define
class Site:
    """Server with small limits."""

    address: tuple[str, int]
    intake: Intake
    application: RecordingApplication

    async def send(self, *parts: bytes) -> bytes:
        """Send a request and return all that is answered until the connection closes.

        The client does not close the connection itself.
        """
        reader, writer = await asyncio.open_connection(*self.address)
        try:
            async with asyncio.timeout(TIMEOUT):
                for part in parts:
                    writer.write(part)
                    await asyncio.sleep(0.02)
                return await reader.readuntil(b"\r\n\r\n")
        finally:
            writer.transport.abort()


def run(check: Callable[[Site], Awaitable[None]], **options: Any) -> Site:
    """Run a check against a server and return its state afterwards."""

    async def serve() -> Site:
        limits = ClientLimits(BODY_BYTES, header_timeout=0.2, idle_timeout=5.0)
        intake = Intake(get_limits=lambda: limits, **options)
        application = RecordingApplication()
        port = find_free_port()
        server = create_server(application, f"127.0.0.1:{port}", intake=intake)
        task = asyncio.create_task(server.serve())
        while not server.started:
            await asyncio.sleep(0.01)
        site = Site(("127.0.0.1", port), intake, application)
        await check(site)
        server.stop()
        await task
        return site

    return asyncio.run(serve())


class TestSizes:
    def test_a_body_of_the_greatest_size_is_served(self) -> None:
        async def check(site: Site) -> None:
            answer = await site.send(announce(BODY_BYTES) + bytes(BODY_BYTES))
            assert answer.startswith(b"HTTP/1.1 200")
            chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (BODY_BYTES, bytes(BODY_BYTES))
            assert (await site.send(CHUNKED, chunk)).startswith(b"HTTP/1.1 200")
            chunks = b"1\r\nx\r\n" * 10_000 + b"0\r\n\r\n"
            assert (await site.send(CHUNKED, chunks)).startswith(b"HTTP/1.1 200")

        site = run(check)
        assert site.application.sizes == [BODY_BYTES, BODY_BYTES, 10_000]
        assert site.intake.memory.used_bytes == site.intake.memory.large_bytes == 0

    @pytest.mark.parametrize(
        "parts",
        [
            (announce(BODY_BYTES + 1),),
            (CHUNKED, b"%x\r\n" % (BODY_BYTES + 1), bytes(BODY_BYTES + 1)),
            (CHUNKED, (b"1;%s\r\nx\r\n" % (b"e" * 8000)) * 60),
        ],
    )
    def test_a_body_over_the_limit_is_refused(self, parts: tuple[bytes, ...]) -> None:
        async def check(site: Site) -> None:
            answer = await site.send(*parts)
            assert answer.startswith(b"HTTP/1.1 413")
            assert b"connection: close" in answer.lower()

        site = run(check)
        assert site.application.sizes == []
        assert site.intake.memory.refusals == {RefusalCause.SIZE: 1}
        assert site.intake.memory.used_bytes == 0


class TestRoom:
    def test_a_body_without_room_is_refused_and_never_runs(self) -> None:
        async def check(site: Site) -> None:
            _, first = await asyncio.open_connection(*site.address)
            first.write(announce(BODY_BYTES))
            await asyncio.sleep(0.05)
            answer = await site.send(announce(BODY_BYTES) + bytes(BODY_BYTES))
            assert answer.startswith(b"HTTP/1.1 503")
            assert b"retry-after" in answer.lower()
            assert (await site.send(announce(4) + b"body"))[9:12] == b"200"
            first.transport.abort()
            await asyncio.sleep(0.05)
            answer = await site.send(announce(BODY_BYTES) + bytes(BODY_BYTES))
            assert answer.startswith(b"HTTP/1.1 200")

        site = run(check, memory=ClientMemory(BODY_BYTES + 128 * 1024))
        assert site.application.sizes == [4, BODY_BYTES]
        assert site.intake.memory.refusals == {RefusalCause.MEMORY: 1}


class TestProgress:
    @pytest.mark.parametrize(
        "parts", [(announce(8), b"body"), (CHUNKED, b"4\r\nbody\r\n")]
    )
    def test_a_body_that_does_not_grow_is_ended(self, parts: tuple[bytes, ...]) -> None:
        async def check(site: Site) -> None:
            assert (await site.send(*parts)).startswith(b"HTTP/1.1 408")

        site = run(check)
        assert site.application.sizes == []
        assert site.intake.memory.refusals == {RefusalCause.STALLED: 1}
        assert site.intake.memory.used_bytes == 0


class TestConnections:
    def test_the_longest_idle_connection_makes_room(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(intake_module, "IDLE_TIME", 0.1)

        async def check(site: Site) -> None:
            idle = [await asyncio.open_connection(*site.address) for _ in range(2)]
            answer = await site.send(announce(0))
            assert answer.startswith(b"HTTP/1.1 503")
            await asyncio.sleep(0.2)
            assert (await site.send(announce(0))).startswith(b"HTTP/1.1 200")
            for _, writer in idle:
                writer.transport.abort()

        site = run(check, max_connections=2)
        expected = {RefusalCause.CONNECTIONS: 1, RefusalCause.IDLE: 1}
        assert site.intake.memory.refusals == expected
        assert site.application.sizes == [0]
