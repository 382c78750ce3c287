"""Process: the event loop that reduces events and performs their effects.

An unexpected exception in a call ends only that call, and is reported as an event. An
effect that serves one request, or that may be lost, fails alone (`contain_failure`). If
reducing an event or performing any other effect fails, the process exits immediately,
as in a crash: its state may be partly updated, and all other processes tolerate its
loss.
"""

from __future__ import annotations

import asyncio
import logging
import os
import time
from collections import deque
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
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
from gentianworks.outbox import Outbox, OutboxMemory
from gentianworks.telemetry.log import get_level

EXIT_SOFTWARE_ERROR = 70  # EX_SOFTWARE of sysexits.h

T = TypeVar("T")

logger = logging.getLogger("gentianworks")


class Clock:
    """Monotonic clock that counts seconds since the epoch."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def read(self) -> float:
        """Return the current time in seconds since the epoch."""
        return self._offset + time.monotonic()


@define
class Process:
    """State, event queue and adapters of one process.

    Functions that perform effects look up their adapter in `adapters` by its type.
    """

    state: State
    tasks: TaskGroup
    clock: Clock = field(factory=Clock)
    adapters: dict[type, object] = field(factory=dict)
    outboxes: dict[str, Outbox] = field(factory=dict)
    outbox_memory: OutboxMemory = field(factory=OutboxMemory)
    calls: dict[str, anyio.CancelScope] = field(factory=dict)
    # Set once no request is in flight.
    stopped: anyio.Event = field(factory=anyio.Event)
    # Set once the HTTP server has sent its last response.
    served: anyio.Event = field(factory=anyio.Event)
    # Ends the process immediately, without cleanup.
    exit: Callable[[int], object] = os._exit
    _queue: deque[Event] = field(factory=deque)
    _is_reducing: bool = False
    _has_failed: bool = False

    def add_adapter(self, adapter: object) -> None:
        """Register an adapter for the functions that perform effects."""
        self.adapters[type(adapter)] = adapter

    def get_adapter(self, kind: type[T]) -> T:
        """Return the adapter of a type; raises KeyError if there is none."""
        return cast(T, self.adapters[kind])

    @contextmanager
    def open_outbox(self, name: str) -> Iterator[Outbox]:
        """Yield the outbox of an exchange or attempt, which is removed at the end."""
        outbox = self.outboxes[name] = Outbox(self.outbox_memory)
        try:
            yield outbox
        finally:
            del self.outboxes[name]
            outbox.close()

    def handle(self, event: Event) -> None:
        """Reduce an event and perform its effects.

        Events that effects raise meanwhile are queued and handled in order of arrival.
        """
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
        metric_effects = derive_metrics(event, effects, self.state.open_spans, now)
        for effect in (*effects, *metric_effects):
            self._perform(effect)

    def _perform(self, effect: Effect) -> None:
        try:
            perform(effect, self)
        except Exception as error:
            contain_failure(effect, self, error)

    def log_failed_effect(self, effect: Effect, subject: str = "") -> None:
        """Log the current exception of an effect and what the effect concerned."""
        details = (("effect", type(effect).__name__), ("subject", subject))
        logger.error("GW1011", exc_info=True, extra={"details": details})

    def fail(
        self,
        code: str,
        details: tuple[tuple[str, str], ...] = (),
        exit_code: int = EXIT_SOFTWARE_ERROR,
    ) -> None:
        """Log the current exception under an event code and exit immediately."""
        logger.critical(code, exc_info=True, extra={"details": details})
        self._has_failed = True
        self._queue.clear()
        self.exit(exit_code)

    def start_task(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run an essential task in the background; the process exits if it fails."""

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
        """Run a call in a background task that `cancel_call` can cancel.

        `failure` is the event to reduce if the call ends with an exception.
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
        """Cancel a call if it is still running."""
        scope = self.calls.get(name)
        if scope is not None:
            scope.cancel()


@singledispatch
def perform(effect: Effect, process: Process) -> None:
    """Perform an effect without blocking."""
    raise NotImplementedError(
        f"no function performs {type(effect).__name__}; "
        f"register a function with perform.register in its adapter."
    )


@singledispatch
def contain_failure(effect: Effect, process: Process, error: Exception) -> None:
    """Limit the failure of an effect to what it concerns, or raise the error.

    An error that is raised ends the process. Functions are registered for effects that
    send what callers, operators or replicas have chosen.
    """
    raise error


@contain_failure.register
def _(effect: LogEvent, process: Process, error: Exception) -> None:
    process.log_failed_effect(effect, effect.code)


@perform.register
def _(effect: SetTimer, process: Process) -> None:
    delay = max(0.0, effect.due_at - process.clock.read())
    loop = asyncio.get_running_loop()
    loop.call_later(delay, process.handle, effect.event)


@perform.register
def _(effect: LogEvent, process: Process) -> None:
    logger.log(get_level(effect.code), effect.code, extra={"details": effect.details})


@perform.register
def _(effect: StopProcess, process: Process) -> None:
    process.stopped.set()
