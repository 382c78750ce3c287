"""Sockets: one-way messages between processes over pynng.

Pair sockets carry them, for nng's push sockets keep a connection that is lost while
they send on it and write to its freed memory.
"""

from __future__ import annotations

import asyncio
import logging
import select
from collections import deque

import pynng
from attrs import define

from gentianworks.codecs.messages import MessageCodec, MessageError
from gentianworks.core.effects.lifecycle import SendMessage
from gentianworks.core.events.base import Message
from gentianworks.labels import OTHER, PeerTraffic
from gentianworks.process import Process, perform

SEND_BUFFER_MESSAGES = 256
RECEIVE_BUFFER_MESSAGES = 1024
RECEIVE_BATCH_MESSAGES = 64
SENDER_IDLE_TIMEOUT = 60.0  # seconds
RETIRED_LINGER = 0.5  # seconds; lets what was sent on a replaced connection leave
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000
REDIAL_AFTER = 0.05  # seconds; some times as long as a connection takes to be made
THREADS_OF_KIND = {
    pynng.lib.NNG_INIT_NUM_TASK_THREADS: 2,
    pynng.lib.NNG_INIT_NUM_EXPIRE_THREADS: 1,
    pynng.lib.NNG_INIT_NUM_POLLER_THREADS: 1,
    pynng.lib.NNG_INIT_NUM_RESOLVER_THREADS: 1,
}

logger = logging.getLogger("gentianworks")


@define
class _Sender:
    socket: pynng.Pair1
    opened_at: float
    used_at: float


class PeerSockets:
    """Receive messages on one address and send them to any other.

    A connection to a peer is replaced after `lifetime` seconds, so that one which has
    fallen silent without a reset holds nothing up for longer.
    """

    def __init__(
        self, address: str, codec: MessageCodec, lifetime: float = float("inf")
    ) -> None:
        _limit_threads()
        self._address = address
        self._codec = codec
        self._lifetime = lifetime
        self._senders: dict[str, _Sender] = {}
        self._retired: deque[_Sender] = deque()
        self.sent = PeerTraffic()
        self.received = PeerTraffic()
        self.refused_messages = 0

    async def receive(self, process: Process) -> None:
        """Turn each message that arrives into an event, until cancelled."""
        with _open_receiver() as socket:
            socket.listen(self._address)
            loop = asyncio.get_running_loop()
            failed: asyncio.Future[None] = loop.create_future()

            readiness = select.poll()
            readiness.register(socket.recv_fd, select.POLLIN)

            def take() -> None:
                try:
                    self._take_waiting(socket, readiness, process)
                except Exception as error:
                    loop.remove_reader(socket.recv_fd)
                    failed.set_exception(error)

            loop.add_reader(socket.recv_fd, take)
            try:
                await failed
            finally:
                loop.remove_reader(socket.recv_fd)

    def _take_waiting(
        self, socket: pynng.Pair1, readiness: select.poll, process: Process
    ) -> None:
        for _ in range(RECEIVE_BATCH_MESSAGES):
            if not readiness.poll(0):
                return
            try:
                data = socket.recv_msg(block=False).bytes
            except pynng.TryAgain:
                return
            self._take(data, process)

    def _take(self, data: bytes, process: Process) -> None:
        message = self._codec.read(data)
        if isinstance(message, MessageError):
            self.received.add(OTHER, len(data))
            self._refuse(message)
            return
        self.received.add(message.sender, len(data))
        address = getattr(message, "peer_address", "")
        if address in self._senders:
            self._redial(address, process.clock.read())
        process.handle(message)

    def _redial(self, address: str, now: float) -> None:
        """Connect at once to a peer that speaks again, instead of after a pause."""
        sender = self._senders[address]
        if not sender.socket.pipes and now - sender.opened_at > REDIAL_AFTER:
            self._retired.append(sender)
            self._senders[address] = _Sender(_dial(address), now, now)

    def _refuse(self, error: MessageError) -> None:
        self.refused_messages += 1
        logger.warning("GW1004", extra={"details": (("detail", error.detail),)})

    def send(self, address: str, message: Message, now: float) -> None:
        """Send a message without waiting; a peer that is away loses it."""
        data = self._codec.encode(message)
        try:
            self._find_sender(address, now).socket.send(data, block=False)
        except pynng.TryAgain:
            return
        except pynng.NNGException as error:
            details = (("address", address), ("error", str(error)))
            logger.warning("GW1008", extra={"details": details})
            return
        self.sent.add(address, len(data))

    def list_addresses(self) -> list[str]:
        """Return the addresses that there is a socket to, in order of their names."""
        return sorted(self._senders)

    def _find_sender(self, address: str, now: float) -> _Sender:
        sender = self._senders.get(address)
        if sender is not None and now - sender.opened_at > self._lifetime:
            self._retired.append(self._senders.pop(address))
            sender = None
        if sender is None:
            self._close_idle(now)
            sender = self._senders[address] = _Sender(_dial(address), now, now)
        sender.used_at = now
        return sender

    def _close_idle(self, now: float) -> None:
        for address, sender in list(self._senders.items()):
            if now - sender.used_at > SENDER_IDLE_TIMEOUT:
                sender.socket.close()
                del self._senders[address]
        while self._retired and now - self._retired[0].used_at > RETIRED_LINGER:
            self._retired.popleft().socket.close()

    def close(self) -> None:
        """Close every socket that sends."""
        for sender in (*self._senders.values(), *self._retired):
            sender.socket.close()


def _open_receiver() -> pynng.Pair1:
    return pynng.Pair1(polyamorous=True, recv_buffer_size=RECEIVE_BUFFER_MESSAGES)


def _limit_threads() -> None:
    # The library starts two threads for each core and more unless told otherwise
    # before its first socket; each wake-up would find another one of them cold.
    for kind, count in THREADS_OF_KIND.items():
        pynng.lib.nng_init_set_parameter(kind, count)


def _dial(address: str) -> pynng.Pair1:
    socket = pynng.Pair1(
        send_buffer_size=SEND_BUFFER_MESSAGES,
        reconnect_time_min=RECONNECT_MIN_MS,
        reconnect_time_max=RECONNECT_MAX_MS,
    )
    socket.dial(address, block=False)
    return socket


@perform.register
def _(effect: SendMessage, process: Process) -> None:
    process.get_adapter(PeerSockets).send(
        effect.address, effect.message, process.clock.read()
    )
