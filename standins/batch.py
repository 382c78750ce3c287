"""Batch: a limited number of slots, assigned to requests by priority."""

from __future__ import annotations

import heapq
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
from attrs import define, field


@define(order=True)
class Waiter:
    """Request that waits for a slot; lower priority values are served first."""

    priority: int
    sequence: int
    ready: anyio.Event = field(factory=anyio.Event, order=False)


@define
class Batch:
    """Concurrency limit of an engine.

    `running` gives the output tokens of each running request.
    """

    slots: int
    running: dict[str, int] = field(factory=dict)
    waiting: list[Waiter] = field(factory=list)
    last_sequence: int = 0
    used_slots: int = 0

    @asynccontextmanager
    async def acquire_slot(
        self, request: str, priority: int, tokens: int
    ) -> AsyncIterator[None]:
        """Occupy a slot for a request, after waiting for a free one."""
        await self._acquire(priority)
        self.running[request] = tokens
        try:
            yield
        finally:
            del self.running[request]
            self._release()

    async def _acquire(self, priority: int) -> None:
        if self.used_slots < self.slots:
            self.used_slots += 1
            return
        self.last_sequence += 1
        waiter = Waiter(priority, self.last_sequence)
        heapq.heappush(self.waiting, waiter)
        try:
            await waiter.ready.wait()
        except BaseException:
            self._cancel_wait(waiter)
            raise

    def _cancel_wait(self, waiter: Waiter) -> None:
        if waiter.ready.is_set():
            self._release()
            return
        self.waiting.remove(waiter)
        heapq.heapify(self.waiting)

    def _release(self) -> None:
        if self.waiting:
            heapq.heappop(self.waiting).ready.set()
        else:
            self.used_slots -= 1
