"""A TCP proxy that injects faults between two processes.

It runs in a process of its own (`python -m standins.proxy LISTEN TARGET CONTROL`) and
takes its fault over HTTP: `POST /fault` with one of the words of `Fault`.
`POST /held` with some bytes tells in how many connections it holds them back.
`POST /silence` with the name of a control host cuts off what that host sends, and
nothing else.
"""

from __future__ import annotations

import re
from contextlib import suppress
from enum import Enum

import anyio
import typer
from anyio.abc import SocketStream
from attrs import define, field

from gentianworks.web.server import Receive, Scope, Send, create_server, send_response
from standins.engine import read

CHUNK_BYTES = 65536
DELAY = 0.2  # seconds
# asyncio raises RuntimeError where a crossed answer meets an end that takes no more.
LOST_ENDS = (anyio.BrokenResourceError, anyio.ClosedResourceError, RuntimeError)
HANDSHAKE_BYTES = 8
SENDER = re.compile(rb"(?:control|router|agent)-[a-z0-9-]*[a-z0-9]")


class Fault(Enum):
    """Name what the proxy does to what passes through it."""

    NONE = "none"
    CUT = "cut"
    HOLD = "hold"
    HOLD_ANSWERS = "hold-answers"
    DELAY = "delay"
    DOUBLE = "double"
    CROSS = "cross"
    RESET = "reset"


@define(eq=False)
class Held:
    """Hold back what has come from one end of a connection."""

    data: bytes

    async def grow(self, source: SocketStream) -> None:
        """Take what follows, until the end of the connection or until cancelled."""
        with suppress(
            anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError
        ):
            while True:
                self.data += await source.receive(CHUNK_BYTES)


@define
class Proxy:
    """Pass bytes between two addresses with a fault that can be changed.

    `cross` passes what answers one client on to another one of `clients`.
    """

    target: str
    fault: Fault = Fault.NONE
    changed: anyio.Event = field(factory=anyio.Event)
    streams: set[SocketStream] = field(factory=set)
    senders: dict[SocketStream, bytes] = field(factory=dict)
    silenced: bytes = b""
    held: list[Held] = field(factory=list)
    clients: list[SocketStream] = field(factory=list)

    async def set_fault(self, fault: Fault) -> None:
        """Change the fault; `reset` closes every connection once."""
        if fault in (Fault.CUT, Fault.RESET):
            for stream in list(self.streams):
                await anyio.aclose_forcefully(stream)
        self.fault = Fault.NONE if fault is Fault.RESET else fault
        self.changed.set()
        self.changed = anyio.Event()

    async def silence(self, name: bytes) -> None:
        """Cut off the process whose messages name it so; no name ends the cut."""
        self.silenced = name
        for stream, sender in list(self.senders.items()):
            if sender == name:
                await anyio.aclose_forcefully(stream)

    async def serve(self, client: SocketStream) -> None:
        """Pass the bytes of one connection both ways."""
        if self.fault is Fault.CUT:
            await anyio.aclose_forcefully(client)
            return
        host, _, port = self.target.rpartition(":")
        try:
            server = await anyio.connect_tcp(host, int(port))
        except OSError:
            await anyio.aclose_forcefully(client)
            return
        self.streams |= {client, server}
        self.clients.append(client)
        async with client, server, anyio.create_task_group() as tasks:
            tasks.start_soon(self._pass, client, server, False)
            tasks.start_soon(self._pass, server, client, True)
        self.streams -= {client, server}
        self.senders.pop(client, None)
        self.clients.remove(client)

    async def _pass(
        self, source: SocketStream, sink: SocketStream, is_answer: bool
    ) -> None:
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                if not is_answer and self._is_silenced(source, data):
                    await anyio.aclose_forcefully(sink)
                    return
                data = await self._apply_fault(source, data, is_answer)
                await self._find_sink(sink, is_answer).send(data)
                if self.fault is Fault.DOUBLE:
                    await sink.send(data)
        except anyio.EndOfStream:
            await _send_end(sink)
        except LOST_ENDS:
            await anyio.aclose_forcefully(sink)

    def _is_silenced(self, source: SocketStream, data: bytes) -> bool:
        """Tell whether a connection is to be cut; one that is not known is, too."""
        if source not in self.senders:
            found = SENDER.search(data)
            if found is not None:
                self.senders[source] = found.group()
        if not self.silenced or len(data) <= HANDSHAKE_BYTES:
            return False
        return self.senders.get(source, self.silenced) == self.silenced

    def _find_sink(self, sink: SocketStream, is_answer: bool) -> SocketStream:
        if self.fault is not Fault.CROSS or not is_answer:
            return sink
        place = self.clients.index(sink)
        return self.clients[(place + 1) % len(self.clients)]

    async def _apply_fault(
        self, source: SocketStream, data: bytes, is_answer: bool
    ) -> bytes:
        if self._is_holding(is_answer):
            data = await self._hold(source, data, is_answer)
        if self.fault is Fault.DELAY:
            await anyio.sleep(DELAY)
        return data

    def _is_holding(self, is_answer: bool) -> bool:
        return self.fault is Fault.HOLD or (
            self.fault is Fault.HOLD_ANSWERS and is_answer
        )

    async def _hold(self, source: SocketStream, data: bytes, is_answer: bool) -> bytes:
        held = Held(data)
        self.held.append(held)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(held.grow, source)
            while self._is_holding(is_answer):
                await self.changed.wait()
            tasks.cancel_scope.cancel()
        self.held.remove(held)
        return held.data

    def count_held(self, part: bytes) -> int:
        """Return in how many connections these bytes are held back."""
        return sum(part in held.data for held in self.held)


async def _send_end(sink: SocketStream) -> None:
    try:
        await sink.send_eof()
    except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
        return


@define
class FaultApplication:
    """Take the fault of a proxy over HTTP."""

    proxy: Proxy

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        body = await read(receive)
        if scope["path"] == "/fault" and body:
            await self.proxy.set_fault(Fault(body.decode()))
        if scope["path"] == "/silence":
            await self.proxy.silence(body)
        told = self.proxy.fault.value
        if scope["path"] == "/held":
            told = str(self.proxy.count_held(body))
        await send_response(send, 200, [], told.encode())


async def run(listen: str, target: str, control: str) -> None:
    """Serve the proxy and its control address."""
    host, _, port = listen.rpartition(":")
    proxy = Proxy(target)
    server = create_server(FaultApplication(proxy), control)
    listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        await listener.serve(proxy.serve)


def main(listen: str, target: str, control: str) -> None:
    """Pass connections from LISTEN to TARGET; take faults at CONTROL."""
    anyio.run(run, listen, target, control)


if __name__ == "__main__":
    typer.run(main)
