"""Answers: writes the parts of an answer to a caller's connection."""

from __future__ import annotations

from collections.abc import MutableMapping
from functools import singledispatch
from typing import Any

import anyio
from attrs import define

from gentianworks.codecs.problems import encode_problem, encode_problem_event
from gentianworks.codecs.requests import ENDPOINT_HEADER, drop_internal
from gentianworks.codecs.server_events import EVENT_STREAM
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.callers import (
    AbortAnswer,
    FinishAnswer,
    RefuseRequest,
    RelayPiece,
    StartAnswer,
)
from gentianworks.core.types import Header, Problem
from gentianworks.outbox import MAX_COALESCED_BYTES, Outbox
from gentianworks.process import Process, perform
from gentianworks.web.server import Send, send_whole

CLOSE = Header("connection", "close")


class CallerGoneError(Exception):
    """Signal that a caller no longer reads its answer."""


def encode_headers(headers: tuple[Header, ...]) -> list[tuple[bytes, bytes]]:
    """Return headers as ASGI carries them."""
    return [(item.name.encode(), item.value.encode("latin-1")) for item in headers]


async def send_problem(problem: Problem, send: Send, closes: bool = False) -> None:
    """Answer with a problem, and close the connection where `closes` is set."""
    answer = encode_problem(problem)
    length = Header("content-length", str(len(answer.body)))
    headers = (*answer.headers, length, *((CLOSE,) if closes else ()))
    await send_whole(send, answer.status, encode_headers(headers), answer.body)


@define
class AnswerWriter:
    """Write to one caller's connection; `write_timeout` is in seconds."""

    caller: Send
    process: Process
    write_timeout: float
    is_event_stream: bool = False

    async def send(self, part: MutableMapping[str, Any]) -> None:
        """Send one ASGI message, giving up a caller that reads nothing."""
        with anyio.move_on_after(self.write_timeout) as scope:
            await self.caller(part)
        if scope.cancelled_caught:
            raise CallerGoneError

    def list_closing(self) -> tuple[Header, ...]:
        """Return the header that closes a connection while the router stops."""
        return (CLOSE,) if self.process.state.is_leaving else ()


@singledispatch
def join_waiting(part: Effect, outbox: Outbox) -> Effect:
    """Return a part with those that wait behind it and can go in the same write."""
    return part


@join_waiting.register
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
    """Write one part of an answer and tell whether more may follow."""
    raise NotImplementedError(
        f"{type(part).__name__} is no part of an answer; put it in no outbox."
    )


@write_part.register
async def _(part: StartAnswer, writer: AnswerWriter) -> bool:
    headers = drop_internal(part.headers)
    writer.is_event_stream = any(
        item.name == "content-type" and item.value.startswith(EVENT_STREAM)
        for item in headers
    )
    endpoint = Header(ENDPOINT_HEADER, part.endpoint)
    sent = encode_headers((*headers, endpoint, *writer.list_closing()))
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
    closes = bool(writer.list_closing())
    await send_problem(part.problem, writer.send, closes=closes)
    return False


def _put_part(
    effect: StartAnswer | RelayPiece | FinishAnswer | AbortAnswer | RefuseRequest,
    process: Process,
) -> None:
    outbox = process.outboxes.get(effect.exchange)
    if outbox is not None:
        outbox.put(effect)


for _kind in (StartAnswer, RelayPiece, FinishAnswer, AbortAnswer, RefuseRequest):
    perform.register(_kind, _put_part)
