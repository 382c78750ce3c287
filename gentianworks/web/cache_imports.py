"""Cache imports: prompts that pass from other agents to this agent's engine."""

from __future__ import annotations

from collections.abc import AsyncIterator, MutableMapping
from typing import Any

import anyio
import httpcore
from attrs import define, field
from expression import Result

from gentianworks.codecs.frames import FrameReader
from gentianworks.codecs.messages import MessageCodec
from gentianworks.core.cache.cache import TransferId
from gentianworks.core.effects.cache import ImportPrompt
from gentianworks.core.events.base import Message
from gentianworks.core.events.cache import (
    PromptEnd,
    PromptImportEnded,
    PromptOffer,
    PromptPiece,
)
from gentianworks.process import Process, perform
from gentianworks.web.loads import FAILURES, HTTP_OK
from gentianworks.web.pools import create_pool, limit_silence
from gentianworks.web.server import Receive, Send, send_whole

CACHE_PATH = "/cache"
SILENCE_TIMEOUT = 2.0  # seconds
UNAUTHENTICATED = 401
NOT_TAKEN = 409


class _TransferCutError(Exception):
    """Stop an import whose pieces did not come whole and in order."""


@define
class CacheReceiver:
    """Take prompts that other agents offer, and import them into the engine."""

    address: str
    codec: MessageCodec
    pool: httpcore.AsyncConnectionPool = field(factory=create_pool)
    accepted: set[TransferId] = field(factory=set)

    async def serve(self, receive: Receive, send: Send, process: Process) -> None:
        """Serve one offer."""
        messages = self._read(receive)
        offer = await anext(messages, None)
        if not isinstance(offer, PromptOffer):
            await send_whole(send, UNAUTHENTICATED, [], b"")
            return
        process.handle(offer)
        is_held = False
        if offer.transfer in self.accepted:
            self.accepted.remove(offer.transfer)
            is_held = await self._import(offer.transfer, messages, process)
        await send_whole(send, HTTP_OK if is_held else NOT_TAKEN, [], b"")

    async def _import(
        self, transfer: TransferId, messages: AsyncIterator[Message], process: Process
    ) -> bool:
        status = 0
        try:
            response = await self.pool.request(
                "POST",
                f"http://{self.address}/kv/import",
                content=_join_pieces(transfer, messages),
                extensions=limit_silence(SILENCE_TIMEOUT),
            )
            status = response.status
        except (*FAILURES, _TransferCutError):
            pass
        finally:
            process.handle(PromptImportEnded(transfer, status == HTTP_OK))
        return status == HTTP_OK

    async def _read(self, receive: Receive) -> AsyncIterator[Message]:
        """Yield the messages of a body until its end, a silence or a forged one."""
        frames = FrameReader()
        is_open = True
        while is_open:
            part: MutableMapping[str, Any] = {}
            with anyio.move_on_after(SILENCE_TIMEOUT):
                part = await receive()
            is_open = part.get("more_body", False)
            for frame in frames.feed(part.get("body", b"")):
                match self.codec.decode(frame):
                    case Result(tag="ok", ok=message):
                        yield message
                    case _:
                        return


async def _join_pieces(
    transfer: TransferId, messages: AsyncIterator[Message]
) -> AsyncIterator[bytes]:
    """Yield the bytes of a prompt, or raise where they are not whole."""
    pieces = 0
    async for message in messages:
        match message:
            case PromptPiece(transfer=name, sequence=sequence) if (
                name == transfer and sequence == pieces
            ):
                pieces += 1
                yield message.data
            case PromptEnd(transfer=name, pieces=count) if (
                name == transfer and count == pieces
            ):
                return
            case _:
                break
    raise _TransferCutError


@perform.register
def _(effect: ImportPrompt, process: Process) -> None:
    process.get_adapter(CacheReceiver).accepted.add(effect.transfer)
