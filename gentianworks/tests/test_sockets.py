"""Tests of the message sockets between processes."""

from __future__ import annotations

import asyncio
import multiprocessing
from itertools import cycle
from types import SimpleNamespace

import anyio
import pynng
import pytest
from attrs import define, field

from gentianworks.codecs.messages import MessageCodec
from gentianworks.core.events.base import Event
from gentianworks.core.events.configuration import (
    ConfigurationWanted,
    RevisionConfirmed,
)
from gentianworks.peers import sockets
from gentianworks.peers.sockets import SENDER_IDLE_TIMEOUT, PeerSockets
from standins.ports import find_free_port

NOW = 1000.0
GONE = "tcp://127.0.0.1:1"
LIVE = "tcp://127.0.0.1:2"
TIMEOUT = 10.0  # seconds
GREETING_BYTES = 8
RECONNECT_MS = 1
CUT_PEERS = 16
CUTS = 3000
SEND_INTERVAL = 0.0005  # seconds
CUT_TIMEOUT = 60.0  # seconds
MESSAGE = RevisionConfirmed("control-1", "nonce", 1)


@define
class Handler:
    """Process stub that records events and raises at the last expected one."""

    expected: int
    events: list[Event] = field(factory=list)

    def handle(self, event: Event) -> None:
        self.events.append(event)
        if len(self.events) == self.expected:
            raise ValueError("all expected events received")


class TestPeerSockets:
    def test_closes_the_socket_of_an_idle_peer(self) -> None:
        peers = PeerSockets(LIVE, MessageCodec(b"key"))
        message = RevisionConfirmed("control-1", "nonce", 1)
        peers.send(GONE, message, NOW)
        peers.send(LIVE, message, NOW + SENDER_IDLE_TIMEOUT)
        assert peers.list_addresses() == [GONE, LIVE]
        peers.send("tcp://127.0.0.1:3", message, NOW + SENDER_IDLE_TIMEOUT + 1)
        assert peers.list_addresses() == [LIVE, "tcp://127.0.0.1:3"]
        peers.close()

    def test_redials_a_lost_peer_when_it_sends_a_message(self) -> None:
        codec = MessageCodec(b"key")
        peers = PeerSockets(LIVE, codec)
        peers.send(GONE, MESSAGE, NOW)
        lost = peers._senders[GONE].socket
        clock = SimpleNamespace(read=lambda: NOW + 1)
        process = SimpleNamespace(clock=clock, handle=lambda event: None)
        wanted = ConfigurationWanted("control-2", 1, GONE)
        peers._handle_data(codec.encode(wanted), process)  # type: ignore[arg-type]
        assert peers._senders[GONE].socket is not lost
        peers.close()

    def test_receives_each_message_and_ends_when_a_handler_fails(self) -> None:
        address = f"tcp://127.0.0.1:{find_free_port()}"
        peers = PeerSockets(address, MessageCodec(b"key"))
        sent = [RevisionConfirmed("control-1", "nonce", number) for number in range(9)]
        handler = Handler(len(sent))

        async def send_and_receive() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_all)
                await peers.receive(handler)  # type: ignore[arg-type]

        async def send_all() -> None:
            for message in sent:
                peers.send(address, message, NOW)
                await anyio.sleep(0)

        async def run() -> None:
            with anyio.fail_after(TIMEOUT):
                await send_and_receive()

        with pytest.raises(ExceptionGroup) as raised:
            anyio.run(run)
        peers.close()
        assert raised.group_contains(ValueError, match="all expected events")
        assert handler.events == sent


@define
class CuttingListener:
    """Listener that sends nng's greeting and then closes the connection at once."""

    greeting: bytes = b""
    cuts: int = 0

    async def learn(self, port: int) -> None:
        """Record the greeting of the listener at a port."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self.greeting = await reader.readexactly(GREETING_BYTES)
        writer.close()

    async def cut(self, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Greet one sender and close its connection."""
        writer.write(self.greeting)
        writer.close()
        self.cuts += 1


async def send_through_cuts() -> None:
    """Send to peers that close their connections over and over."""
    sockets.RECONNECT_MIN_MS = sockets.RECONNECT_MAX_MS = RECONNECT_MS
    listener = CuttingListener()
    port = find_free_port()
    peers = PeerSockets(f"tcp://127.0.0.1:{port}", MessageCodec(b"key"))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(peers.receive, Handler(0))  # type: ignore[arg-type]
        await anyio.sleep(0)
        await listener.learn(port)
        ports = [find_free_port() for _ in range(CUT_PEERS)]
        for port in ports:
            await asyncio.start_server(listener.cut, "127.0.0.1", port)
        for port in cycle(ports):
            peers.send(f"tcp://127.0.0.1:{port}", MESSAGE, NOW)
            await anyio.sleep(SEND_INTERVAL)
            if listener.cuts >= CUTS:
                break
        tasks.cancel_scope.cancel()
    peers.close()


def run_through_cuts() -> None:
    """Run `send_through_cuts` in a separate process."""
    anyio.run(send_through_cuts)


class TestLostPeers:
    # A push socket wrote to freed memory when its connection was lost during a send.
    def test_a_process_survives_the_loss_of_connections_during_sends(self) -> None:
        spawn = multiprocessing.get_context("spawn")
        sender = spawn.Process(target=run_through_cuts)
        sender.start()
        sender.join(CUT_TIMEOUT)
        sender.kill()
        assert sender.exitcode == 0


class TestMessages:
    def test_an_empty_message_is_refused_without_ending_the_receiver(self) -> None:
        port = find_free_port()
        address = f"tcp://127.0.0.1:{port}"
        peers = PeerSockets(address, MessageCodec(b"key"))
        handler = Handler(1)

        async def send_empty() -> None:
            await anyio.sleep(0)
            with pynng.Pair1(dial=address) as socket:
                await socket.asend(b"")
                await socket.asend(MessageCodec(b"key").encode(MESSAGE))

        async def run() -> None:
            with anyio.fail_after(TIMEOUT):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send_empty)
                    await peers.receive(handler)  # type: ignore[arg-type]

        with pytest.raises(ExceptionGroup) as raised:
            anyio.run(run)
        assert raised.group_contains(ValueError, match="all expected events")
        assert handler.events == [MESSAGE]
        assert peers.refused_messages == 1

    def test_a_message_that_cannot_be_sent_is_logged_and_dropped(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        peers = PeerSockets(LIVE, MessageCodec(b"key"))
        peers.send("nowhere", MESSAGE, NOW)
        (record,) = caplog.records
        assert record.getMessage() == "GW1008"
        assert peers.sent.total == 0
