"""Connections: HTTP/1.1 connections to replicas, one request at a time on each.

httpcore passes bytes that follow a response to the next request on the connection, so
a surplus response of a replica would reach another caller. Here a connection with
surplus bytes is closed, and a response to another request is skipped.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Iterable
from enum import Enum
from functools import cached_property
from typing import Any, Protocol, cast

import h11
from attrs import define, field, frozen

from gentianworks.web.turns import TurnQueue
from gentianworks.web.uploads import count_untaken_bytes, ends_with_connection

CONNECT_TIMEOUT = 0.5  # seconds; far above the connect time within a region
# Time for about six retransmissions within a region.
UNACKNOWLEDGED_TIMEOUT_MS = 1500
KEEPALIVE_IDLE = 1  # seconds; the minimum of the kernel
KEEPALIVE_INTERVAL = 1  # seconds
KEEPALIVE_PROBES = 2
DEFAULT_IDLE_LIMIT = 4.0  # seconds; servers commonly keep idle connections for 5
IDLE_MARGIN = 1.0  # seconds; avoids reuse while a server closes the connection
MAX_INTERIM_RESPONSES = 16  # of one request; servers send one or two
MAX_SKIPPED_RESPONSES = 4  # to earlier requests, before the response to this one
MAX_SKIPPED_BYTES = 256 * 1024
MAX_EVENTS_PER_TURN = 128  # of the parser; about a millisecond of the event loop
UNSENT_BYTES = 64 * 1024  # of a body that the transport may hold
READ_BYTES = 16 * 1024  # at once; bounds what a connection holds and parses in a turn
BUSY_READ_BYTES = 1024  # at once, after a turn with many events
DEFAULT_MAX_IDLE = 512  # connections of a process
MAX_REQUESTS = 256  # per connection; bounds the keys that it remembers
CAREFUL_IDLE_FRACTION = 0.5  # of the idle limit; for requests that can't be repeated


class ConnectionFailure(Enum):
    """Way in which a request on a connection failed."""

    NOT_SENT = "not-sent"
    CUT = "cut"
    MALFORMED = "malformed"


class UnsendableRequestError(Exception):
    """Raised for a request that HTTP can't carry; the message names its part."""


@frozen
class RequestHead:
    """Method, target and headers of a request."""

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]

    def check(self) -> None:
        """Raise UnsendableRequestError if HTTP can't carry the head."""
        _ = self.encoded

    @cached_property
    def encoded(self) -> h11.Request:
        """Return the event that sends the head, or raise UnsendableRequestError."""
        try:
            return h11.Request(
                method=self.method, target=self.target, headers=list(self.headers)
            )
        except (h11.LocalProtocolError, UnicodeError) as error:
            raise UnsendableRequestError(
                f"{_find_unsendable_part(self)} can't be sent ({error})"
            ) from error


def _find_unsendable_part(head: RequestHead) -> str:
    for item in head.headers:
        host = [] if item[0] == b"host" else [(b"host", b"")]
        try:
            h11.Request(method="GET", target="/", headers=[*host, item])
        except h11.LocalProtocolError:
            return f"the header {item[0].decode('latin-1')!r}"
    return "the request"


class ResponseReceiver(Protocol):
    """Callbacks for the parts of a response."""

    def receive_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        """Process the head; return False if it belongs to another request."""

    def receive_data(self, data: bytes) -> None:
        """Process a piece of the body."""

    def receive_end(self) -> None:
        """Process the end of a complete response."""

    def receive_failure(self, failure: ConnectionFailure, detail: str) -> None:
        """Process the failure of the request; no other callback follows."""


# All connections read into one buffer, since each read is parsed at once.
_READ_BUFFER = memoryview(bytearray(READ_BYTES))


