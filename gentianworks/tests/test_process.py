"""Tests of unexpected exceptions in the parts of a process."""

from __future__ import annotations

import logging
import multiprocessing
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, cast

import anyio
import pytest
from anyio.abc import TaskGroup
from attrs import define, field, frozen

from gentianworks.core.cache.state import CachedPrompt, MoveFailure
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.cache import MovePrompt
from gentianworks.core.effects.callers import FinishAnswer
from gentianworks.core.effects.dispatch import SendDispatch
from gentianworks.core.effects.engines import CallEngine, FetchEngineLoad
from gentianworks.core.effects.lifecycle import SetTimer
from gentianworks.core.effects.orders import SendOrder
from gentianworks.core.events.base import Event
from gentianworks.core.events.cache import MoveFailed
from gentianworks.core.events.callers import CallerDisconnected, RequestArrived
from gentianworks.core.events.dispatch import AttemptConnectionLost, Dispatch
from gentianworks.core.events.engines import (
    CallFailure,
    EngineCallFailed,
    EngineLoadUnavailable,
)
from gentianworks.core.events.orders import OrderAnswered
from gentianworks.core.handlers import reduce
from gentianworks.core.orders.fencing import Order, OrderKind, OrderStatus
from gentianworks.core.routing.placement import PlacementKey
from gentianworks.core.state import State
from gentianworks.process import EXIT_SOFTWARE_ERROR, Process, perform
from gentianworks.tests.fixtures import NOW, REQUEST, build_state
from gentianworks.web.agents import AgentClient
from gentianworks.web.cache_exports import CacheSender
from gentianworks.web.callers import CallerApplication
from gentianworks.web.engine_load import EngineLoadClient
from gentianworks.web.engines import EngineClient
from gentianworks.web.orders import OrderClient

TIMEOUT = 10.0  # seconds
SCOPE: MutableMapping[str, Any] = {
    "path": "/services/booking/pens",
    "raw_path": b"/services/booking/pens",
    "query_string": b"",
    "method": "POST",
    "headers": [(b"gw-workspace", b"parish"), (b"gw-rank", b"drafts")],
}


@frozen
class Faulty(Event):
    """Event whose handler raises an exception."""


@frozen
class UnknownEffect(Effect):
    """Effect that no function performs."""


@frozen
class Unperformable(Event):
    """Event whose effect can't be performed."""


@reduce.register
def _(event: Faulty, state: State, now: float) -> list[Effect]:
    raise ZeroDivisionError("a fault of the handler")


@reduce.register
def _(event: Unperformable, state: State, now: float) -> list[Effect]:
    return [UnknownEffect()]


async def handle_now(process: Process) -> None:
    """Handle a faulty event directly, as socket readers do."""
    process.handle(Faulty())


async def handle_effect(process: Process) -> None:
    """Handle an event whose effect can't be performed."""
    process.handle(Unperformable())


async def handle_timer(process: Process) -> None:
    """Handle a faulty event when its timer expires."""
    perform(SetTimer(0.0, Faulty()), process)


async def handle_in_call(process: Process) -> None:
    """Handle a faulty event in a call."""

    async def run() -> None:
        process.handle(Faulty())

    process.start_call("call", run)


async def fail_task(process: Process) -> None:
    """Raise an exception in an essential task."""

    async def run() -> None:
        raise ZeroDivisionError("a fault of the task")

    process.start_task(run)


FaultSource = Callable[[Process], Awaitable[None]]
FAULT_SOURCES: tuple[FaultSource, ...] = (
    handle_now,
    handle_effect,
    handle_timer,
    handle_in_call,
    fail_task,
)


def end_by_fault() -> None:
    """Handle a faulty event; runs in a child process."""
    Process(build_state(), cast(TaskGroup, None)).handle(Faulty())


