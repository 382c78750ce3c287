"""Sockets: one-way messages between processes over pynng.

They use pair sockets, because nng's push sockets keep a connection that is lost during
a send and write to its freed memory.
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
from gentianworks.process import Process, contain_failure, perform
from gentianworks.telemetry.labels import OTHER, PeerTraffic

SEND_BUFFER_MESSAGES = 256
RECEIVE_BUFFER_MESSAGES = 1024
RECEIVE_BATCH_MESSAGES = 64
SENDER_IDLE_TIMEOUT = 60.0  # seconds
# Seconds that a replaced socket stays open to deliver the messages in its buffer.
REPLACED_LINGER = 0.5
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000
# Seconds after a dial before the next; several times the duration of a connect.
MIN_REDIAL_INTERVAL = 0.05
THREAD_COUNTS = {
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
    """Sockets that receive messages on one address and send them to any other.

    A connection to a peer is replaced after `lifetime` seconds. This bounds the delay
    by a connection that has stopped delivering without a reset.
    """

    def __init__(
        self, address: str, codec: MessageCodec, lifetime: float = float("inf")
    ) -> None:
        _limit_threads()
        self._address = address
        self._codec = codec
        self._lifetime = lifetime
        self._senders: dict[str, _Sender] = {}
        self._replaced: deque[_Sender] = deque()
        self.sent = PeerTraffic()
        self.received = PeerTraffic()
        self.refused_messages = 0

    async def receive(self, process: Process) -> None:
        """Pass each received message to the process as an event, until cancelled."""
        with _open_receiver() as socket:
            socket.listen(self._address)
            loop = asyncio.get_running_loop()
            failed: asyncio.Future[None] = loop.create_future()

            readiness = select.poll()
            readiness.register(socket.recv_fd, select.POLLIN)

            def receive_ready() -> None:
                try:
                    self._receive_batch(socket, readiness, process)
                except Exception as error:
                    loop.remove_reader(socket.recv_fd)
                    failed.set_exception(error)

            loop.add_reader(socket.recv_fd, receive_ready)
            try:
                await failed
            finally:
                loop.remove_reader(socket.recv_fd)

    def _receive_batch(
        self, socket: pynng.Pair1, readiness: select.poll, process: Process
    ) -> None:
        for _ in range(RECEIVE_BATCH_MESSAGES):
            if not readiness.poll(0):
                return
            try:
                data = socket.recv_msg(block=False).bytes
            except pynng.TryAgain:
                return
            self._handle_data(data, process)

    def _handle_data(self, data: bytes, process: Process) -> None:
        message = self._codec.decode_or_error(data)
        if isinstance(message, MessageError):
            self.received.add(OTHER, len(data))
            self._log_refused(message)
            return
        self.received.add(message.sender, len(data))
        address = getattr(message, "peer_address", "")
        if address in self._senders:
            self._redial(address, process.clock.read())
        process.handle(message)

    def _redial(self, address: str, now: float) -> None:
        """Reconnect to a peer that sends again, without waiting for nng's back-off."""
        sender = self._senders[address]
        if not sender.socket.pipes and now - sender.opened_at > MIN_REDIAL_INTERVAL:
            self._replaced.append(sender)
            self._senders[address] = _Sender(_dial(address), now, now)

    def _log_refused(self, error: MessageError) -> None:
        self.refused_messages += 1
        logger.warning("GW1004", extra={"details": (("detail", error.detail),)})

    def send(self, address: str, message: Message, now: float) -> None:
        """Send a message without blocking; a disconnected peer may not receive it."""
        data = self._codec.encode(message)
        try:
            self._get_sender(address, now).socket.send(data, block=False)
        except pynng.TryAgain:
            return
        except pynng.NNGException as error:
            details = (("address", address), ("error", str(error)))
            logger.warning("GW1008", extra={"details": details})
            return
        self.sent.add(address, len(data))

    def list_addresses(self) -> list[str]:
        """Return the addresses with an open sending socket, sorted."""
        return sorted(self._senders)

    def _get_sender(self, address: str, now: float) -> _Sender:
        sender = self._senders.get(address)
        if sender is not None and now - sender.opened_at > self._lifetime:
            self._replaced.append(self._senders.pop(address))
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
        while self._replaced and now - self._replaced[0].used_at > REPLACED_LINGER:
            self._replaced.popleft().socket.close()

    def close(self) -> None:
        """Close all sending sockets."""
        for sender in (*self._senders.values(), *self._replaced):
            sender.socket.close()


def _open_receiver() -> pynng.Pair1:
    return pynng.Pair1(polyamorous=True, recv_buffer_size=RECEIVE_BUFFER_MESSAGES)


def _limit_threads() -> None:
    # By default nng starts more than two threads per core; each wake-up would run on
    # another thread with cold caches. The limits apply only before the first socket.
    for kind, count in THREAD_COUNTS.items():
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


@contain_failure.register
def _(effect: SendMessage, process: Process, error: Exception) -> None:
    # No sender relies on the delivery of a message.
    process.log_failed_effect(effect, type(effect.message).__name__)
