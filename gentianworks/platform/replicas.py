"""Replicas: sends calls to replicas and decodes their responses."""

from __future__ import annotations

import asyncio
import logging

from attrs import define, field, fields, frozen

from gentianworks.codecs.server_events import (
    EVENT_STREAM,
    EventBlock,
    EventSplitter,
    EventTooLongError,
    PassthroughSplitter,
)
from gentianworks.core.effects.gateway import (
    CallReplica,
    CancelReplicaCall,
    CheckReplica,
)
from gentianworks.core.events.cold_replicas import ReplicaDisconnected
from gentianworks.core.events.gateway import (
    ReplicaAnswerEnded,
    ReplicaAnswerHead,
    ReplicaAnswerPiece,
    ReplicaAnswerSkipped,
    ReplicaAnswerStarted,
    ReplicaCallFailed,
    ReplicaFailure,
)
from gentianworks.core.events.replica_suspects import ReplicaChecked
from gentianworks.core.gateway.route_table import RetryPolicy
from gentianworks.core.types import AttemptId, Header
from gentianworks.platform import header_names
from gentianworks.platform.notices import decode_notices
from gentianworks.process import Process, contain_failure, perform
from gentianworks.web.connections import (
    Connection,
    ConnectionFailure,
    ConnectionPool,
    RequestHead,
    UnsendableRequestError,
)

logger = logging.getLogger("gentianworks")

LEAST_URGENT_PRIORITY = 9
STATUS_OTHER_REPLICA = 421
MIN_REFUSAL_STATUS = 400
MAX_STATUS = 599
MAX_COUNT_DIGITS = 9
MAX_BLOCKS_PER_TURN = 32  # of a stream; about a millisecond of the event loop
REPLICA_FAILURES = {
    ConnectionFailure.NOT_SENT: ReplicaFailure.NOT_SENT,
    ConnectionFailure.CUT: ReplicaFailure.CUT,
    ConnectionFailure.MALFORMED: ReplicaFailure.MALFORMED,
}


@define(eq=False)
class AnswerReader:
    """Decoder of the response to one attempt, which it reports as events."""

    effect: CallReplica
    process: Process
    connection: Connection
    client: ReplicaClient
    splitter: EventSplitter | PassthroughSplitter = field(factory=PassthroughSplitter)

    def receive_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        """Report the head; return False if it belongs to another request."""
        decoded = tuple(
            Header(name.decode("latin-1"), value.decode("latin-1"))
            for name, value in headers
        )
        values = {item.name: item.value for item in decoded}
        request_id = values.get(header_names.REQUEST_ID, "")
        if request_id != self.effect.call.request_id:
            skipped = ReplicaAnswerSkipped(self.effect.attempt, request_id, status)
            self.process.handle(skipped)
            return False
        if values.get("content-type", "").startswith(EVENT_STREAM):
            self.splitter = EventSplitter()
        answer = decode_answer(status, decoded, values)
        self.process.handle(ReplicaAnswerStarted(self.effect.attempt, answer))
        return True

    def receive_data(self, data: bytes) -> None:
        """Report the complete pieces; pause reading if too many wait for the client."""
        try:
            blocks = self.splitter.feed(data)
        except EventTooLongError as error:
            self.connection.abort()
            self.receive_failure(ConnectionFailure.MALFORMED, str(error))
            return
        if len(blocks) > MAX_BLOCKS_PER_TURN:
            self.connection.mark_busy()
        self._report(blocks)
        outbox = self.process.outboxes.get(self.effect.exchange)
        if outbox is not None and outbox.is_full():
            self._pause_until_drained()

    def receive_end(self) -> None:
        """Report that the response is complete."""
        if self.splitter.has_incomplete_event():
            detail = "the stream ended in the middle of an event"
            self.receive_failure(ConnectionFailure.CUT, detail)
            return
        self.client.remove(self.effect.attempt)
        self.process.handle(ReplicaAnswerEnded(self.effect.attempt))

    def receive_failure(self, failure: ConnectionFailure, detail: str) -> None:
        """Report that the response has failed."""
        self.client.remove(self.effect.attempt)
        failed = ReplicaCallFailed(
            self.effect.attempt, REPLICA_FAILURES[failure], detail
        )
        self.process.handle(failed)

    def _report(self, blocks: list[EventBlock]) -> None:
        for block in blocks:
            piece = ReplicaAnswerPiece(
                self.effect.attempt, block.data, block.first_event, block.last_event
            )
            self.process.handle(piece)

    def _pause_until_drained(self) -> None:
        self.connection.pause()

        async def wait() -> None:
            outbox = self.process.outboxes.get(self.effect.exchange)
            if outbox is not None:
                await outbox.wait_for_room()
            self.connection.resume()

        self.process.start_call(_name_room_call(self.effect.attempt), wait)