class TestFaults:
    @pytest.mark.parametrize("source", FAULT_SOURCES)
    def test_fault_ends_the_process_immediately(
        self, source: FaultSource, caplog: pytest.LogCaptureFixture
    ) -> None:
        exits: list[int] = []

        async def run() -> None:
            with anyio.fail_after(TIMEOUT):
                async with anyio.create_task_group() as tasks:
                    process = Process(build_state(), tasks, exit=exits.append)
                    await source(process)
                    while not exits:
                        await anyio.sleep(0)
                    process.handle(Faulty())

        anyio.run(run)
        assert exits == [EXIT_SOFTWARE_ERROR]
        (record,) = caplog.records
        assert record.getMessage() == "GW1006"
        assert record.levelno == logging.CRITICAL
        assert record.exc_info is not None

    def test_process_exits_with_the_code_of_a_fault(self) -> None:
        spawn = multiprocessing.get_context("spawn")
        child = spawn.Process(target=end_by_fault)
        child.start()
        child.join(TIMEOUT)
        assert child.exitcode == EXIT_SOFTWARE_ERROR


@define
class RecordingProcess(Process):
    """Process that records events instead of reducing them."""

    events: list[Event] = field(factory=list)

    def handle(self, event: Event) -> None:
        self.events.append(event)
        for exchange, outbox in self.outboxes.items():
            outbox.put(FinishAnswer(exchange))


async def fail(*arguments: object) -> None:
    """Raise an exception that no client expects."""
    raise RuntimeError("a fault of a library")


@frozen
class Call:
    """Call of a client: the effect that starts it and the event of its failure."""

    client: type
    method: str
    effect: Effect
    failure: Event


ORDER = Order(7, "chat-1", OrderKind.LOAD_MODEL, "two", NOW)
DISPATCH = Dispatch("router-1", "x1.1", "chat-1", 1, 10.0, 1, REQUEST)
PROMPT = CachedPrompt(PlacementKey("parish/c1"), "digest", 100)
CALLS = (
    Call(
        AgentClient,
        "run",
        SendDispatch("x1", "127.0.0.1:1", DISPATCH),
        AttemptConnectionLost("x1.1", was_sent=True),
    ),
    Call(
        EngineClient,
        "run",
        CallEngine("x1.1", REQUEST, 0, 10.0, call=2),
        EngineCallFailed("x1.1", CallFailure.CUT, 2),
    ),
    Call(OrderClient, "run", SendOrder(ORDER), OrderAnswered(7, OrderStatus.PENDING)),
    Call(
        CacheSender,
        "run",
        MovePrompt("t1", PROMPT, "chat-2", "127.0.0.1:2", 1.0, 1e6),
        MoveFailed("t1", MoveFailure.LOST),
    ),
    Call(
        EngineLoadClient,
        "read",
        FetchEngineLoad(),
        EngineLoadUnavailable(may_be_running=True),
    ),
)


class TestCalls:
    @pytest.mark.parametrize("call", CALLS, ids=lambda call: call.client.__name__)
    def test_fault_in_a_call_fails_only_that_call(
        self,
        call: Call,
        monkeypatch: pytest.MonkeyPatch,
        caplog: pytest.LogCaptureFixture,
    ) -> None:
        monkeypatch.setattr(call.client, call.method, fail)
        events: list[Event] = []

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                process = RecordingProcess(build_state(), tasks)
                process.adapters[call.client] = object.__new__(call.client)
                perform(call.effect, process)
            events.extend(process.events)
            assert not process.calls

        anyio.run(run)
        assert events == [call.failure]
        (record,) = caplog.records
        assert record.getMessage() == "GW1007"
        assert record.exc_info is not None

    def test_fault_in_an_answer_ends_only_that_exchange(self) -> None:
        events: list[Event] = []
        parts = [{"type": "http.request", "body": b"{}"}]

        async def receive() -> MutableMapping[str, Any]:
            if not parts:
                await anyio.sleep_forever()
            return parts.pop()

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                process = RecordingProcess(build_state(), tasks)
                application = CallerApplication(process)
                with pytest.raises(ExceptionGroup):
                    await application(SCOPE, receive, fail)
            events.extend(process.events)

        anyio.run(run)
        arrived, disconnected = events
        assert isinstance(arrived, RequestArrived)
        assert disconnected == CallerDisconnected(arrived.exchange)
