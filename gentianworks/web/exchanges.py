"""Exchanges: pass requests of callers to the reducer and write the answers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
from attrs import frozen

from gentianworks.core.effects.base import Effect
from gentianworks.core.events.base import Event
from gentianworks.core.types import ExchangeId
from gentianworks.outbox import Outbox
from gentianworks.process import Process
from gentianworks.web.answers import (
    AnswerWriter,
    CallerDisconnectedError,
    merge_queued_parts,
)
from gentianworks.web.server import Receive, wait_for_disconnect

PartWriter = Callable[[Effect, AnswerWriter], Awaitable[bool]]


@frozen
class CallerExchange:
    """Request of a caller, with the events for its arrival and for a disconnect."""

    id: ExchangeId
    arrival_event: Event
    departure_event: Event

    async def run(
        self,
        writer: AnswerWriter,
        write_part: PartWriter,
        process: Process,
        receive: Receive,
    ) -> None:
        """Serve the exchange until its answer ends or its caller disconnects."""
        with process.open_outbox(self.id) as outbox:
            try:
                async with anyio.create_task_group() as tasks:
                    scope = tasks.cancel_scope
                    tasks.start_soon(self._watch, process, receive, scope)
                    process.handle(self.arrival_event)
                    await self._write(outbox, writer, write_part, process)
                    scope.cancel()
            except Exception:
                process.handle(self.departure_event)
                raise

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
                part = merge_queued_parts(await outbox.get(), outbox)
                is_open = await write_part(part, writer)
        except CallerDisconnectedError:
            process.handle(self.departure_event)

    async def _watch(
        self, process: Process, receive: Receive, scope: anyio.CancelScope
    ) -> None:
        await wait_for_disconnect(receive)
        process.handle(self.departure_event)
        scope.cancel()
