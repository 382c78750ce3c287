"""Cache imports: the transfer of prompts from other agents to the local engine."""

from __future__ import annotations

from collections.abc import AsyncIterator, MutableMapping
from typing import Any

import anyio
import httpcore
from attrs import define, field
from expression import Result

from gentianworks.codecs.frames import FrameReader
from gentianworks.codecs.messages import MessageCodec
from gentianworks.core.cache.state import TransferId
from gentianworks.core.effects.cache import ImportPrompt
from gentianworks.core.events.base import Message
from gentianworks.core.events.cache import (
    PromptEnd,
    PromptImportEnded,
    PromptOffer,
    PromptPiece,
)
from gentianworks.process import Process, perform
from gentianworks.web.engine_load import HTTP_OK, TRANSPORT_ERRORS
from gentianworks.web.pools import build_timeout_extensions, create_pool
from gentianworks.web.server import Receive, Send, send_response

CACHE_PATH = "/cache"
INACTIVITY_TIMEOUT = 2.0  # seconds without data from the sender or the engine
HTTP_UNAUTHORIZED = 401
HTTP_CONFLICT = 409


class _IncompleteTransferError(Exception):
    """Raised when the pieces of a prompt are incomplete or out of order."""


@define
class CacheReceiver:
    """Receiver that imports prompts offered by other agents into the engine."""

    address: str  # IP:PORT of the engine
    codec: MessageCodec
    pool: httpcore.AsyncConnectionPool = field(factory=create_pool)
    accepted_transfers: set[TransferId] = field(factory=set)

    async def serve(self, receive: Receive, send: Send, process: Process) -> None:
        """Respond to one offer, importing the prompt if the offer is accepted."""
        messages = self._read(receive)
        offer = await anext(messages, None)
        if not isinstance(offer, PromptOffer):
            await send_response(send, HTTP_UNAUTHORIZED, [], b"")
            return
        process.handle(offer)
        is_imported = False
        if offer.transfer in self.accepted_transfers:
            self.accepted_transfers.remove(offer.transfer)
            is_imported = await self._import(offer.transfer, messages, process)
        await send_response(send, HTTP_OK if is_imported else HTTP_CONFLICT, [], b"")

    async def _import(
        self, transfer: TransferId, messages: AsyncIterator[Message], process: Process
    ) -> bool:
        status = 0
        try:
            response = await self.pool.request(
                "POST",
                f"http://{self.address}/kv/import",
                content=_join_pieces(transfer, messages),
                extensions=build_timeout_extensions(INACTIVITY_TIMEOUT),
            )
            status = response.status
        except (*TRANSPORT_ERRORS, _IncompleteTransferError):
            pass
        finally:
            process.handle(PromptImportEnded(transfer, status == HTTP_OK))
        return status == HTTP_OK

    async def _read(self, receive: Receive) -> AsyncIterator[Message]:
        """Yield the messages of a body up to its end, a timeout or an invalid one."""
        frames = FrameReader()
        is_open = True
        while is_open:
            part: MutableMapping[str, Any] = {}
            with anyio.move_on_after(INACTIVITY_TIMEOUT):
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
    """Yield the bytes of a prompt.

    Raises _IncompleteTransferError if a piece is missing, out of order or invalid.
    """
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
    raise _IncompleteTransferError


@perform.register
def _(effect: ImportPrompt, process: Process) -> None:
    process.get_adapter(CacheReceiver).accepted_transfers.add(effect.transfer)