@define
class ReplicaClient:
    """HTTP client for replicas, which reuses its connections."""

    pool: ConnectionPool = field(factory=ConnectionPool)
    _connections: dict[AttemptId, Connection] = field(factory=dict)

    def call(self, effect: CallReplica, process: Process) -> None:
        """Send a call on an idle connection, or connect first."""
        try:
            head = encode_head(effect)
            head.check()
        except UnsendableRequestError as error:
            failure = ReplicaFailure.UNSENDABLE
            process.handle(ReplicaCallFailed(effect.attempt, failure, str(error)))
            return
        now = asyncio.get_running_loop().time()
        is_careful = effect.retry_policy is RetryPolicy.AT_MOST_ONCE
        connection = self.pool.borrow(
            effect.replica.address, now, is_careful, effect.call.request_id
        )
        if connection is not None:
            self._send(effect, head, connection, process)
            return

        async def connect() -> None:
            await self._connect(effect, head, process)

        process.start_call(effect.attempt, connect, _build_internal_failure(effect))

    async def _connect(
        self, effect: CallReplica, head: RequestHead, process: Process
    ) -> None:
        try:
            connection = await self.pool.connect(effect.replica.address)
        except (OSError, TimeoutError) as error:
            detail = f"{effect.replica.address} accepted no connection ({error!r})"
            is_silent = isinstance(error, TimeoutError)
            failure = (
                ReplicaFailure.UNREACHABLE if is_silent else ReplicaFailure.NOT_SENT
            )
            failed = ReplicaCallFailed(effect.attempt, failure, detail)
            process.handle(failed)
        else:
            closed = ReplicaDisconnected(effect.replica.name)
            connection.report_closed = lambda: process.handle(closed)
            self._send(effect, head, connection, process)

    def _send(
        self,
        effect: CallReplica,
        head: RequestHead,
        connection: Connection,
        process: Process,
    ) -> None:
        self._connections[effect.attempt] = connection
        reader = AnswerReader(effect, process, connection, self)
        connection.send(head, effect.call.body, reader, effect.call.request_id)

    def check(self, effect: CheckReplica, process: Process) -> None:
        """Report whether a replica refuses a connection; keep one that it accepts."""
        replica = effect.replica

        async def connect() -> None:
            is_refused = False
            try:
                await self.pool.open_idle(replica.address)
            except ConnectionRefusedError:
                is_refused = True
            except (OSError, TimeoutError) as error:
                details = (("replica", replica.name), ("error", repr(error)))
                logger.info("GW5121", extra={"details": details})
            process.handle(ReplicaChecked(replica.name, is_refused))

        unknown = ReplicaChecked(replica.name, is_refused=False)
        process.start_call(f"{replica.name}/check", connect, unknown)

    def cancel(self, attempt: AttemptId, process: Process) -> None:
        """Close the connection of an attempt, on which its replica stops the work."""
        process.cancel_call(attempt)
        process.cancel_call(_name_room_call(attempt))
        connection = self._connections.pop(attempt, None)
        if connection is not None:
            connection.abort()

    def remove(self, attempt: AttemptId) -> None:
        """Remove an attempt that has ended."""
        self._connections.pop(attempt, None)


def _name_room_call(attempt: AttemptId) -> str:
    """Return the name of the call that waits until a client has room."""
    return f"{attempt}/room"


