"""Engines: the HTTP client with which an agent calls its engine or plain service."""

from __future__ import annotations

import httpcore
from attrs import define, field

from gentianworks.codecs.server_events import (
    EVENT_STREAM,
    EventBlock,
    EventSplitter,
    EventTooLongError,
    PassthroughSplitter,
)
from gentianworks.codecs.usage import AnswerTail
from gentianworks.core.agents.attempts import build_call_name
from gentianworks.core.effects.engines import CallEngine, CancelEngineCall
from gentianworks.core.events.engines import (
    CallFailure,
    EngineAnswerEnded,
    EngineAnswerPiece,
    EngineAnswerStarted,
    EngineCallFailed,
)
from gentianworks.core.types import Header
from gentianworks.process import Process, perform
from gentianworks.web.agents import CONNECT_TIMEOUT
from gentianworks.web.pools import Pools
from gentianworks.web.upload_watch import UploadWatch

PRIORITY_HEADER = b"x-priority"
REQUEST_ID_HEADER = b"x-request-id"
CHAT_HEADER = b"x-chat"
RESUME_HEADER = b"last-event-id"
ANSWER_STATUSES = range(200, 600)
AGENT_HEADERS = frozenset({"x-priority", "x-request-id", "x-chat", "last-event-id"})


class IncompleteStreamError(Exception):
    """Raised for a stream that stops in the middle of an event."""


@define
class EngineClient:
    """HTTP client that runs attempts at the engine and reports answers as events."""

    address: str  # IP:PORT
    # httpcore passes surplus bytes of an answer to the next request on the connection.
    pools: Pools = field(factory=lambda: Pools(keeps_connections=False))

    async def run(self, effect: CallEngine, process: Process) -> None:
        """Run one attempt and report its answer until it ends or fails."""
        attempt = effect.attempt
        try:
            generated = await self._stream(effect, process)
        except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout):
            process.handle(EngineCallFailed(attempt, CallFailure.NOT_SENT, effect.call))
        except httpcore.TimeoutException:
            process.handle(
                EngineCallFailed(attempt, CallFailure.TIMED_OUT, effect.call)
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            EventTooLongError,
            IncompleteStreamError,
        ):
            process.handle(EngineCallFailed(attempt, CallFailure.CUT, effect.call))
        else:
            process.handle(EngineAnswerEnded(attempt, effect.call, generated))

    async def _stream(self, effect: CallEngine, process: Process) -> int:
        """Report each piece and return the number of generated tokens, 0 if unknown."""
        request = effect.request
        timeouts = {
            "connect": CONNECT_TIMEOUT,
            "pool": CONNECT_TIMEOUT,
            "read": effect.timeout,
            "write": effect.timeout,
        }
        upload = UploadWatch()
        async with (
            self.pools.borrow(self.address) as pool,
            pool.stream(
                request.method,
                f"http://{self.address}{request.path}",
                headers=self._encode_headers(effect),
                content=request.body,
                extensions={"timeout": timeouts, "trace": upload.trace},
            ) as response,
        ):
            if response.status not in ANSWER_STATUSES:
                detail = f"the engine answered with the status {response.status}"
                raise httpcore.RemoteProtocolError(detail)
            upload.follow(response)
            headers = tuple(
                Header(name.decode("latin-1").lower(), value.decode("latin-1"))
                for name, value in response.headers
            )
            process.handle(
                EngineAnswerStarted(
                    effect.attempt, response.status, headers, effect.call
                )
            )
            splitter = _create_splitter(headers)
            tail = AnswerTail()
            async for data in response.aiter_stream():
                tail.feed(data)
                _report(effect, splitter.feed(data), process)
                await _wait_for_room(effect, process)
            upload.check(request.method, response)
            if splitter.has_incomplete_event():
                raise IncompleteStreamError
            return tail.count_generated_tokens()

    def _encode_headers(self, effect: CallEngine) -> list[tuple[bytes, bytes]]:
        request = effect.request
        return [
            (b"host", self.address.encode()),
            (PRIORITY_HEADER, str(effect.priority).encode()),
            (REQUEST_ID_HEADER, build_call_name(effect.attempt, effect.call).encode()),
            (CHAT_HEADER, request.chat.encode("latin-1")),
            *_encode_resume(effect),
            (b"content-length", str(len(request.body)).encode()),
            *(
                (item.name.encode(), item.value.encode("latin-1"))
                for item in request.headers
                if item.name not in AGENT_HEADERS
            ),
        ]


def _create_splitter(
    headers: tuple[Header, ...],
) -> EventSplitter | PassthroughSplitter:
    kinds = [item.value for item in headers if item.name == "content-type"]
    if any(kind.startswith(EVENT_STREAM) for kind in kinds):
        return EventSplitter()
    return PassthroughSplitter()


def _report(effect: CallEngine, blocks: list[EventBlock], process: Process) -> None:
    for block in blocks:
        piece = EngineAnswerPiece(
            effect.attempt, block.data, block.first_event, block.last_event, effect.call
        )
        process.handle(piece)


def _encode_resume(effect: CallEngine) -> list[tuple[bytes, bytes]]:
    if effect.resume_after < 0:
        return []
    return [(RESUME_HEADER, str(effect.resume_after).encode())]


async def _wait_for_room(effect: CallEngine, process: Process) -> None:
    outbox = process.outboxes.get(effect.attempt)
    if outbox is not None:
        await outbox.wait_for_room()


@perform.register
def _(effect: CallEngine, process: Process) -> None:
    client = process.get_adapter(EngineClient)

    async def run() -> None:
        await client.run(effect, process)

    failure = EngineCallFailed(effect.attempt, CallFailure.CUT, effect.call)
    process.start_call(effect.attempt, run, failure)


@perform.register
def _(effect: CancelEngineCall, process: Process) -> None:
    process.cancel_call(effect.attempt)
