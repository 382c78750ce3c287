"""Server: an HTTP server for one ASGI application, based on uvicorn."""

from __future__ import annotations

import logging
import os
import socket
from collections.abc import Awaitable, Callable, Iterator, MutableMapping
from contextlib import contextmanager
from enum import Enum
from functools import partial
from typing import Any

import anyio
import uvicorn
from expression import Error, Ok, Result

from gentianworks.limits import LimitSettings
from gentianworks.web.intake import BoundedProtocol, ClientLimits, Intake
from gentianworks.web.memory import ClientMemory

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]

DATE_INTERVAL = 1.0  # seconds
KEEP_ALIVE_TIMEOUT = 30  # seconds
SHUTDOWN_TIMEOUT = 60  # seconds
LATE_REQUEST_TIMEOUT = 1.0  # seconds
BACKLOG_CONNECTIONS = 4096
# Connections that are accepted in one turn of the event loop, before any is counted.
ACCEPTED_AT_ONCE = 32
PIECE_BYTES = 64 * 1024  # of a body
HTTP_PROTOCOL = "h11"


logger = logging.getLogger("gentianworks")


class Server(uvicorn.Server):
    """Server that runs until `stop` and wakes only to update the Date header."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._stopping = anyio.Event()
        self.ended = anyio.Event()

    def stop(self) -> None:
        """Accept no more connections and end after the open requests are answered."""
        self.should_exit = True
        self._stopping.set()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start, with a backlog longer than what is accepted at once."""
        await super().startup(sockets)
        for server in getattr(self, "servers", []):
            for item in server.sockets:
                with socket.socket(fileno=os.dup(item.fileno())) as listener:
                    listener.listen(BACKLOG_CONNECTIONS)

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Shut down, and also close connections that were accepted in the meantime."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._close_late_connections)
            await super().shutdown(sockets)
            tasks.cancel_scope.cancel()

    async def _close_late_connections(self) -> None:
        # A connection that is accepted during the shutdown would stay open until its
        # keep-alive timeout. The delay lets its first request arrive and be answered.
        while True:
            present = set(self.server_state.connections)
            await anyio.sleep(LATE_REQUEST_TIMEOUT)
            for connection in present & self.server_state.connections:
                connection.shutdown()

    async def main_loop(self) -> None:
        while not await self.on_tick(counter=0):
            with anyio.move_on_after(DATE_INTERVAL):
                await self._stopping.wait()


def create_server(
    application: Application,
    address: str,
    limits: LimitSettings | None = None,
    intake: Intake | None = None,
) -> Server:
    """Return a server for `application` at an address such as 127.0.0.1:8000.

    `limits` or `intake` are given only for servers that clients connect to.
    """
    host, _, port = address.rpartition(":")
    if intake is None and limits is not None:
        intake = create_intake(limits, ClientMemory(limits.buffered_bytes))
    protocol: Any = HTTP_PROTOCOL
    if intake is not None:
        protocol = partial(BoundedProtocol, intake=intake)
    applied_limits = limits or LimitSettings()
    config = uvicorn.Config(
        _catch_exceptions(application),
        host=host,
        port=int(port),
        http=protocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        backlog=ACCEPTED_AT_ONCE if intake is not None else BACKLOG_CONNECTIONS,
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT,
        timeout_graceful_shutdown=SHUTDOWN_TIMEOUT,
        h11_max_incomplete_event_size=applied_limits.header_bytes,
    )
    return Server(config)


def create_intake(limits: LimitSettings, memory: ClientMemory) -> Intake:
    """Return the intake of a server with limits from its settings."""
    client_limits = ClientLimits(
        limits.body_bytes, limits.header_timeout, limits.header_timeout
    )
    # `buffered_bytes` is for bodies; `connections` bounds the rest.
    return Intake(memory, lambda: client_limits, limits.connections, connection_bytes=0)


def _catch_exceptions(application: Application) -> Application:
    """Return an application whose exceptions are logged and end only one answer."""

    async def serve(scope: Scope, receive: Receive, send: Send) -> None:
        try:
            await application(scope, receive, send)
        except Exception:
            details = (("call", scope["path"]),)
            logger.error("GW1007", exc_info=True, extra={"details": details})

    return serve


class BodyFailure(Enum):
    """Reason for which the body of a request is unavailable."""

    DISCONNECTED = "disconnected"
    TOO_LARGE = "too-large"


async def read_body(receive: Receive, max_bytes: int) -> Result[bytes, BodyFailure]:
    """Return the complete body of a request, or the reason for which it is unavailable.

    Pieces are joined once at the end: a buffer that grows is copied over and over, and
    what the copies leave behind is not returned to the system.
    """
    pieces: list[bytes] = []
    last = bytearray()
    size = 0
    while True:
        part = await receive()
        if part["type"] == "http.disconnect":
            return Error(BodyFailure.DISCONNECTED)
        data = part.get("body", b"")
        size += len(data)
        if size > max_bytes:
            return Error(BodyFailure.TOO_LARGE)
        if len(data) >= PIECE_BYTES and not last:
            pieces.append(data)
        else:
            last += data
        if len(last) >= PIECE_BYTES:
            pieces.append(bytes(last))
            last = bytearray()
        if not part.get("more_body", False):
            return Ok(b"".join([*pieces, last]))


async def wait_for_disconnect(receive: Receive) -> None:
    """Wait until the client has closed its connection."""
    while True:
        part = await receive()
        if part["type"] == "http.disconnect":
            return


async def send_response(
    send: Send, status: int, headers: list[tuple[bytes, bytes]], body: bytes
) -> None:
    """Send a complete response."""
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
