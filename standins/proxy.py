"""Proxy: forwards TCP connections between two processes and injects faults.

It runs in its own process (`python -m standins.proxy LISTEN TARGET CONTROL`) and is
controlled over HTTP. `POST /fault` with a value of `Fault` sets the fault. `POST /held`
with some bytes returns the number of connections in which they are held back.
`POST /silence` with the name of a process blocks the messages of that process alone.
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
from standins.engine import read_body

CHUNK_BYTES = 65536
DELAY_SECONDS = 0.2
# asyncio raises RuntimeError if a crossed answer is sent to a client after its stream
# was ended.
CONNECTION_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, RuntimeError)
HANDSHAKE_BYTES = 8  # the handshake of a messaging socket, which names no sender
SENDER_NAME = re.compile(rb"(?:control|router|agent)-[a-z0-9-]*[a-z0-9]")


class Fault(Enum):
    """Fault that the proxy injects."""

    NONE = "none"
    CUT = "cut"  # closes all connections and refuses new ones
    HOLD = "hold"  # holds back data both ways until the fault changes
    HOLD_ANSWERS = "hold-answers"  # holds back data from the target only
    DELAY = "delay"
    DOUBLE = "double"  # sends all data twice
    CROSS = "cross"  # sends the target's data to another client
    RESET = "reset"  # closes all connections once


@define(eq=False)
class HeldData:
    """Data held back from one end of a connection."""

    data: bytes

    async def append_from(self, source: SocketStream) -> None:
        """Append received data until the connection ends or the task is cancelled."""
        with suppress(
            anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError
        ):
            while True:
                self.data += await source.receive(CHUNK_BYTES)


@define
class Proxy:
    """Proxy in front of a target address, with a fault that can be changed.

    `senders` gives the process at the other end of each client connection, read from
    its messages.
    """

    target: str
    fault: Fault = Fault.NONE
    fault_changed: anyio.Event = field(factory=anyio.Event)
    streams: set[SocketStream] = field(factory=set)
    senders: dict[SocketStream, bytes] = field(factory=dict)
    blocked_sender: bytes = b""
    held: list[HeldData] = field(factory=list)
    clients: list[SocketStream] = field(factory=list)

    async def set_fault(self, fault: Fault) -> None:
        """Set the fault; `RESET` closes every connection once and sets no fault."""
        if fault in (Fault.CUT, Fault.RESET):
            for stream in list(self.streams):
                await anyio.aclose_forcefully(stream)
        self.fault = Fault.NONE if fault is Fault.RESET else fault
        self.fault_changed.set()
        self.fault_changed = anyio.Event()

    async def block_sender(self, name: bytes) -> None:
        """Block the process with this name in its messages; an empty name unblocks."""
        self.blocked_sender = name
        for stream, sender in list(self.senders.items()):
            if sender == name:
                await anyio.aclose_forcefully(stream)

    async def serve(self, client: SocketStream) -> None:
        """Forward the data of one connection both ways."""
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
            tasks.start_soon(self._forward, client, server, False)
            tasks.start_soon(self._forward, server, client, True)
        self.streams -= {client, server}
        self.senders.pop(client, None)
        self.clients.remove(client)

    async def _forward(
        self, source: SocketStream, sink: SocketStream, is_answer: bool
    ) -> None:
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                if not is_answer and self._is_blocked(source, data):
                    await anyio.aclose_forcefully(sink)
                    return
                data = await self._apply_fault(source, data, is_answer)
                await self._choose_sink(sink, is_answer).send(data)
                if self.fault is Fault.DOUBLE:
                    await sink.send(data)
        except anyio.EndOfStream:
            await _send_end(sink)
        except CONNECTION_ERRORS:
            await anyio.aclose_forcefully(sink)

    def _is_blocked(self, source: SocketStream, data: bytes) -> bool:
        """Return whether to close a connection; an unknown sender counts as blocked."""
        if source not in self.senders:
            found = SENDER_NAME.search(data)
            if found is not None:
                self.senders[source] = found.group()
        if not self.blocked_sender or len(data) <= HANDSHAKE_BYTES:
            return False
        return self.senders.get(source, self.blocked_sender) == self.blocked_sender

    def _choose_sink(self, sink: SocketStream, is_answer: bool) -> SocketStream:
        if self.fault is not Fault.CROSS or not is_answer:
            return sink
        index = self.clients.index(sink)
        return self.clients[(index + 1) % len(self.clients)]

    async def _apply_fault(
        self, source: SocketStream, data: bytes, is_answer: bool
    ) -> bytes:
        if self._is_holding(is_answer):
            data = await self._hold(source, data, is_answer)
        if self.fault is Fault.DELAY:
            await anyio.sleep(DELAY_SECONDS)
        return data

    def _is_holding(self, is_answer: bool) -> bool:
        return self.fault is Fault.HOLD or (
            self.fault is Fault.HOLD_ANSWERS and is_answer
        )

    async def _hold(self, source: SocketStream, data: bytes, is_answer: bool) -> bytes:
        held = HeldData(data)
        self.held.append(held)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(held.append_from, source)
            while self._is_holding(is_answer):
                await self.fault_changed.wait()
            tasks.cancel_scope.cancel()
        self.held.remove(held)
        return held.data

    def count_held(self, part: bytes) -> int:
        """Return the number of connections in which these bytes are held back."""
        return sum(part in held.data for held in self.held)


async def _send_end(sink: SocketStream) -> None:
    try:
        await sink.send_eof()
    except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
        return


@define
class FaultApplication:
    """ASGI application that controls the faults of a proxy."""

    proxy: Proxy

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        body = await read_body(receive)
        if scope["path"] == "/fault" and body:
            await self.proxy.set_fault(Fault(body.decode()))
        if scope["path"] == "/silence":
            await self.proxy.block_sender(body)
        result = self.proxy.fault.value
        if scope["path"] == "/held":
            result = str(self.proxy.count_held(body))
        await send_response(send, 200, [], result.encode())


async def run(listen: str, target: str, control: str) -> None:
    """Serve the proxy at `listen` and its control application at `control`."""
    host, _, port = listen.rpartition(":")
    proxy = Proxy(target)
    server = create_server(FaultApplication(proxy), control)
    listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        await listener.serve(proxy.serve)


def main(listen: str, target: str, control: str) -> None:
    """Forward connections from LISTEN to TARGET; control faults at CONTROL."""
    anyio.run(run, listen, target, control)


if __name__ == "__main__":
    typer.run(main)
