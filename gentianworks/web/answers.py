"""Answers: writes the parts of an answer to the connection of a caller."""

from __future__ import annotations

from collections.abc import MutableMapping
from functools import singledispatch
from typing import Any

import anyio
from attrs import define

from gentianworks.codecs.problems import encode_problem, encode_problem_event
from gentianworks.codecs.requests import ENDPOINT_HEADER, filter_forwardable_headers
from gentianworks.codecs.server_events import EVENT_STREAM
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.callers import (
    AbortAnswer,
    FinishAnswer,
    RefuseRequest,
    RelayPiece,
    StartAnswer,
)
from gentianworks.core.types import Header, Problem, ProblemKind
from gentianworks.outbox import MAX_COALESCED_BYTES, Outbox
from gentianworks.process import Process, perform
from gentianworks.web.server import Send, send_response

CLOSE = Header("connection", "close")


class CallerDisconnectedError(Exception):
    """Raised when a caller no longer reads its answer."""


def encode_headers(headers: tuple[Header, ...]) -> list[tuple[bytes, bytes]]:
    """Return headers in the form that ASGI requires."""
    return [(item.name.encode(), item.value.encode("latin-1")) for item in headers]


async def send_problem(problem: Problem, send: Send, closes: bool = False) -> None:
    """Send a problem, and close the connection if `closes` is True."""
    answer = encode_problem(problem)
    length = Header("content-length", str(len(answer.body)))
    headers = (*answer.headers, length, *((CLOSE,) if closes else ()))
    await send_response(send, answer.status, encode_headers(headers), answer.body)


@define
class AnswerWriter:
    """Writer of answers to the connection of one caller."""

    asgi_send: Send
    process: Process
    write_timeout: float  # seconds
    is_event_stream: bool = False

    async def send(self, part: MutableMapping[str, Any]) -> None:
        """Send one ASGI message.

        Raises CallerDisconnectedError if the caller reads nothing for `write_timeout`.
        """
        with anyio.move_on_after(self.write_timeout) as scope:
            await self.asgi_send(part)
        if scope.cancelled_caught:
            raise CallerDisconnectedError

    def get_connection_headers(self) -> tuple[Header, ...]:
        """Return a header that closes the connection if the process shuts down."""
        return (CLOSE,) if self.process.state.is_leaving else ()


@singledispatch
def merge_queued_parts(part: Effect, outbox: Outbox) -> Effect:
    """Return a part merged with the queued parts that fit into the same write."""
    return part


@merge_queued_parts.register
def _(part: RelayPiece, outbox: Outbox) -> Effect:
    data = part.data
    if len(data) < MAX_COALESCED_BYTES:
        for other in outbox.get_queued(RelayPiece):
            data += other.data
            if len(data) >= MAX_COALESCED_BYTES:
                break
    return RelayPiece(part.exchange, data)


@singledispatch
async def write_part(part: Effect, writer: AnswerWriter) -> bool:
    """Write one part of an answer and return whether more parts may follow."""
    raise NotImplementedError(
        f"{type(part).__name__} is not part of an answer; add it to no outbox."
    )


@write_part.register
async def _(part: StartAnswer, writer: AnswerWriter) -> bool:
    headers = filter_forwardable_headers(part.headers)
    writer.is_event_stream = any(
        item.name == "content-type" and item.value.startswith(EVENT_STREAM)
        for item in headers
    )
    endpoint = Header(ENDPOINT_HEADER, part.endpoint)
    sent = encode_headers((*headers, endpoint, *writer.get_connection_headers()))
    await writer.send(
        {"type": "http.response.start", "status": part.status, "headers": sent}
    )
    return True


@write_part.register
async def _(part: RelayPiece, writer: AnswerWriter) -> bool:
    await writer.send(
        {"type": "http.response.body", "body": part.data, "more_body": True}
    )
    return True


@write_part.register
async def _(part: FinishAnswer, writer: AnswerWriter) -> bool:
    await writer.send({"type": "http.response.body", "body": b""})
    return False


@write_part.register
async def _(part: AbortAnswer, writer: AnswerWriter) -> bool:
    if writer.is_event_stream:
        event = encode_problem_event(part.problem)
        await writer.send(
            {"type": "http.response.body", "body": event, "more_body": True}
        )
    return False


@write_part.register
async def _(part: RefuseRequest, writer: AnswerWriter) -> bool:
    closes = bool(writer.get_connection_headers())
    await send_problem(part.problem, writer.send, closes=closes)
    return False


def _enqueue_part(
    effect: StartAnswer | RelayPiece | FinishAnswer | AbortAnswer | RefuseRequest,
    process: Process,
) -> None:
    outbox = process.outboxes.get(effect.exchange)
    if outbox is None:
        return
    if isinstance(effect, AbortAnswer):
        _free_memory(effect, outbox)
    outbox.put(effect)


def _free_memory(effect: AbortAnswer, outbox: Outbox) -> None:
    """Drop what a caller has not read by its deadline if it reads too slowly.

    It would stay in memory until the connection is cut.
    """
    if effect.problem.kind is ProblemKind.DEADLINE_PASSED and outbox.is_full():
        outbox.discard_queued(RelayPiece)


for _kind in (StartAnswer, RelayPiece, FinishAnswer, AbortAnswer, RefuseRequest):
    perform.register(_kind, _enqueue_part)
