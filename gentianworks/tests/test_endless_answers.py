"""Tests of answers without end that are read as a whole, over real sockets.

The process kept all bytes of such an answer and ran out of memory.
"""

from __future__ import annotations

import asyncio
import tracemalloc
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import httpcore
import pytest
from anyio.abc import TaskGroup

from gentianworks.core.events.base import Event
from gentianworks.core.events.gateway import ReplicaListFailed
from gentianworks.platform import replica_listing
from gentianworks.platform.replica_listing import ListingClient
from gentianworks.process import Process
from gentianworks.tests.gateways import build_gateway
from gentianworks.web import pools
from gentianworks.web.pools import OversizedResponseError, create_pool, send_request

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
