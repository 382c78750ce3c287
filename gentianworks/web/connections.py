"""Connections: HTTP/1.1 connections to replicas, one request at a time on each.

httpcore keeps bytes that come behind an answer for the next one on the connection, so
that a replica's surplus answer would reach another caller. Here such bytes are dropped
with their connection, and an answer that its receiver doesn't know is skipped.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable
from enum import Enum
from typing import Any, Protocol, cast

import h11
from attrs import define, field, frozen

CONNECT_TIMEOUT = 0.5  # seconds; far over a connection's time within a region
SILENCE_TIMEOUT_MS = 1500  # unacknowledged bytes: six retransmissions within a region
KEEPALIVE_IDLE = 1  # seconds; the least that the kernel offers
KEEPALIVE_INTERVAL = 1  # seconds
KEEPALIVE_PROBES = 2
DEFAULT_IDLE_LIMIT = 4.0  # seconds; servers commonly keep idle connections for 5
IDLE_MARGIN = 1.0  # seconds; keeps clear of the moment at which a server closes
CAREFUL_FRACTION = 0.5  # of the idle limit, for requests that can't be repeated


class Fault(Enum):
    """Say how a request on a connection failed."""

    NOT_SENT = "not-sent"
    CUT = "cut"
    MALFORMED = "malformed"


@frozen
class RequestHead:
    """Hold what begins a request."""

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]


class Receiver(Protocol):
    """Take the parts of an answer as they come."""

    def take_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        """Take the head; False says that it belongs to another request."""

    def take_data(self, data: bytes) -> None:
        """Take a piece of the body."""

    def take_end(self) -> None:
        """Take the end of a whole answer."""

    def take_fault(self, fault: Fault, detail: str) -> None:
        """Take the news that no more will come."""


class Connection(asyncio.Protocol):
    """Carry requests to one replica."""

    def __init__(self, release: Callable[[Connection], None]) -> None:
        self._release = release
        self._transport: asyncio.Transport | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._receiver: Receiver | None = None
        self._request: tuple[RequestHead, bytes] | None = None
        self._is_skipping = False
        self.idle_since = 0.0
        self.idle_limit = DEFAULT_IDLE_LIMIT

    @property
    def is_open(self) -> bool:
        """Tell whether a request can be sent now."""
        transport = self._transport
        return (
            transport is not None
            and not transport.is_closing()
            and self._receiver is None
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport of a new connection."""
        self._transport = cast(asyncio.Transport, transport)
        set_timeouts(transport.get_extra_info("socket"))

    def send(self, head: RequestHead, body: bytes, receiver: Receiver) -> None:
        """Send a request whose answer goes to `receiver`."""
        assert self._transport is not None
        self._receiver = receiver
        self._request = (head, body)
        self._transport.write(b"".join(_encode(self._http, head, body)))

    def drop(self) -> None:
        """Close at once; the receiver hears no more."""
        self._receiver = None
        if self._transport is not None:
            self._transport.abort()

    def pause(self) -> None:
        """Read no more until `resume`."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Take bytes; those that no request asked for end the connection."""
        if self._receiver is None:
            self.drop()
            return
        self._http.receive_data(data)
        self._advance()

    def eof_received(self) -> bool:
        """End an answer that its connection delimits, or else the request."""
        if self._receiver is not None:
            self._http.receive_data(b"")
            self._advance()
        self._fail(Fault.CUT, "the replica closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request that is under way."""
        self._fail(Fault.CUT, f"the connection was lost ({exc!r})")

    def _advance(self) -> None:
        try:
            while self._receiver is not None and self._take(self._http.next_event()):
                pass
        except h11.RemoteProtocolError as error:
            self._fail(Fault.MALFORMED, f"the answer is not HTTP ({error})")

    def _take(self, event: Any) -> bool:
        """Take one event and tell whether to look for the next."""
        receiver = self._receiver
        assert receiver is not None
        match event:
            case h11.Response():
                headers = [(name, value) for name, value in event.headers]
                self._note_idle_limit(headers)
                self._is_skipping = not receiver.take_head(event.status_code, headers)
            case h11.Data():
                if not self._is_skipping:
                    receiver.take_data(bytes(event.data))
            case h11.EndOfMessage() if self._is_skipping:
                self._skip()
            case h11.EndOfMessage():
                self._finish(receiver)
            case h11.InformationalResponse():
                pass
            case _:
                return False
        return True

    def _skip(self) -> None:
        """Read on behind an answer to another request."""
        assert self._request is not None
        rest, _ = self._http.trailing_data
        self._is_skipping = False
        self._http = h11.Connection(h11.CLIENT)
        _encode(self._http, *self._request)
        self._http.receive_data(rest)

    def _finish(self, receiver: Receiver) -> None:
        rest, is_closed = self._http.trailing_data
        is_reusable = (
            not rest
            and not is_closed
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        )
        self._receiver = None
        self._request = None
        if is_reusable:
            self._http.start_next_cycle()
            self._release(self)
        else:
            self.drop()
        receiver.take_end()

    def _note_idle_limit(self, headers: list[tuple[bytes, bytes]]) -> None:
        for name, value in headers:
            if name == b"keep-alive":
                self.idle_limit = _read_keep_alive(value)

    def _fail(self, fault: Fault, detail: str) -> None:
        receiver, self._receiver = self._receiver, None
        if self._transport is not None:
            self._transport.abort()
        if receiver is not None:
            receiver.take_fault(fault, detail)


def _encode(http: h11.Connection, head: RequestHead, body: bytes) -> list[bytes]:
    request = h11.Request(
        method=head.method, target=head.target, headers=list(head.headers)
    )
    parts: list[Any] = [request, h11.EndOfMessage()]
    if body:
        parts.insert(1, h11.Data(data=body))
    return [http.send(part) or b"" for part in parts]


def _read_keep_alive(value: bytes) -> float:
    for part in value.decode("latin-1").split(","):
        name, _, seconds = part.strip().partition("=")
        if name.lower() == "timeout" and seconds.isdigit():
            return float(seconds)
    return DEFAULT_IDLE_LIMIT


def set_timeouts(sock: socket.socket) -> None:
    """End a connection whose peer is silent, though nothing resets it."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_TIMEOUT_MS)


@define
class ConnectionPool:
    """Keep idle connections for the next request to the same address."""

    _idle: dict[str, list[Connection]] = field(factory=dict)

    def borrow(self, address: str, now: float, is_careful: bool) -> Connection | None:
        """Return an idle connection that its replica still keeps, or None.

        A careful borrower takes none that the replica may be about to close.
        """
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            limit = connection.idle_limit - IDLE_MARGIN
            if is_careful:
                limit = min(limit, connection.idle_limit * CAREFUL_FRACTION)
            if connection.is_open and now - connection.idle_since <= limit:
                return connection
            connection.drop()
        return None

    async def connect(self, address: str) -> Connection:
        """Return a new connection; OSError or TimeoutError where there is none."""
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")

        def release(connection: Connection) -> None:
            connection.idle_since = loop.time()
            self._idle.setdefault(address, []).append(connection)

        async with asyncio.timeout(CONNECT_TIMEOUT):
            _, connection = await loop.create_connection(
                lambda: Connection(release), host, int(port)
            )
        return connection

    def forget(self, addresses: Iterable[str]) -> None:
        """Close the idle connections to addresses."""
        for address in addresses:
            for connection in self._idle.pop(address, []):
                connection.drop()
