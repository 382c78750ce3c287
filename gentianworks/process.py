"""Process: the one loop that turns input into events and performs effects.

A call that fails unexpectedly ends alone, as an event. Where an event can't be reduced
or an effect can't be performed, the process ends at once, as a crash does: what it
holds may be half changed, and every other process is made for its loss.
"""

from __future__ import annotations

import asyncio
import logging
import os
import time
from collections import deque
from collections.abc import Awaitable, Callable
from functools import singledispatch
from typing import TypeVar, cast

import anyio
from anyio.abc import TaskGroup
from attrs import define, field

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent, SetTimer, StopProcess
from gentianworks.core.events.base import Event
from gentianworks.core.handlers import reduce
from gentianworks.core.request_metrics import derive_metrics
from gentianworks.core.state import State
from gentianworks.log import find_level
from gentianworks.outbox import Outbox

EXIT_FAULT = 70

T = TypeVar("T")

logger = logging.getLogger("gentianworks")


class Clock:
    """Tell the time in seconds since the epoch, never running backwards."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def read(self) -> float:
        """Return the present time in seconds."""
        return self._offset + time.monotonic()


@define
class Process:
    """Hold the state, the queue of events and the adapters of one process.

    Adapters put themselves into `services` under their type, so that the
    functions that perform effects find them; `stopped` is set once nothing is in
    flight, `served` once the last answer has left; `exit` ends the process at once.
    """

    state: State
    tasks: TaskGroup
    clock: Clock = field(factory=Clock)
    services: dict[type, object] = field(factory=dict)
    outboxes: dict[str, Outbox] = field(factory=dict)
    calls: dict[str, anyio.CancelScope] = field(factory=dict)
    stopped: anyio.Event = field(factory=anyio.Event)
    served: anyio.Event = field(factory=anyio.Event)
    exit: Callable[[int], object] = os._exit
    _queue: deque[Event] = field(factory=deque)
    _is_reducing: bool = False
    _has_failed: bool = False

    def add_service(self, service: object) -> None:
        """Make an adapter available to the functions that perform effects."""
        self.services[type(service)] = service

    def get_service(self, kind: type[T]) -> T:
        """Return the adapter of a type."""
        return cast(T, self.services[kind])

    def handle(self, event: Event) -> None:
        """Reduce an event and perform its effects, in order of arrival."""
        if self._has_failed:
            return
        self._queue.append(event)
        if self._is_reducing:
            return
        self._is_reducing = True
        try:
            while self._queue:
                self._reduce_next()
        except Exception:
            self.fail("GW1006")
        finally:
            self._is_reducing = False

    def _reduce_next(self) -> None:
        event = self._queue.popleft()
        now = self.clock.read()
        effects = reduce(event, self.state, now)
        measures = derive_metrics(event, effects, self.state.open_spans, now)
        for effect in (*effects, *measures):
            perform(effect, self)

    def fail(
        self,
        code: str,
        details: tuple[tuple[str, str], ...] = (),
        exit_code: int = EXIT_FAULT,
    ) -> None:
        """Log the present exception under its number and end the process at once."""
        logger.critical(code, exc_info=True, extra={"details": details})
        self._has_failed = True
        self._queue.clear()
        self.exit(exit_code)

    def start_task(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run what the process can't do without; where it fails, the process ends."""

        async def guard() -> None:
            try:
                await run()
            except Exception:
                self.fail("GW1006")

        self.tasks.start_soon(guard)

    def start_call(
        self,
        name: str,
        run: Callable[[], Awaitable[None]],
        failure: Event | None = None,
    ) -> None:
        """Run a call in a task of its own that `cancel_call` can end.

        `failure` tells the reducer of an end that the call itself did not report.
        """
        scope = anyio.CancelScope()
        self.calls[name] = scope

        async def guard() -> None:
            try:
                with scope:
                    await run()
            except Exception:
                self._report_failure(name, failure)
            finally:
                if self.calls.get(name) is scope:
                    del self.calls[name]

        self.tasks.start_soon(guard)

    def _report_failure(self, name: str, failure: Event | None) -> None:
        details = (("call", name),)
        logger.error("GW1007", exc_info=True, extra={"details": details})
        if failure is not None:
            self.handle(failure)

    def cancel_call(self, name: str) -> None:
        """Cancel a call that is still running."""
        scope = self.calls.get(name)
        if scope is not None:
            scope.cancel()


@singledispatch
def perform(effect: Effect, process: Process) -> None:
    """Carry out an effect without waiting."""
    raise NotImplementedError(
        f"Nothing performs {type(effect).__name__}; "
        f"register a function with perform.register in its adapter."
    )


@perform.register
def _(effect: SetTimer, process: Process) -> None:
    delay = max(0.0, effect.due_at - process.clock.read())
    loop = asyncio.get_running_loop()
    loop.call_later(delay, process.handle, effect.event)


@perform.register
def _(effect: LogEvent, process: Process) -> None:
    logger.log(find_level(effect.code), effect.code, extra={"details": effect.details})


@perform.register
def _(effect: StopProcess, process: Process) -> None:
    process.stopped.set()
