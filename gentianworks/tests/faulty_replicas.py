"""Faulty replicas: a router in one process with replicas that answer as scripted."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any

import anyio
from attrs import define, evolve, field

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.callers import (
    AbortAnswer,
    FinishAnswer,
    RefuseRequest,
    RelayPiece,
)
from gentianworks.core.events.gateway import (
    CallAbandoned,
    CallArrived,
)
from gentianworks.core.gateway.replicas import (
    ListVersion,
    Replica,
    ReplicaRegistry,
)
from gentianworks.core.types import Header
from gentianworks.outbox import Outbox
from gentianworks.platform import applications
from gentianworks.platform.replicas import ReplicaClient
from gentianworks.process import Process
from gentianworks.telemetry.metrics import Metrics
from gentianworks.tests.gateways import CALL, build_gateway, get_gateway

assert applications  # registers the functions that perform parts of answers

ENDS = (FinishAnswer, AbortAnswer, RefuseRequest)
REQUEST_END = b"\r\n\r\n"
EARLY_PAUSE = 0.2  # seconds in which the next request is sent
TEST_TIMEOUT = 6.0  # seconds
CLOSE_TIME = 0.02  # seconds in which the end of the bytes arrives

# Writes the bytes of one answer; the argument is the id of the request.
Script = Callable[[asyncio.StreamWriter, str], Awaitable[None]]


def build_head(request_id: str, status: int = 200, /, **headers: str) -> bytes:
    """Return the head of a signed answer."""
    lines = [f"HTTP/1.1 {status} X", f"request-id: {request_id}"]
    values = {"response_signature": "s", **headers}
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in values.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def build_answer(
    request_id: str, body: bytes, status: int = 200, /, **headers: str
) -> bytes:
    """Return a signed answer with a length."""
    headers["content_length"] = str(len(body))
    return build_head(request_id, status, **headers) + body


def build_stream_head(request_id: str, **headers: str) -> bytes:
    """Return the head of a signed stream of events in chunks."""
    headers["transfer_encoding"] = "chunked"
    headers["content_type"] = "text/event-stream"
    return build_head(request_id, 200, **headers)


def build_chunk(data: bytes) -> bytes:
    """Return one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def build_event(number: int, text: str = "e") -> bytes:
    """Return a numbered event."""
    return b"id: %d\ndata: %s%d\n\n" % (number, text.encode(), number)


def send(data: bytes) -> Script:
    """Return a script that writes bytes and keeps the connection open."""

    async def run(writer: asyncio.StreamWriter, request_id: str) -> None:
        writer.write(data.replace(b"$ID", request_id.encode()))
        await writer.drain()

    return run


def send_and_reset(data: bytes) -> Script:
    """Return a script that writes bytes and resets the connection."""

    async def run(writer: asyncio.StreamWriter, request_id: str) -> None:
        writer.write(data.replace(b"$ID", request_id.encode()))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.transport.abort()

    return run


def send_and_close(data: bytes) -> Script:
    """Return a script that writes bytes and closes the connection in order."""

    async def run(writer: asyncio.StreamWriter, request_id: str) -> None:
        writer.write(data.replace(b"$ID", request_id.encode()))
        writer.write_eof()
        await writer.drain()
        await asyncio.sleep(CLOSE_TIME)

    return run


def repeat_until_closed(prefix: bytes, unit: bytes, pause: float = 0.0) -> Script:
    """Return a script that writes a unit of bytes without end."""

    async def run(writer: asyncio.StreamWriter, request_id: str) -> None:
        writer.write(prefix.replace(b"$ID", request_id.encode()))
        while not writer.transport.is_closing():
            writer.write(unit)
            await writer.drain()
            await asyncio.sleep(pause)

    return run


@define
class FaultyReplica:
    """Server that answers its requests by scripts, one after the other."""

    scripts: list[Script]
    answers_early: bool = False  # before it reads the body of a request
    service: str = ""  # that of the router, if empty
    address: str = ""
    connection_count: int = 0
    requests: list[bytes] = field(factory=list)  # heads
    bodies: list[bytes] = field(factory=list)
    closed: asyncio.Event = field(factory=asyncio.Event)

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        self.connection_count += 1
        try:
            while True:
                head = await reader.readuntil(REQUEST_END)
                self.requests.append(head)
                if self.answers_early:
                    await self.scripts.pop(0)(writer, _read_id(head))
                    await asyncio.sleep(EARLY_PAUSE)
                self.bodies.append(await reader.readexactly(_read_length(head)))
                if not self.answers_early:
                    await self.scripts.pop(0)(writer, _read_id(head))
        except (OSError, asyncio.IncompleteReadError, IndexError):
            pass
        finally:
            self.closed.set()
            writer.transport.abort()


def _read_header(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        if line.lower().startswith(name + b":"):
            return line.partition(b":")[2].strip()
    return b""


def _read_id(head: bytes) -> str:
    return _read_header(head, b"request-id").decode()


def _read_length(head: bytes) -> int:
    return int(_read_header(head, b"content-length") or 0)


@define
class Router:
    """Router whose callers are the tests."""

    process: Process
    _count: int = 0

    async def call(self, request_id: str = "r1", **changes: Any) -> list[Effect]:
        """Send a call and return all parts of its answer."""
        self._count += 1
        exchange = f"x{self._count}"
        headers = (Header("host", "a.example"), Header("request-id", request_id))
        call = evolve(CALL, request_id=request_id, headers=headers, **changes)
        outbox = self.process.outboxes[exchange] = Outbox()
        parts: list[Effect] = []
        with anyio.fail_after(TEST_TIMEOUT):
            self.process.handle(CallArrived(exchange, call))
            while not parts or not isinstance(parts[-1], ENDS):
                parts.append(await outbox.get())
        del self.process.outboxes[exchange]
        return parts

    def abandon(self) -> None:
        """Disconnect the caller of the last call."""
        self.process.handle(CallAbandoned(f"x{self._count}"))


def join_body(parts: list[Effect]) -> bytes:
    """Return the bytes that the caller received."""
    return b"".join(item.data for item in parts if isinstance(item, RelayPiece))


def _fail_test(code: int) -> None:
    raise AssertionError(f"the process would exit with {code}")


@asynccontextmanager
async def run_router(
    *replicas: FaultyReplica, service: str = "engines"
) -> AsyncIterator[Router]:
    """Run a router before replicas, which are tried in order."""
    async with AsyncExitStack() as stack, anyio.create_task_group() as tasks:
        for replica in replicas:
            server = await asyncio.start_server(replica.handle, "127.0.0.1", 0)
            stack.callback(server.close)
            host, port = server.sockets[0].getsockname()
            replica.address = f"{host}:{port}"
        state = build_gateway()
        listed = tuple(
            Replica(f"i-{number}", replica.service or service, replica.address, "a", 64)
            for number, replica in enumerate(replicas)
        )
        process = Process(state=state, tasks=tasks, exit=_fail_test)
        process.add_adapter(Metrics())
        process.add_adapter(ReplicaClient())
        now = process.clock.read()
        get_gateway(state).registry = ReplicaRegistry()
        get_gateway(state).registry.update(listed, ListVersion(), now, now)
        yield Router(process)
        tasks.cancel_scope.cancel()
