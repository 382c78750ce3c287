"""Tests of answers without end, over real sockets.

A process that kept the bytes of such answers ran out of memory.
"""

from __future__ import annotations

import asyncio
import socket
import tracemalloc
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial

import anyio
import httpcore
import pytest
from anyio.abc import TaskGroup

from gentianworks.core.events.base import Event
from gentianworks.core.events.gateway import ReplicaListFailed
from gentianworks.outbox import MIN_QUEUED_BYTES
from gentianworks.platform import replica_listing
from gentianworks.platform.applications import ClientApplication
from gentianworks.platform.replica_listing import ListingClient
from gentianworks.process import Process
from gentianworks.tests.faulty_replicas import (
    FaultyReplica,
    build_answer,
    build_head,
    repeat_until_closed,
    run_router,
    send,
)
from gentianworks.tests.gateways import KEY, build_gateway
from gentianworks.web import pools
from gentianworks.web.connections import READ_BYTES
from gentianworks.web.pools import OversizedResponseError, create_pool, send_request
from gentianworks.web.server import create_server

LIMIT = 1024 * 1024  # bytes, in place of the limit of the product
PIECE = b" " * 64 * 1024
ENDLESS_BODIES = {
    "with a length": b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
    "until the connection ends": b"HTTP/1.1 200 OK\r\n\r\n",
    "an error": b"HTTP/1.1 500 X\r\ncontent-length: 99999999999\r\n\r\n",
}
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


@asynccontextmanager
async def serve_endlessly(head: bytes, unit: bytes = PIECE) -> AsyncIterator[str]:
    """Serve each request with a head and bytes until the client closes."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head)
            while not writer.transport.is_closing():
                writer.write(unit)
                await writer.drain()
                await asyncio.sleep(0)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    try:
        host, port = server.sockets[0].getsockname()
        yield f"{host}:{port}"
    finally:
        server.close()


class EventRecorder(Process):
    """Process that records events in place of reducing them."""

    def __init__(self, tasks: TaskGroup) -> None:
        super().__init__(state=build_gateway(), tasks=tasks)
        self.events: list[Event] = []

    def handle(self, event: Event) -> None:
        self.events.append(event)


@pytest.mark.parametrize("head", ENDLESS_BODIES.values(), ids=ENDLESS_BODIES.keys())
class TestEndlessBodies:
    @pytest.mark.anyio
    async def test_a_list_of_replicas_is_given_up_at_its_limit(
        self, head: bytes, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(replica_listing, "MAX_LIST_BYTES", LIMIT)
        monkeypatch.setattr(replica_listing, "FETCH_TIMEOUT", 5.0)
        async with anyio.create_task_group() as tasks, serve_endlessly(head) as address:
            process = EventRecorder(tasks)
            tracemalloc.start()
            with anyio.fail_after(4.0):
                await ListingClient(address).fetch(process)
            _, peak_bytes = tracemalloc.get_traced_memory()
            tracemalloc.stop()
        (failed,) = process.events
        assert isinstance(failed, ReplicaListFailed)
        assert "over" in failed.detail
        assert peak_bytes < 8 * LIMIT

    @pytest.mark.anyio
    async def test_another_answer_is_given_up_at_its_limit(
        self, head: bytes, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(pools, "MAX_RESPONSE_BYTES", LIMIT)
        async with serve_endlessly(head) as address, create_pool() as pool:
            with pytest.raises(OversizedResponseError):
                await send_request(pool, "GET", f"http://{address}/", timeout=4.0)


class TestEndlessInterimAnswers:
    @pytest.mark.anyio
    async def test_the_whole_exchange_has_a_time_limit(self) -> None:
        async with (
            serve_endlessly(INTERIM, INTERIM) as address,
            create_pool() as pool,
        ):
            with pytest.raises(httpcore.ReadTimeout), anyio.fail_after(4.0):
                await send_request(pool, "GET", f"http://{address}/", timeout=0.3)


class TestCallersThatDoNotRead:
    """Each held half a megabyte, so that enough of them ended their router."""

    CALLERS = 60
    MEMORY = 2 * 1024 * 1024  # bytes

    @pytest.mark.anyio
    async def test_their_answers_share_a_bounded_memory(self) -> None:
        body = build_head("$ID", content_length="99999999999")
        endless = FaultyReplica(
            [repeat_until_closed(body, PIECE) for _ in range(self.CALLERS)]
        )
        sound = FaultyReplica(
            [send(build_answer("$ID", b"own answer"))] * 5, service="books"
        )
        async with run_router(endless, sound) as router:
            memory = router.process.outbox_memory
            memory.limit_bytes = self.MEMORY
            async with serve_clients(router.process) as address:
                host, _, port = address.rpartition(":")
                writers = []
                for number in range(self.CALLERS):
                    _, writer = await asyncio.open_connection(host, int(port), limit=1)
                    writer.write(build_request(f"f{number}", "/chat/1"))
                    writers.append(writer)
                await anyio.sleep(1.0)
                assert len(router.process.outboxes) == self.CALLERS
                surplus = self.CALLERS * (MIN_QUEUED_BYTES + READ_BYTES)
                assert 0 < memory.queued_bytes <= self.MEMORY + surplus
                for number in range(5):
                    reader, writer = await asyncio.open_connection(host, int(port))
                    writer.write(build_request(f"s{number}", "/pay/1"))
                    with anyio.fail_after(2.0):
                        answer = await reader.readuntil(b"own answer")
                    assert answer.startswith(b"HTTP/1.1 200")
                    writer.close()
                for writer in writers:
                    writer.transport.abort()
                await anyio.sleep(0.2)
                assert memory.queued_bytes == 0
                assert not router.process.outboxes


def build_request(request_id: str, path: str) -> bytes:
    """Return a request of the workspace that the router of the tests knows."""
    return (
        f"GET {path} HTTP/1.1\r\nhost: a.example\r\nrequest-id: {request_id}\r\n"
        f"authorization: Bearer {KEY}\r\nrequest-deadline: 4000\r\n\r\n"
    ).encode()


@asynccontextmanager
async def serve_clients(process: Process) -> AsyncIterator[str]:
    """Serve a router's clients at an address."""
    listener = socket.create_server(("127.0.0.1", 0))
    host, port = listener.getsockname()
    server = create_server(ClientApplication(process), f"{host}:{port}")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(partial(server.serve, sockets=[listener]))
        yield f"{host}:{port}"
        server.stop()
        tasks.cancel_scope.cancel()
    listener.close()
