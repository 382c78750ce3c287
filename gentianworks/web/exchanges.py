"""Exchanges: brings a caller's request to the reducer and writes its answer."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
from attrs import frozen

from gentianworks.core.effects.base import Effect
from gentianworks.core.events.base import Event
from gentianworks.core.types import ExchangeId
from gentianworks.outbox import Outbox
from gentianworks.process import Process
from gentianworks.web.answers import AnswerWriter, CallerGoneError, join_waiting
from gentianworks.web.server import Receive, wait_for_disconnect

PartWriter = Callable[[Effect, AnswerWriter], Awaitable[bool]]


@frozen
class CallerExchange:
    """Hold the events that begin an exchange and tell that its caller has left."""

    id: ExchangeId
    arrival: Event
    departure: Event

    async def run(
        self,
        writer: AnswerWriter,
        write_part: PartWriter,
        process: Process,
        receive: Receive,
    ) -> None:
        """Serve the exchange until its answer has ended or its caller has left."""
        outbox = process.outboxes[self.id] = Outbox()
        try:
            async with anyio.create_task_group() as tasks:
                scope = tasks.cancel_scope
                tasks.start_soon(self._watch, process, receive, scope)
                process.handle(self.arrival)
                await self._write(outbox, writer, write_part, process)
                scope.cancel()
        except Exception:
            process.handle(self.departure)
            raise
        finally:
            del process.outboxes[self.id]

    async def _write(
        self,
        outbox: Outbox,
        writer: AnswerWriter,
        write_part: PartWriter,
        process: Process,
    ) -> None:
        is_open = True
        try:
            while is_open:
                part = join_waiting(await outbox.get(), outbox)
                is_open = await write_part(part, writer)
        except CallerGoneError:
            process.handle(self.departure)

    async def _watch(
        self, process: Process, receive: Receive, scope: anyio.CancelScope
    ) -> None:
        await wait_for_disconnect(receive)
        process.handle(self.departure)
        scope.cancel()
