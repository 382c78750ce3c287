"""Server: an HTTP server for one ASGI application, based on uvicorn."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable, Iterator, MutableMapping
from contextlib import contextmanager
from enum import Enum
from functools import partial
from typing import Any

import anyio
import h11
import uvicorn
from expression import Error, Ok, Result
from uvicorn.protocols.http.h11_impl import H11Protocol

from gentianworks.codecs.problems import encode_problem
from gentianworks.core.types import Header, Problem, ProblemKind
from gentianworks.limits import LimitSettings

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]

DATE_INTERVAL = 1.0  # seconds
KEEP_ALIVE_TIMEOUT = 30  # seconds
SHUTDOWN_TIMEOUT = 60  # seconds
LATE_REQUEST_TIMEOUT = 1.0  # seconds
BACKLOG_CONNECTIONS = 4096
RETRY_AFTER = 1.0  # seconds
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


class _Protocol(H11Protocol):
    """HTTP protocol with a limit on connections and on the time for request heads."""

    def __init__(
        self, *, header_timeout: float, max_connections: int, **options: Any
    ) -> None:
        super().__init__(**options)
        self._header_timeout = header_timeout
        self._max_connections = max_connections
        self._header_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)  # type: ignore[arg-type]
        if len(self.connections) > self._max_connections:
            self.app = refuse_connection
        self._start_header_timer()

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        if self.conn.their_state is h11.IDLE:
            self._start_header_timer()
        else:
            self._stop_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._stop_header_timer()
        super().connection_lost(exc)

    def _start_header_timer(self) -> None:
        if self._header_timer is None:
            self._header_timer = self.loop.call_later(
                self._header_timeout, self._refuse_slow_head
            )

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _refuse_slow_head(self) -> None:
        self._header_timer = None
        if self.transport.is_closing() or self.conn.their_state is not h11.IDLE:
            return
        if self.conn.our_state is not h11.IDLE:
            self.transport.close()
            return
        self.send_400_response(
            f"The request head was incomplete after {self._header_timeout:g} s; "
            f"send it faster."
        )

    def send_400_response(self, msg: str) -> None:
        answer = encode_problem(Problem(ProblemKind.BAD_REQUEST, msg))
        headers = [(item.name, item.value) for item in answer.headers]
        length = ("content-length", str(len(answer.body)))
        head = h11.Response(
            status_code=answer.status,
            headers=[*headers, length, ("connection", "close")],
        )
        for event in (head, h11.Data(data=answer.body), h11.EndOfMessage()):
            self.transport.write(self.conn.send(event) or b"")
        self.transport.close()


def create_server(
    application: Application, address: str, limits: LimitSettings | None = None
) -> Server:
    """Return a server for `application` at an address such as 127.0.0.1:8000.

    `limits` are given only for servers that callers connect to.
    """
    host, _, port = address.rpartition(":")
    protocol: Any = HTTP_PROTOCOL
    if limits is not None:
        protocol = partial(
            _Protocol,
            header_timeout=limits.header_timeout,
            max_connections=limits.connections,
        )
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
        backlog=BACKLOG_CONNECTIONS,
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT,
        timeout_graceful_shutdown=SHUTDOWN_TIMEOUT,
        h11_max_incomplete_event_size=applied_limits.header_bytes,
    )
    return Server(config)


def _catch_exceptions(application: Application) -> Application:
    """Return an application whose exceptions are logged and end only one answer."""

    async def serve(scope: Scope, receive: Receive, send: Send) -> None:
        try:
            await application(scope, receive, send)
        except Exception:
            details = (("call", scope["path"]),)
            logger.error("GW1007", exc_info=True, extra={"details": details})

    return serve


async def refuse_connection(scope: Scope, receive: Receive, send: Send) -> None:
    """Refuse a request on a connection that exceeds the limit."""
    answer = encode_problem(
        Problem(
            ProblemKind.OVERLOADED,
            "This router has too many connections; retry later.",
            retry_after=RETRY_AFTER,
        )
    )
    length = Header("content-length", str(len(answer.body)))
    sent = (*answer.headers, length, Header("connection", "close"))
    headers = [(item.name.encode(), item.value.encode()) for item in sent]
    await send_response(send, answer.status, headers, answer.body)


class BodyFailure(Enum):
    """Reason for which the body of a request is unavailable."""

    DISCONNECTED = "disconnected"
    TOO_LARGE = "too-large"
    OVER_BUDGET = "no-room"


async def read_body(
    receive: Receive, max_bytes: int, reserve: Callable[[int], bool] | None = None
) -> Result[bytes, BodyFailure]:
    """Return the complete body of a request, or the reason for which it is unavailable.

    `reserve` is called with the size of each part, in bytes, and returns whether
    there is memory for it.
    """
    body = bytearray()
    while True:
        part = await receive()
        if part["type"] == "http.disconnect":
            return Error(BodyFailure.DISCONNECTED)
        data = part.get("body", b"")
        if reserve is not None and not reserve(len(data)):
            return Error(BodyFailure.OVER_BUDGET)
        body += data
        if len(body) > max_bytes:
            return Error(BodyFailure.TOO_LARGE)
        if not part.get("more_body", False):
            return Ok(bytes(body))


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
