"""Intake: the HTTP protocol of servers whose clients may stay outside the limits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import h11
from attrs import define, field, frozen
from h11._receivebuffer import ReceiveBuffer
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.h11_impl import H11Protocol

from gentianworks.codecs.problems import encode_problem
from gentianworks.core.types import Problem, ProblemKind
from gentianworks.web.memory import (
    SMALL_BODY_BYTES,
    ClientMemory,
    RefusalCause,
    Reservation,
)
from gentianworks.web.turns import TurnQueue

MAX_EVENTS_PER_TURN = 32  # of the parser; under a millisecond of the event loop
READ_BYTES = 64 * 1024  # at once; bounds what a connection holds before it is parsed
STEP_BYTES = 64 * 1024  # reserved at a time for a body of unknown length
CONNECTION_BYTES = 16 * 1024  # that a connection takes without a request
HEAD_COST = 4  # memory of a parsed head, as a multiple of its size
LINGER_TIME = 0.5  # seconds, in which a client can read a refusal
MAX_LINGERING = 16  # refused connections; others are closed at once
IDLE_TIME = 1.0  # seconds, after which a connection may be closed for a new one
RETRY_AFTER = 1.0  # seconds
STATUS_STALLED = 408  # like 503 it tells that the request has not run


@frozen
class ClientLimits:
    """Limits of one server; times are in seconds."""

    body_bytes: int = 64 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@define
class Intake:
    """What the connections of one server share."""

    memory: ClientMemory = field(factory=ClientMemory)
    get_limits: Callable[[], ClientLimits] = ClientLimits
    max_connections: int = 512
    connection_bytes: int = CONNECTION_BYTES
    # Start of the targets whose bodies are ignored, and so refused for no size.
    bodiless_prefix: bytes = b""
    encode: Callable[[Problem], Any] = encode_problem
    turns: TurnQueue = field(factory=TurnQueue)
    lingering: int = 0


@frozen
class _Refusal:
    cause: RefusalCause
    problem: Problem
    status: int = 0  # that of the problem if 0


class _Flow(FlowControl):
    """Flow control that reads nothing while a connection waits for a turn."""

    is_held = False

    def hold(self) -> None:
        self.is_held = True
        self._transport.pause_reading()

    def free(self) -> None:
        self.is_held = False
        if not self.read_paused:
            self._transport.resume_reading()

    def resume_reading(self) -> None:
        if self.is_held:
            self.read_paused = False
        else:
            super().resume_reading()


class _Parser(h11.Connection):
    """Parser that returns a bounded number of events in a turn."""

    def __init__(
        self, max_incomplete_event_size: int, check: Callable[[Any], _Refusal | None]
    ) -> None:
        super().__init__(h11.SERVER, max_incomplete_event_size)
        self._check = check
        self.remaining_events = 0
        self.refusal: _Refusal | None = None

    def next_event(self) -> Any:
        if self.remaining_events == 0 or self.refusal is not None:
            return h11.NEED_DATA
        event = super().next_event()
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return event
        self.remaining_events -= 1
        self.refusal = self._check(event)
        return event if self.refusal is None else h11.NEED_DATA

    @property
    def buffered_bytes(self) -> int:
        """Return the size of what has not been parsed."""
        return len(self._receive_buffer)

    def discard(self) -> None:
        """Drop what has not been parsed."""
        self._receive_buffer = ReceiveBuffer()


class BoundedProtocol(H11Protocol):
    """HTTP protocol that bounds what a client makes the process hold and do.

    Memory is reserved before a body is read. A connection whose input needs many turns
    of the event loop takes them in turn with the others of its kind.
    """

    def __init__(self, *, intake: Intake, **options: Any) -> None:
        super().__init__(**options)
        self._intake = intake
        size = self.config.h11_max_incomplete_event_size or READ_BYTES
        self._parser = self.conn = _Parser(size, self._check)
        self._application, self.app = self.app, self._serve
        self._held = Reservation(intake.memory)  # for the connection and its input
        self._reservation = Reservation(intake.memory)  # for the request
        self._target = ""
        self._body_bytes = 0  # of the body so far
        self._wire_bytes = 0  # received for the request, with the framing of chunks
        self._is_chunked = False
        self._ignores_body = False
        self._head_bytes = 0
        self._is_busy = False
        self._is_queued = False  # for a turn
        self._is_refused = False
        self._progress_at = 0.0
        self._timeout = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._idle_since = 0.0

    # Connections

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Refuse a connection over the limit unless another one is idle."""
        super().connection_made(transport)  # type: ignore[arg-type]
        self.flow = _Flow(self.transport)
        self.transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        self._idle_since = self.loop.time()
        if len(self.connections) > self._intake.max_connections:
            self._make_room()
        elif not self._held.extend(self._intake.connection_bytes):
            self._refuse(_describe_memory())
        else:
            self._expect(self._intake.get_limits().idle_timeout)

    def _make_room(self) -> None:
        """Close the connection that is idle for longest, or else refuse this one."""
        now = self.loop.time()
        idle = [
            item
            for item in self.connections
            if isinstance(item, BoundedProtocol) and item.get_idle_time(now) > IDLE_TIME
        ]
        if idle:
            longest = max(idle, key=lambda item: item.get_idle_time(now))
            self._record(RefusalCause.IDLE)
            longest.transport.abort()
            self._expect(self._intake.get_limits().idle_timeout)
            return
        self._refuse(
            _Refusal(
                RefusalCause.CONNECTIONS,
                Problem(
                    ProblemKind.OVERLOADED,
                    "This process has too many connections; retry later.",
                    retry_after=RETRY_AFTER,
                ),
            )
        )

    def get_idle_time(self, now: float) -> float:
        """Return for how long the connection has had no request, in seconds."""
        is_idle = (
            self.conn.their_state is h11.IDLE
            and not self._parser.buffered_bytes
            and not self.transport.is_closing()
            and (self.cycle is None or self.cycle.response_complete)
        )
        return now - self._idle_since if is_idle else 0.0

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what is held for a request that was not passed on."""
        if self._timer is not None:
            self._timer.cancel()
        if self._is_refused:
            self._is_refused = False
            self._intake.lingering -= 1
        if self.cycle is None or self.conn.their_state is h11.IDLE:
            self._reservation.release()
        self._held.release()
        self._parser.discard()
        super().connection_lost(exc)

    def on_response_complete(self) -> None:
        """Start the time for which the connection is idle."""
        self._idle_since = self.loop.time()
        super().on_response_complete()

    # Input

    def data_received(self, data: bytes) -> None:
        """Parse what was received, in a later turn if the connection is busy."""
        if self._is_refused:
            return
        self._unset_keepalive_if_required()
        self._wire_bytes += len(data)
        if self.conn.their_state is h11.IDLE and not self._parser.buffered_bytes:
            self._wire_bytes = len(data)
            self._expect(self._intake.get_limits().header_timeout)
        self.conn.receive_data(data)
        if self._is_busy and not self._is_queued:
            self._queue()
        else:
            self.handle_events()

    def handle_events(self) -> None:
        """Process a bounded number of events, and the rest in later turns."""
        if self._is_queued or self._is_refused or self.transport.is_closing():
            return
        self._parser.remaining_events = MAX_EVENTS_PER_TURN
        super().handle_events()
        if self._is_refused:
            return
        if self._parser.refusal is not None:
            self._refuse(self._parser.refusal)
        elif self.transport.is_closing():
            self._parser.discard()
        elif self._parser.remaining_events == 0:
            self._is_busy = True
            self._queue()
        size = self._intake.connection_bytes + self._parser.buffered_bytes
        size = min(size, SMALL_BODY_BYTES)
        if not self._held.extend(size) and not self._is_refused:
            self._refuse(_describe_memory())
        self._watch_progress()

    def _queue(self) -> None:
        self._is_queued = True
        self.flow.hold()  # type: ignore[attr-defined]
        self._intake.turns.add(self._continue)

    def _continue(self) -> None:
        self._is_queued = False
        if self.transport.is_closing() or self._is_refused:
            return
        self.flow.free()  # type: ignore[attr-defined]
        self.handle_events()

    def _check(self, event: Any) -> _Refusal | None:
        """Return why an event is refused, if it is."""
        match event:
            case h11.Request():
                return self._check_request(event)
            case h11.Data():
                return self._check_data(len(event.data))
            case _:
                return None

    def _check_request(self, request: h11.Request) -> _Refusal | None:
        self._reservation = Reservation(self._intake.memory)
        self._body_bytes = 0
        self._is_busy = False
        headers = dict(request.headers)
        self._target = request.target.decode("latin-1")
        self._is_chunked = b"transfer-encoding" in headers
        self.headers = list(request.headers)
        length = 0 if self._is_chunked else int(headers.get(b"content-length", b"0"))
        head = sum(len(name) + len(value) + 4 for name, value in self.headers)
        self._wire_bytes = 0
        self._head_bytes = HEAD_COST * (head + len(request.target))
        prefix = self._intake.bodiless_prefix
        self._ignores_body = bool(prefix) and request.target.startswith(prefix)
        if self._ignores_body:
            length = min(length, STEP_BYTES)
        if length > self._intake.get_limits().body_bytes:
            return self._describe_size()
        if not self._reservation.extend(self._head_bytes + length):
            return _describe_memory()
        self._expect(self._intake.get_limits().header_timeout)
        return None

    def _check_data(self, size: int) -> _Refusal | None:
        self._progress_at = self.loop.time()
        self._body_bytes += size
        limit = self._intake.get_limits().body_bytes
        # The framing of chunks costs time as the body does, and may be as long.
        framing = self._wire_bytes - self._body_bytes
        if self._body_bytes > limit or framing > limit + READ_BYTES:
            return self._describe_size()
        if self._is_chunked and not self._ignores_body:
            steps = -(-self._body_bytes // STEP_BYTES)
            size = min(steps * STEP_BYTES, limit)
            if not self._reservation.extend(self._head_bytes + size):
                return _describe_memory()
        return None

    def _describe_size(self) -> _Refusal:
        limit = self._intake.get_limits().body_bytes
        detail = f"The body is larger than {limit} bytes; send a smaller one."
        return _Refusal(RefusalCause.SIZE, Problem(ProblemKind.BODY_TOO_LARGE, detail))

    # Time limits

    def _expect(self, timeout: float) -> None:
        """Limit the time until the next progress of the head or body."""
        self._progress_at = self.loop.time()
        self._timeout = timeout
        if self._timer is not None:
            if self._timer.when() <= self._progress_at + timeout:
                return
            self._timer.cancel()
        self._timer = self.loop.call_later(timeout, self._check_progress)

    def _watch_progress(self) -> None:
        if self._timer is None and self._is_waiting():
            self._timer = self.loop.call_later(self._timeout, self._check_progress)

    def _is_waiting(self) -> bool:
        """Return whether the rest of a head or body is missing."""
        if self.conn.their_state is h11.IDLE:
            return self.cycle is None or self._parser.buffered_bytes > 0
        return self.conn.their_state is h11.SEND_BODY

    def _check_progress(self) -> None:
        self._timer = None
        if self.transport.is_closing() or self._is_refused or not self._is_waiting():
            return
        now = self.loop.time()
        if self._is_queued or self.flow.read_paused:
            self._progress_at = now  # the process is what waits
        remaining = self._progress_at + self._timeout - now
        if remaining > 0:
            self._timer = self.loop.call_later(remaining, self._check_progress)
            return
        if self.cycle is None and not self._parser.buffered_bytes:
            self.transport.close()  # a response without a request would be misread
            return
        part = "head" if self.conn.their_state is h11.IDLE else "body"
        detail = f"The request {part} was incomplete and did not grow for "
        problem = Problem(
            ProblemKind.BAD_REQUEST, f"{detail}{self._timeout:g} s; send it faster."
        )
        status = STATUS_STALLED if part == "body" else 0
        self._refuse(_Refusal(RefusalCause.STALLED, problem, status))

    # Refusals

    def _record(self, cause: RefusalCause) -> None:
        headers = dict(self.headers or ())
        request_id = headers.get(b"request-id", b"").decode("latin-1")
        self._intake.memory.record_refusal(cause, request_id, self._target)

    def _refuse(self, refusal: _Refusal) -> None:
        """Send a refusal, read nothing more and close the connection shortly after."""
        self._record(refusal.cause)
        self._parser.discard()
        has_started = self.conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE)
        is_passed_on = self.cycle is not None and not self.cycle.response_complete
        if is_passed_on:
            has_started = has_started or self.cycle.response_started
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        else:
            self._reservation.release()
        if has_started:
            self.transport.abort()
            return
        self._write_refusal(refusal)
        self._linger()

    def _linger(self) -> None:
        """Close the connection once a client has had time to read a refusal."""
        self._parser.discard()
        if self._intake.lingering >= MAX_LINGERING + self._intake.max_connections // 4:
            self.transport.close()
            return
        self._is_refused = True
        self._intake.lingering += 1
        self.flow.hold()  # type: ignore[attr-defined]
        self.transport.write_eof()
        self.loop.call_later(LINGER_TIME, self.transport.abort)

    def _write_refusal(self, refusal: _Refusal) -> None:
        answer = self._intake.encode(refusal.problem)
        headers = [(item.name, item.value) for item in answer.headers]
        length = ("content-length", str(len(answer.body)))
        head = h11.Response(
            status_code=refusal.status or answer.status,
            headers=[*headers, length, ("connection", "close")],
        )
        for event in (head, h11.Data(data=answer.body), h11.EndOfMessage()):
            self.transport.write(self.conn.send(event) or b"")

    def send_400_response(self, msg: str) -> None:
        """Answer a malformed request with a problem and close the connection."""
        if self.conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.transport.close()
            return
        self._write_refusal(
            _Refusal(RefusalCause.SIZE, Problem(ProblemKind.BAD_REQUEST, msg))
        )
        if self.cycle is not None and not self.cycle.response_complete:
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        self._linger()

    async def _serve(self, scope: Any, receive: Any, send: Any) -> None:
        """Pass a request on; its memory is released when it has ended."""
        reservation, cycle = self._reservation, self.cycle
        try:
            await self._application(scope, receive, send)
        finally:
            reservation.release()
            if not cycle.more_body or cycle.response_complete:
                cycle.body = bytearray()


def _describe_memory() -> _Refusal:
    problem = Problem(
        ProblemKind.OVERLOADED,
        "The requests in this process use too much memory; retry later.",
        retry_after=RETRY_AFTER,
    )
    return _Refusal(RefusalCause.MEMORY, problem)
