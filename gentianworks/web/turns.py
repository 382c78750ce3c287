"""Turns: share the turns of the event loop between connections with much to parse."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from attrs import define, field


@define
class TurnQueue:
    """Queue of work of which one item runs in each turn of the event loop.

    However many connections have received more than they can parse in one turn, the
    others wait for the work of one.
    """

    _waiting: deque[Callable[[], None]] = field(factory=deque)

    def add(self, run: Callable[[], None]) -> None:
        """Run a function in a later turn, after those that wait."""
        self._waiting.append(run)
        if len(self._waiting) == 1:
            self._schedule()

    def _schedule(self) -> None:
        asyncio.get_running_loop().call_soon(self._run_next)

    def _run_next(self) -> None:
        run = self._waiting[0]
        try:
            run()
        finally:
            self._waiting.popleft()
            if self._waiting:
                self._schedule()
