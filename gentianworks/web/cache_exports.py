"""Cache exports: the transfer of prompts from the local engine to other agents."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator

import anyio
import httpcore
from attrs import define, field

from gentianworks.codecs.frames import encode_frame
from gentianworks.codecs.messages import MessageCodec
from gentianworks.core.cache.state import MoveFailure
from gentianworks.core.effects.cache import CancelMove, MovePrompt
from gentianworks.core.events.base import Event
from gentianworks.core.events.cache import (
    MoveFailed,
    PromptEnd,
    PromptMoved,
    PromptOffer,
    PromptPiece,
)
from gentianworks.process import Process, perform
from gentianworks.web.cache_imports import CACHE_PATH
from gentianworks.web.engine_load import HTTP_OK, TRANSPORT_ERRORS
from gentianworks.web.pools import Pools, build_timeout_extensions, create_pool


@define
class _Export:
    """Transfer of one prompt from the response of the engine."""

    effect: MovePrompt
    sender: str
    codec: MessageCodec
    response: httpcore.Response
    size: int = 0  # bytes sent

    async def encode(self) -> AsyncIterator[bytes]:
        """Yield the frames of a transfer; PromptEnd is omitted if the engine fails."""
        effect = self.effect
        offer = PromptOffer(
            self.sender, effect.transfer, effect.endpoint, effect.prompt
        )
        yield self._encode_frame(offer)
        pieces = 0
        started = anyio.current_time()
        try:
            async for data in self.response.aiter_stream():
                yield self._encode_frame(
                    PromptPiece(self.sender, effect.transfer, pieces, data)
                )
                pieces += 1
                self.size += len(data)
                await anyio.sleep_until(started + self.size / effect.rate)
        except TRANSPORT_ERRORS:
            return
        yield self._encode_frame(PromptEnd(self.sender, effect.transfer, pieces))

    def _encode_frame(self, message: PromptOffer | PromptPiece | PromptEnd) -> bytes:
        return encode_frame(self.codec.encode(message, is_compressible=False))


@define
class CacheSender:
    """Sender that exports prompts from the engine and offers them to other agents."""

    address: str  # IP:PORT of the engine
    codec: MessageCodec
    pool: httpcore.AsyncConnectionPool = field(factory=create_pool)
    pools: Pools = field(factory=Pools)

    async def run(self, effect: MovePrompt, process: Process) -> None:
        """Transfer one prompt and report the outcome."""
        process.handle(await self._move(effect, process.state.node.name))

    async def _move(self, effect: MovePrompt, sender: str) -> Event:
        try:
            async with self.pool.stream(
                "POST",
                f"http://{self.address}/kv/export",
                content=json.dumps({"prefix": effect.prompt.digest}).encode(),
                extensions=build_timeout_extensions(effect.timeout),
            ) as response:
                if response.status != HTTP_OK:
                    return MoveFailed(effect.transfer, MoveFailure.NOT_HELD)
                export = _Export(effect, sender, self.codec, response)
                return await self._offer(export)
        except TRANSPORT_ERRORS:
            return MoveFailed(effect.transfer, MoveFailure.NOT_HELD)

    async def _offer(self, export: _Export) -> Event:
        effect = export.effect
        address = effect.http_address
        try:
            async with self.pools.borrow(address) as pool:
                answer = await pool.request(
                    "POST",
                    f"http://{address}{CACHE_PATH}",
                    content=export.encode(),
                    extensions=build_timeout_extensions(effect.timeout),
                )
        except TRANSPORT_ERRORS:
            return MoveFailed(effect.transfer, MoveFailure.LOST)
        if answer.status != HTTP_OK:
            return MoveFailed(effect.transfer, MoveFailure.REFUSED)
        return PromptMoved(effect.transfer, export.size)


@perform.register
def _(effect: MovePrompt, process: Process) -> None:
    sender = process.get_adapter(CacheSender)

    async def run() -> None:
        await sender.run(effect, process)

    failure = MoveFailed(effect.transfer, MoveFailure.LOST)
    process.start_call(effect.transfer, run, failure)


@perform.register
def _(effect: CancelMove, process: Process) -> None:
    process.cancel_call(effect.transfer)
