"""Outbox: the queue of response parts of one connection."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import Any, TypeVar

import anyio

from gentianworks.core.effects.base import Effect

MAX_QUEUED_PARTS = 32
MAX_QUEUED_BYTES = 512 * 1024
MAX_COALESCED_BYTES = 64 * 1024

P = TypeVar("P", bound=Effect)


class Outbox:
    """Queue of response parts with backpressure.

    `put` never waits; a task that reads from upstream awaits `wait_for_room` first.
    """

    def __init__(self) -> None:
        self._parts: deque[Effect] = deque()
        self._queued_bytes = 0
        self._changed: anyio.Event | None = None

    def put(self, part: Effect) -> None:
        """Append a part without waiting."""
        self._parts.append(part)
        self._queued_bytes += _count_bytes(part)
        self._notify()

    def count_queued(self) -> int:
        """Return the number of queued parts."""
        return len(self._parts)

    def is_full(self) -> bool:
        """Return whether a reader from upstream must wait."""
        return (
            len(self._parts) >= MAX_QUEUED_PARTS
            or self._queued_bytes >= MAX_QUEUED_BYTES
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
        self._queued_bytes -= _count_bytes(part)
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
