"""Tests of the interface for clients of the platform."""

from __future__ import annotations

from collections.abc import MutableMapping
from typing import Any, cast

import anyio
import pytest
from anyio.abc import TaskGroup
from attrs import define, field

from gentianworks.core.effects.gateway import CallReplica
from gentianworks.core.events.gateway import (
    ReplicaAnswerEnded,
    ReplicaAnswerHead,
    ReplicaAnswerPiece,
    ReplicaAnswerStarted,
)
from gentianworks.metrics import Metrics
from gentianworks.platform import front
from gentianworks.platform.front import FrontApplication, ReadyApplication
from gentianworks.platform.replicas import ReplicaClient
from gentianworks.process import Process
from gentianworks.tests.gateways import KEY, build_gateway

SCOPE: dict[str, Any] = {
    "type": "http",
    "method": "POST",
    "path": "/chat/1",
    "raw_path": b"/chat/1",
    "query_string": b"",
    "headers": [
        (b"host", b"a.example"),
        (b"authorization", f"Bearer {KEY}".encode()),
        (b"request-deadline", b"5000"),
    ],
}


@define
class HeldReplicas:
    """Stand for replicas that answer when the test lets them."""

    calls: list[CallReplica] = field(factory=list)
    dropped: list[str] = field(factory=list)

    def call(self, effect: CallReplica, process: Process) -> None:
        self.calls.append(effect)

    def drop(self, attempt: str, process: Process) -> None:
        self.dropped.append(attempt)


@define
class Client:
    """Send one body and gather the answer; `left` tells the router of its end."""

    sent: list[MutableMapping[str, Any]] = field(factory=list)
    left: anyio.Event = field(factory=anyio.Event)
    has_body: bool = False

    async def receive(self) -> MutableMapping[str, Any]:
        if not self.has_body:
            self.has_body = True
            return {"type": "http.request", "body": b"{}", "more_body": False}
        await self.left.wait()
        return {"type": "http.disconnect"}

    async def send(self, part: MutableMapping[str, Any]) -> None:
        self.sent.append(part)


def build_process(tasks: TaskGroup) -> tuple[Process, HeldReplicas]:
    """Return a router's process with held replicas."""
    process = Process(state=build_gateway(), tasks=tasks)
    process.state.incarnation = 1
    replicas = HeldReplicas()
    process.adapters[ReplicaClient] = replicas
    process.add_adapter(Metrics())
    return process, replicas


class TestAnswers:
    @pytest.mark.anyio
    async def test_a_long_answer_outlasts_the_time_for_its_body(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(front, "BODY_TIMEOUT", 0.05)
        client = Client()
        async with anyio.create_task_group() as tasks:
            process, replicas = build_process(tasks)
            serve = FrontApplication(process)
            tasks.start_soon(serve, SCOPE, client.receive, cast(Any, client.send))
            await anyio.sleep(0.2)
            (call,) = replicas.calls
            process.handle(
                ReplicaAnswerStarted(call.attempt, ReplicaAnswerHead(200, (), True))
            )
            process.handle(ReplicaAnswerPiece(call.attempt, b"piece", 1, 1))
            process.handle(ReplicaAnswerEnded(call.attempt))
            await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()
        assert client.sent[0]["type"] == "http.response.start"
        assert b"".join(part.get("body", b"") for part in client.sent) == b"piece"
        assert not client.sent[-1].get("more_body", False)

    @pytest.mark.anyio
    async def test_a_client_that_leaves_stops_the_replica(self) -> None:
        client = Client()
        async with anyio.create_task_group() as tasks:
            process, replicas = build_process(tasks)
            serve = FrontApplication(process)
            tasks.start_soon(serve, SCOPE, client.receive, cast(Any, client.send))
            await anyio.sleep(0.05)
            client.left.set()
            await anyio.sleep(0.05)
            assert replicas.dropped == [replicas.calls[0].attempt]
            assert not process.outboxes
            tasks.cancel_scope.cancel()


class TestReadiness:
    @pytest.mark.anyio
    async def test_a_router_is_ready_with_a_table_and_until_it_stops(self) -> None:
        async with anyio.create_task_group() as tasks:
            process, _ = build_process(tasks)
            statuses = []
            for is_leaving in (False, True):
                process.state.is_leaving = is_leaving
                client = Client()
                send = cast(Any, client.send)
                await ReadyApplication(process)(SCOPE, client.receive, send)
                statuses.append(client.sent[0]["status"])
            tasks.cancel_scope.cancel()
        assert statuses == [200, 503]