class Connection(asyncio.BufferedProtocol):
    """Connection to one replica.

    A connection is busy once a response has had more events than one turn of the event
    loop may parse. It then takes turns with the other busy ones.
    """

    def __init__(
        self,
        release: Callable[[Connection], None],
        turns: TurnQueue | None = None,
    ) -> None:
        self._release = release
        self._turns = turns or TurnQueue()
        self._transport: asyncio.Transport | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._receiver: ResponseReceiver | None = None
        self._request: tuple[RequestHead, bytes] | None = None
        self._unsent: deque[memoryview] = deque()  # parts of a large body
        self._is_write_paused = False
        self._is_skipping = False
        self._is_trusted = True  # all bytes so far belong to the requests sent
        self._interim_count = 0
        self._skipped_count = 0
        self._skipped_bytes = 0
        # Keys of the requests sent. A response that arrives once more can't be told
        # from the response to a later request with the same key.
        self._sent_keys: set[str] = set()
        self._is_paused = False  # by the receiver
        self._is_busy = False
        self._has_more_events = False  # that wait for a later turn of the event loop
        self._is_queued = False  # for a turn
        self._has_eof = False
        self._ends_with_connection = False  # the response, which has no length
        self._is_upload_cut = False  # by the replica's end of the connection
        self.idle_since = 0.0
        self.idle_limit = DEFAULT_IDLE_LIMIT
        # Called once if the replica closes the idle connection before its time.
        self.report_closed: Callable[[], None] | None = None

    @property
    def is_open(self) -> bool:
        """Return whether a request can be sent now."""
        transport = self._transport
        return (
            transport is not None
            and not transport.is_closing()
            and self._receiver is None
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of a new connection and set its timeouts."""
        self._transport = cast(asyncio.Transport, transport)
        set_socket_options(transport.get_extra_info("socket"))

    def has_sent(self, key: str) -> bool:
        """Return whether a request with this key was sent on this connection."""
        return key in self._sent_keys

    def send(
        self,
        head: RequestHead,
        body: bytes,
        receiver: ResponseReceiver,
        key: str | None = None,
    ) -> None:
        """Send a request whose response is passed to `receiver`.

        `key` is what the receiver recognizes the response by, if anything.
        """
        assert self._transport is not None
        if key is not None:
            self._sent_keys.add(key)
        self._interim_count = self._skipped_count = self._skipped_bytes = 0
        self._is_busy = False
        self._receiver = receiver
        self._request = (head, body)
        parts = _encode_request(self._http, head, body)
        if len(body) <= UNSENT_BYTES:
            self._transport.write(b"".join(parts))
            return
        self._transport.write(parts[0])
        self._unsent.extend(memoryview(part) for part in parts[1:] if part)
        self._send_more()

    def _send_more(self) -> None:
        """Write as much of a large body as the transport takes without a copy of it."""
        assert self._transport is not None
        while self._unsent and not self._is_write_paused:
            part = self._unsent.popleft()
            if len(part) > UNSENT_BYTES:
                self._unsent.appendleft(part[UNSENT_BYTES:])
            self._transport.write(part[:UNSENT_BYTES])

    def pause_writing(self) -> None:
        """Write nothing more of a large body until the transport has sent the rest."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Continue to write a large body."""
        self._is_write_paused = False
        self._send_more()

    def abort(self) -> None:
        """Close the connection immediately, without a further call of the receiver."""
        self._receiver = None
        self._unsent.clear()
        if self._transport is not None:
            self._transport.abort()

    def pause(self) -> None:
        """Stop reading until `resume` is called."""
        self._is_paused = True
        self._update_reading()

    def resume(self) -> None:
        """Resume reading."""
        self._is_paused = False
        if self._has_more_events:
            self._queue_parsing()
        self._update_reading()

    def mark_busy(self) -> None:
        """Let the connection take turns, since its response has very many events."""
        self._is_busy = True

    def _update_reading(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if self._is_paused or self._has_more_events:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes."""
        return _READ_BUFFER[:BUSY_READ_BYTES] if self._is_busy else _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes that were read into the buffer."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if no request is pending."""
        if self._receiver is None:
            self.abort()
            return
        self._http.receive_data(data)
        if self._has_more_events:
            return
        if self._is_busy:
            self._has_more_events = True
            self._queue_parsing()
            self._update_reading()
        else:
            self._parse_response()

    def eof_received(self) -> bool:
        """Complete a response without a length, or fail the request.

        Returns whether to keep the transport open for the events that wait.
        """
        self._has_eof = True
        self._is_upload_cut = self._has_untaken_bytes()
        self._report_closed_idle()
        if self._receiver is not None:
            self._http.receive_data(b"")
            if not self._has_more_events:
                self._parse_response()
        if self._has_more_events:
            return True
        self._fail_at_eof()
        return False

    def _has_untaken_bytes(self) -> bool:
        """Return whether the replica has yet to take a part of the request."""
        transport = self._transport
        if self._unsent or transport is None or transport.get_write_buffer_size():
            return True
        return count_untaken_bytes(transport.get_extra_info("socket")) > 0

    def _fail_at_eof(self) -> None:
        self._fail(ConnectionFailure.CUT, "the replica closed the connection")

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending request."""
        if exc is not None:
            self._report_closed_idle()
        self._fail(ConnectionFailure.CUT, f"the connection was lost ({exc!r})")

    def _report_closed_idle(self) -> None:
        """Report that the replica closes an idle connection that it promised to keep.

        Its process may have ended.
        """
        report, self.report_closed = self.report_closed, None
        if report is None or self._receiver is not None:
            return
        idle_time = asyncio.get_running_loop().time() - self.idle_since
        if idle_time < self.idle_limit - IDLE_MARGIN:
            report()

    def _parse_response(self) -> None:
        """Process the received events, some in this turn of the event loop.

        A response may consist of very many tiny chunks; other calls go on in between.
        """
        self._has_more_events = False
        try:
            for _ in range(MAX_EVENTS_PER_TURN):
                if self._receiver is None or not self._handle_event(
                    self._http.next_event()
                ):
                    break
            else:
                self._has_more_events = self._is_busy = self._receiver is not None
        except h11.RemoteProtocolError as error:
            # A connection that closes in the middle of an answer is also an error of
            # the protocol.
            failure = (
                ConnectionFailure.CUT if self._has_eof else ConnectionFailure.MALFORMED
            )
            self._fail(failure, f"the answer is not HTTP ({error})")
        except _ResponseError as error:
            self._fail(ConnectionFailure.MALFORMED, str(error))
        if self._has_more_events and not self._is_paused:
            self._queue_parsing()
        elif self._has_eof and self._receiver is not None and not self._is_paused:
            self._fail_at_eof()
        self._update_reading()

    def _queue_parsing(self) -> None:
        if not self._is_queued:
            self._is_queued = True
            self._turns.add(self._continue_parsing)

    def _continue_parsing(self) -> None:
        self._is_queued = False
        if self._has_more_events and not self._is_paused:
            self._parse_response()

    def _handle_event(self, event: Any) -> bool:
        """Process an event of the parser and return whether to read the next one."""
        receiver = self._receiver
        assert receiver is not None
        match event:
            case h11.Response():
                self._receive_head(event, receiver)
            case h11.Data() if self._is_skipping:
                self._count_skipped(len(event.data))
            case h11.Data():
                receiver.receive_data(bytes(event.data))
            case h11.EndOfMessage() if self._is_skipping:
                self._skip_response()
            case h11.EndOfMessage():
                self._finish_response(receiver)
            case h11.InformationalResponse():
                self._interim_count += 1
                if self._interim_count > MAX_INTERIM_RESPONSES:
                    raise _ResponseError(
                        f"over {MAX_INTERIM_RESPONSES} interim answers preceded it"
                    )
            case _:
                return False
        return True

    def _receive_head(self, event: h11.Response, receiver: ResponseReceiver) -> None:
        headers = [(name, value) for name, value in event.headers]
        names = {name for name, _ in headers}
        if {b"content-length", b"transfer-encoding"} <= names:
            raise _ResponseError("it has both a length and chunks")
        self._update_idle_limit(headers)
        assert self._request is not None
        self._ends_with_connection = ends_with_connection(
            self._request[0].method, event.status_code, headers
        )
        self._is_skipping = not receiver.receive_head(event.status_code, headers)
        if self._is_skipping:
            self._is_trusted = False
            self._count_skipped(0)

    def _count_skipped(self, size: int) -> None:
        self._skipped_bytes += size
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            raise _ResponseError(
                f"an answer to another call has over {MAX_SKIPPED_BYTES} bytes"
            )

    def _skip_response(self) -> None:
        """Continue after a response to another request, with a new parser."""
        assert self._request is not None
        self._skipped_count += 1
        if self._skipped_count > MAX_SKIPPED_RESPONSES:
            raise _ResponseError(
                f"over {MAX_SKIPPED_RESPONSES} answers to other calls preceded it"
            )
        remaining, is_closed = self._http.trailing_data
        self._is_skipping = False
        self._http = h11.Connection(h11.CLIENT)
        _encode_request(self._http, *self._request)
        if remaining:
            self._http.receive_data(remaining)
        if is_closed:
            self._http.receive_data(b"")

    def _finish_response(self, receiver: ResponseReceiver) -> None:
        if self._ends_with_connection and self._is_upload_cut:
            detail = "the replica closed the connection before it had read the request"
            self._fail(ConnectionFailure.CUT, f"{detail}, and the answer has no length")
            return
        remaining, is_closed = self._http.trailing_data
        is_reusable = (
            self._is_trusted
            and not self._is_paused
            and not self._unsent
            and len(self._sent_keys) < MAX_REQUESTS
            and not remaining
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
            self.abort()
        receiver.receive_end()

    def _update_idle_limit(self, headers: list[tuple[bytes, bytes]]) -> None:
        for name, value in headers:
            if name == b"keep-alive":
                self.idle_limit = _parse_keep_alive(value)

    def _fail(self, failure: ConnectionFailure, detail: str) -> None:
        receiver, self._receiver = self._receiver, None
        self._unsent.clear()
        if self._transport is not None:
            self._transport.abort()
        if receiver is not None:
            receiver.receive_failure(failure, detail)


class _ResponseError(Exception):
    """Raised for a response that can't be attributed or read."""


def _encode_request(
    http: h11.Connection, head: RequestHead, body: bytes
) -> list[bytes]:
    parts: list[Any] = [head.encoded, h11.EndOfMessage()]
    if body:
        parts.insert(1, h11.Data(data=body))
    return [http.send(part) or b"" for part in parts]


def _parse_keep_alive(value: bytes) -> float:
    for part in value.decode("latin-1").split(","):
        name, _, seconds = part.strip().partition("=")
        is_number = seconds.isascii() and seconds.isdigit()
        if name.lower() == "timeout" and is_number:
            return float(seconds)
    return DEFAULT_IDLE_LIMIT


def set_socket_options(sock: socket.socket) -> None:
    """Detect an unresponsive peer by keepalive probes and unacknowledged data."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )


@define
class ConnectionPool:
    """Pool of idle connections by address, of which the oldest are closed first.

    A connection is not used twice for requests with the same key, so clients that
    repeat a key could otherwise leave any number of idle connections.
    """

    max_idle: int = DEFAULT_MAX_IDLE
    _idle: dict[str, list[Connection]] = field(factory=dict)
    _turns: TurnQueue = field(factory=TurnQueue)

    def borrow(
        self, address: str, now: float, is_careful: bool, key: str | None = None
    ) -> Connection | None:
        """Return an idle connection that the replica keeps open, or None.

        `is_careful` excludes connections that the replica may be about to close, and
        `key` those on which a request with this key was sent before.
        """
        idle = self._idle.get(address, [])
        for index in reversed(range(len(idle))):
            if key is not None and idle[index].has_sent(key):
                continue
            connection = idle.pop(index)
            limit = connection.idle_limit - IDLE_MARGIN
            if is_careful:
                limit = min(limit, connection.idle_limit * CAREFUL_IDLE_FRACTION)
            if connection.is_open and now - connection.idle_since <= limit:
                return connection
            connection.abort()
        return None

    async def connect(self, address: str) -> Connection:
        """Return a new connection; raises OSError or TimeoutError on failure."""
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")

        def release(connection: Connection) -> None:
            connection.idle_since = loop.time()
            self._idle.setdefault(address, []).append(connection)
            self._close_excess()

        async with asyncio.timeout(CONNECT_TIMEOUT):
            _, connection = await loop.create_connection(
                lambda: Connection(release, self._turns), host, int(port)
            )
        return connection

    def _close_excess(self) -> None:
        count = sum(len(idle) for idle in self._idle.values())
        if count <= self.max_idle:
            return
        queues = [idle for idle in self._idle.values() if idle]
        min(queues, key=lambda idle: idle[0].idle_since).pop(0).abort()

    async def open_idle(self, address: str) -> None:
        """Open a connection for later use; raises OSError or TimeoutError."""
        connection = await self.connect(address)
        connection.idle_since = asyncio.get_running_loop().time()
        self._idle.setdefault(address, []).append(connection)

    def close_idle(self, addresses: Iterable[str]) -> None:
        """Close the idle connections to the given addresses."""
        for address in addresses:
            for connection in self._idle.pop(address, []):
                connection.abort()
