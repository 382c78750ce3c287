"""Agents: the HTTP client with which a router calls the agents of endpoints."""

from __future__ import annotations

from collections.abc import AsyncIterator

import httpcore
from attrs import define, field

from gentianworks.codecs.frames import FrameReader
from gentianworks.codecs.messages import MessageCodec, MessageError
from gentianworks.core.effects.dispatch import CancelDispatch, SendDispatch
from gentianworks.core.events.base import Message
from gentianworks.core.events.dispatch import (
    AnswerEnd,
    AttemptConnectionLost,
    AttemptRefused,
)
from gentianworks.process import Process, perform
from gentianworks.web.pools import Pools

CONNECT_TIMEOUT = 5.0  # seconds
REJECTED_STATUSES = frozenset({401, 413})  # sent before an agent accepts the attempt
FINAL_MESSAGES = (AnswerEnd, AttemptRefused)


@define
class AgentClient:
    """HTTP client that sends attempts to agents and reports answers as events."""

    codec: MessageCodec
    pools: Pools = field(factory=Pools)

    async def run(self, effect: SendDispatch, process: Process) -> None:
        """Send one attempt and report its answer until it ends or is interrupted."""
        attempt = effect.dispatch.attempt
        has_ended = False
        try:
            async for message in self._read(effect):
                if getattr(message, "attempt", attempt) != attempt:
                    break
                process.handle(message)
                has_ended = isinstance(message, FINAL_MESSAGES)
                await _wait_for_room(effect, process)
            if not has_ended:
                process.handle(AttemptConnectionLost(attempt, was_sent=True))
        except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout):
            process.handle(AttemptConnectionLost(attempt, was_sent=False))
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            process.handle(AttemptConnectionLost(attempt, was_sent=True))

    async def _read(self, effect: SendDispatch) -> AsyncIterator[Message]:
        frames = FrameReader()
        timeouts = {
            "connect": CONNECT_TIMEOUT,
            "pool": CONNECT_TIMEOUT,
            "read": effect.dispatch.deadline,
            "write": effect.dispatch.deadline,
        }
        async with (
            self.pools.borrow(effect.http_address) as pool,
            pool.stream(
                "POST",
                f"http://{effect.http_address}/dispatch",
                headers=[(b"host", effect.http_address.encode())],
                content=self.codec.encode(effect.dispatch),
                extensions={"timeout": timeouts},
            ) as response,
        ):
            if response.status in REJECTED_STATUSES:
                raise httpcore.ConnectError(f"rejected with status {response.status}")
            async for data in response.aiter_stream():
                for frame in frames.feed(data):
                    message = self.codec.decode_or_error(frame)
                    if isinstance(message, MessageError):
                        return
                    yield message


async def _wait_for_room(effect: SendDispatch, process: Process) -> None:
    outbox = process.outboxes.get(effect.exchange)
    if outbox is not None:
        await outbox.wait_for_room()


@perform.register
def _(effect: SendDispatch, process: Process) -> None:
    client = process.get_adapter(AgentClient)

    async def run() -> None:
        await client.run(effect, process)

    attempt = effect.dispatch.attempt
    process.start_call(attempt, run, AttemptConnectionLost(attempt, was_sent=True))


@perform.register
def _(effect: CancelDispatch, process: Process) -> None:
    process.cancel_call(effect.attempt)