def decode_answer(
    status: int, headers: tuple[Header, ...], values: dict[str, str]
) -> ReplicaAnswerHead:
    """Return the decoded head of a response."""
    is_other = status == STATUS_OTHER_REPLICA
    is_refusal = header_names.NOT_EXECUTED in values
    defect = ""
    if is_refusal and status < MIN_REFUSAL_STATUS:
        defect = f"the answer with status {status} claims that the call was not run"
    if status > MAX_STATUS:
        defect = f"the answer has the status {status}, which no caller understands"
    load = _read_load(values.get(header_names.INSTANCE_LOAD, ""))
    kept = tuple(item for item in headers if item.name not in header_names.HOP_HEADERS)
    length = tuple(item for item in headers if item.name == "content-length")
    return ReplicaAnswerHead(
        status=status,
        headers=(*kept, *length),
        is_signed=header_names.RESPONSE_SIGNATURE in values,
        is_not_run=is_other or (is_refusal and not defect),
        is_other_replica=is_other,
        running=load.running,
        waiting=load.waiting,
        slots=max(0, load.slots),
        slowness=max(0, load.slowness),
        content_type=values.get("content-type", "").partition(";")[0].strip().lower(),
        is_event_stream=values.get("content-type", "").startswith(EVENT_STREAM),
        defect=defect,
        notices=decode_notices(headers),
    )


@frozen
class _LoadFigures:
    """Figures of a replica's load; -1 stands for one that is missing or broken."""

    running: int = -1
    waiting: int = -1
    slots: int = -1
    slowness: int = -1


def _read_load(text: str) -> _LoadFigures:
    parts = [part.strip() for part in text.split(",")]
    figures = [int(part) if _is_count(part) else -1 for part in parts]
    return _LoadFigures(*figures[: len(fields(_LoadFigures))])


def _is_count(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_COUNT_DIGITS


def encode_head(effect: CallReplica) -> RequestHead:
    """Return the request head of a call to a replica.

    Raises UnsendableRequestError if a text can't be encoded.
    """
    call = effect.call
    headers = [(item.name, item.value) for item in call.headers]
    if not any(name == "host" for name, _ in headers):
        headers.append(("host", call.host))  # HTTP/1.0 doesn't require it
    headers += [
        (header_names.REQUEST_DEADLINE, str(max(1, int(effect.timeout * 1000)))),
        (header_names.EXPECT_INSTANCE, effect.replica.name),
        (
            header_names.REQUEST_PRIORITY,
            str(min(LEAST_URGENT_PRIORITY, max(0, effect.urgency))),
        ),
    ]
    if effect.resume_after >= 0:
        headers.append((header_names.LAST_EVENT_ID, str(effect.resume_after)))
    if effect.source is not None:
        headers.append((header_names.KV_FETCH, effect.source.address))
    if call.body or call.method not in {"GET", "HEAD", "DELETE"}:
        headers.append(("content-length", str(len(call.body))))
    encoded = [(name.encode(), _encode_value(name, value)) for name, value in headers]
    if effect.workspace:
        name = header_names.TENANT_ID
        value = _encode_value(name, effect.workspace, "utf-8")
        encoded.append((name.encode(), value))
    return RequestHead(call.method, call.path, tuple(encoded))


def _encode_value(name: str, value: str, encoding: str = "latin-1") -> bytes:
    try:
        return value.encode(encoding)
    except UnicodeEncodeError as error:
        raise UnsendableRequestError(f"the header {name!r}: {error}") from error


def _build_internal_failure(effect: CallReplica) -> ReplicaCallFailed:
    detail = "an unexpected error occurred; retry later if the call is safe to repeat"
    return ReplicaCallFailed(effect.attempt, ReplicaFailure.INTERNAL, detail)


@perform.register
def _(effect: CallReplica, process: Process) -> None:
    process.get_adapter(ReplicaClient).call(effect, process)


@contain_failure.register
def _(effect: CallReplica, process: Process, error: Exception) -> None:
    process.log_failed_effect(effect, effect.call.request_id)
    process.get_adapter(ReplicaClient).cancel(effect.attempt, process)
    process.handle(_build_internal_failure(effect))


@perform.register
def _(effect: CheckReplica, process: Process) -> None:
    process.get_adapter(ReplicaClient).check(effect, process)


@contain_failure.register
def _(effect: CheckReplica, process: Process, error: Exception) -> None:
    process.log_failed_effect(effect, effect.replica.name)
    process.handle(ReplicaChecked(effect.replica.name, is_refused=False))


@perform.register
def _(effect: CancelReplicaCall, process: Process) -> None:
    process.get_adapter(ReplicaClient).cancel(effect.attempt, process)


@contain_failure.register
def _(effect: CancelReplicaCall, process: Process, error: Exception) -> None:
    process.log_failed_effect(effect, effect.attempt)
