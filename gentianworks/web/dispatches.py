"""Dispatches: the HTTP interface of an agent, to which routers send attempts."""

from __future__ import annotations

import anyio
from attrs import define
from expression import Result

from gentianworks.codecs.frames import encode_frame
from gentianworks.codecs.messages import MessageCodec
from gentianworks.core.effects.dispatch import CloseDispatch, SendFrame
from gentianworks.core.events.dispatch import Dispatch, RouterDisconnected
from gentianworks.outbox import MAX_COALESCED_BYTES, Outbox
from gentianworks.process import Process, perform
from gentianworks.telemetry.metrics import Metrics
from gentianworks.web.cache_imports import CACHE_PATH, CacheReceiver
from gentianworks.web.server import (
    Receive,
    Scope,
    Send,
    read_body,
    send_response,
    wait_for_disconnect,
)

MAX_DISPATCH_BYTES = 8 * 1024 * 1024


@define
class DispatchApplication:
    """ASGI application that accepts attempts from routers and streams the answers."""

    process: Process
    codec: MessageCodec

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request of a router or, for cache transfers, of an agent."""
        if scope["path"] == "/livez":
            await send_response(send, 200, [], b"live\n")
            return
        if scope["path"] == CACHE_PATH:
            receiver = self.process.get_adapter(CacheReceiver)
            await receiver.serve(receive, send, self.process)
            return
        match await read_body(receive, MAX_DISPATCH_BYTES):
            case Result(tag="ok", ok=body):
                await self._handle_dispatch(body, receive, send)
            case _:
                await send_response(send, 413, [], b"")

    async def _handle_dispatch(self, body: bytes, receive: Receive, send: Send) -> None:
        match self.codec.decode(body):
            case Result(tag="ok", ok=Dispatch() as dispatch):
                await self._run(dispatch, receive, send)
            case _:
                self.process.get_adapter(Metrics).refused_dispatches += 1
                await send_response(send, 401, [], b"")

    async def _run(self, dispatch: Dispatch, receive: Receive, send: Send) -> None:
        attempt = dispatch.attempt
        if attempt in self.process.outboxes:
            await send_response(send, 409, [], b"")
            return
        with self.process.open_outbox(attempt) as outbox:
            try:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._watch, attempt, receive)
                    self.process.handle(dispatch)
                    await self._write(outbox, send)
                    tasks.cancel_scope.cancel()
            except Exception:
                self.process.handle(RouterDisconnected(attempt))
                raise

    async def _watch(self, attempt: str, receive: Receive) -> None:
        await wait_for_disconnect(receive)
        self.process.handle(RouterDisconnected(attempt))
        self.process.outboxes[attempt].put(CloseDispatch(attempt))

    async def _write(self, outbox: Outbox, send: Send) -> None:
        await send({"type": "http.response.start", "status": 200, "headers": []})
        part = await outbox.get()
        while isinstance(part, SendFrame):
            body = self._encode_queued(part, outbox)
            await send({"type": "http.response.body", "body": body, "more_body": True})
            part = await outbox.get()
        await send({"type": "http.response.body", "body": b""})

    def _encode_queued(self, first: SendFrame, outbox: Outbox) -> bytes:
        """Return a frame joined with the queued frames that fit into the same write."""
        body = self._encode(first)
        if len(body) < MAX_COALESCED_BYTES:
            for part in outbox.get_queued(SendFrame):
                body += self._encode(part)
                if len(body) >= MAX_COALESCED_BYTES:
                    break
        return body

    def _encode(self, part: SendFrame) -> bytes:
        return encode_frame(self.codec.encode(part.message))


def _enqueue_part(effect: SendFrame | CloseDispatch, process: Process) -> None:
    outbox = process.outboxes.get(effect.attempt)
    if outbox is not None:
        outbox.put(effect)


for _kind in (SendFrame, CloseDispatch):
    perform.register(_kind, _enqueue_part)
