"""Outbox: the queue of response parts of one connection, and the memory of all."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import Any, TypeVar

import anyio
from attrs import define

from gentianworks.core.effects.base import Effect

MAX_QUEUED_PARTS = 32
MAX_QUEUED_BYTES = 512 * 1024
MIN_QUEUED_BYTES = 16 * 1024  # that any outbox may queue, also when memory is short
MAX_COALESCED_BYTES = 64 * 1024
DEFAULT_MEMORY_BYTES = 64 * 1024 * 1024  # of all outboxes of a process

P = TypeVar("P", bound=Effect)


@define
class OutboxMemory:
    """Memory that the outboxes of a process share, so that their sum is bounded.

    An outbox may queue an equal share of it, and at least MIN_QUEUED_BYTES.
    """

    limit_bytes: int = DEFAULT_MEMORY_BYTES
    queued_bytes: int = 0
    open_outboxes: int = 0

    def is_exceeded_by(self, queued_bytes: int) -> bool:
        """Return whether an outbox with so many bytes may queue no more."""
        if queued_bytes < MIN_QUEUED_BYTES:
            return False
        share = self.limit_bytes // max(1, self.open_outboxes)
        return queued_bytes >= share or self.queued_bytes >= self.limit_bytes


class Outbox:
    """Queue of response parts with backpressure.

    `put` never waits; a task that reads from upstream awaits `wait_for_room` first.
    `close` returns the memory of the parts that are left.
    """

    def __init__(self, memory: OutboxMemory | None = None) -> None:
        self._parts: deque[Effect] = deque()
        self._queued_bytes = 0
        self._changed: anyio.Event | None = None
        self._memory = memory or OutboxMemory()
        self._memory.open_outboxes += 1

    def close(self) -> None:
        """Drop the queued parts; nothing may be put into the outbox any more.

        Wakes the tasks that wait for room, which would keep their request in memory.
        """
        self._parts.clear()
        self._count(-self._queued_bytes)
        self._memory.open_outboxes -= 1
        self._notify()

    def put(self, part: Effect) -> None:
        """Append a part without waiting."""
        self._parts.append(part)
        self._count(_count_bytes(part))
        self._notify()

    def discard_queued(self, kind: type[Effect]) -> None:
        """Drop the queued parts of a type."""
        kept = [part for part in self._parts if not isinstance(part, kind)]
        self._parts = deque(kept)
        self._count(sum(map(_count_bytes, kept)) - self._queued_bytes)
        self._notify()

    def _count(self, size: int) -> None:
        self._queued_bytes += size
        self._memory.queued_bytes += size

    def count_queued(self) -> int:
        """Return the number of queued parts."""
        return len(self._parts)

    def is_full(self) -> bool:
        """Return whether a reader from upstream must wait."""
        return (
            len(self._parts) >= MAX_QUEUED_PARTS
            or self._queued_bytes >= MAX_QUEUED_BYTES
            or self._memory.is_exceeded_by(self._queued_bytes)
        )

    async def get(self) -> Effect:
        """Remove and return the next part, waiting until there is one."""
        while not self._parts:
            await self._wait()
        return self._pop()

    def get_queued(self, kind: type[P]) -> Iterator[P]:
        """Remove and yield queued parts, up to the first of another type."""
        while self._parts and isinstance(self._parts[0], kind):
            yield self._pop()

    async def wait_for_room(self) -> None:
        """Wait until few parts and bytes are queued."""
        while self.is_full():
            await self._wait()

    def _pop(self) -> Any:
        part = self._parts.popleft()
        self._count(-_count_bytes(part))
        self._notify()
        return part

    async def _wait(self) -> None:
        if self._changed is None:
            self._changed = anyio.Event()
        await self._changed.wait()

    def _notify(self) -> None:
        if self._changed is not None:
            self._changed.set()
            self._changed = None


def _count_bytes(part: Effect) -> int:
    return len(getattr(part, "data", b""))
