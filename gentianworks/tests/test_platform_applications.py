"""Tests of the platform's applications for clients and the load balancer."""

from __future__ import annotations

import json
from collections.abc import MutableMapping
from typing import Any, cast

import anyio
import pytest
from anyio.abc import TaskGroup
from attrs import define, field

from gentianworks.core.effects.gateway import CallReplica
from gentianworks.core.effects.operators import AnswerOperator
from gentianworks.core.events.base import Event
from gentianworks.core.events.gateway import (
    CallExpired,
    ReplicaAnswerEnded,
    ReplicaAnswerHead,
    ReplicaAnswerPiece,
    ReplicaAnswerStarted,
    RouteReplacementRequested,
)
from gentianworks.core.operators.reports import RoutesReport
from gentianworks.core.types import Configuration
from gentianworks.platform import applications
from gentianworks.platform.applications import (
    ClientApplication,
    ConfigurationApplication,
    ReadinessApplication,
)
from gentianworks.platform.replicas import ReplicaClient
from gentianworks.process import Process
from gentianworks.telemetry.metrics import Metrics
from gentianworks.tests.fixtures import build_state
from gentianworks.tests.gateways import EVENT_STREAM_HEAD, KEY, build_gateway

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
class PendingReplicas:
    """Replica client stub that records calls, which the test answers."""

    calls: list[CallReplica] = field(factory=list)
    cancelled: list[str] = field(factory=list)

    def call(self, effect: CallReplica, process: Process) -> None:
        self.calls.append(effect)

    def cancel(self, attempt: str, process: Process) -> None:
        self.cancelled.append(attempt)


@define
class Client:
    """Client that sends one body, records the answer and disconnects on an event."""

    received: list[MutableMapping[str, Any]] = field(factory=list)
    disconnected: anyio.Event = field(factory=anyio.Event)
    has_sent_body: bool = False
    body: bytes = b"{}"

    async def receive(self) -> MutableMapping[str, Any]:
        if not self.has_sent_body:
            self.has_sent_body = True
            return {"type": "http.request", "body": self.body, "more_body": False}
        await self.disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(self, part: MutableMapping[str, Any]) -> None:
        self.received.append(part)


def build_process(tasks: TaskGroup) -> tuple[Process, PendingReplicas]:
    """Return a router's process with a stub of its replica client."""
    process = Process(state=build_gateway(), tasks=tasks)
    process.state.incarnation = 1
    replicas = PendingReplicas()
    process.adapters[ReplicaClient] = replicas
    process.add_adapter(Metrics())
    return process, replicas


class TestClientApplication:
    @pytest.mark.anyio
    async def test_the_body_timeout_does_not_limit_the_answer(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(applications, "BODY_TIMEOUT", 0.05)
        client = Client()
        async with anyio.create_task_group() as tasks:
            process, replicas = build_process(tasks)
            serve = ClientApplication(process)
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
        assert client.received[0]["type"] == "http.response.start"
        assert b"".join(part.get("body", b"") for part in client.received) == b"piece"
        assert not client.received[-1].get("more_body", False)

    @pytest.mark.anyio
    async def test_a_stream_that_breaks_off_gets_no_problem_event(self) -> None:
        client = Client()
        async with anyio.create_task_group() as tasks:
            process, replicas = build_process(tasks)
            serve = ClientApplication(process)
            tasks.start_soon(serve, SCOPE, client.receive, cast(Any, client.send))
            await anyio.sleep(0.2)
            (call,) = replicas.calls
            process.handle(ReplicaAnswerStarted(call.attempt, EVENT_STREAM_HEAD))
            process.handle(ReplicaAnswerPiece(call.attempt, b"piece", 1, 1))
            process.handle(CallExpired(call.exchange))
            await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()
        assert b"".join(part.get("body", b"") for part in client.received) == b"piece"
        assert client.received[-1]["more_body"]

    @pytest.mark.anyio
    async def test_a_client_that_disconnects_cancels_the_call(self) -> None:
        client = Client()
        async with anyio.create_task_group() as tasks:
            process, replicas = build_process(tasks)
            serve = ClientApplication(process)
            tasks.start_soon(serve, SCOPE, client.receive, cast(Any, client.send))
            await anyio.sleep(0.05)
            client.disconnected.set()
            await anyio.sleep(0.05)
            assert replicas.cancelled == [replicas.calls[0].attempt]
            assert not process.outboxes
            tasks.cancel_scope.cancel()


class TestReadinessApplication:
    @pytest.mark.anyio
    async def test_a_router_with_a_table_is_ready_until_it_stops(self) -> None:
        async with anyio.create_task_group() as tasks:
            process, _ = build_process(tasks)
            statuses = []
            for is_leaving in (False, True):
                process.state.is_leaving = is_leaving
                client = Client()
                send = cast(Any, client.send)
                await ReadinessApplication(process)(SCOPE, client.receive, send)
                statuses.append(client.received[0]["status"])
            tasks.cancel_scope.cancel()
        assert statuses == [200, 503]


@define
class AcceptingProcess(Process):
    """Process that acknowledges each replacement of the routes."""

    accepted: list[int] = field(factory=list)  # revisions

    def handle(self, event: Event) -> None:
        assert isinstance(event, RouteReplacementRequested)
        self.accepted.append(event.document.revision)
        answer = AnswerOperator(event.exchange, RoutesReport(event.document))
        self.outboxes[event.exchange].put(answer)


class TestConfigurationApplication:
    """A name that no header carries is refused, unless it has been accepted before."""

    async def put(self, process: Process, name: str, version: int) -> tuple[int, bytes]:
        """Send a configuration with one workspace; return the status and the body."""
        document = {
            "version": version,
            "routes": [],
            "services": [],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": name, "apiKeys": ["k"]}],
        }
        client = Client(body=json.dumps(document).encode())
        scope = {**SCOPE, "method": "PUT", "path": "/config"}
        send = cast(Any, client.send)
        await ConfigurationApplication(process)(scope, client.receive, send)
        head, body = client.received
        return head["status"], body["body"]

    @pytest.mark.anyio
    async def test_a_name_with_a_space_at_an_end_is_refused(self) -> None:
        async with anyio.create_task_group() as tasks:
            process = AcceptingProcess(build_state(), tasks)
            for name in ("Cumann Staire ", " Cumann Staire"):
                status, body = await self.put(process, name, 9)
                assert status == 400
                assert b"tenants[0].name" in body
                assert b"Cumann Staire" in body
                assert b"remove the space" in body
        assert process.accepted == []

    @pytest.mark.anyio
    async def test_a_stored_document_is_acknowledged_again(self) -> None:
        async with anyio.create_task_group() as tasks:
            process = AcceptingProcess(build_state(), tasks)
            process.state.control.replicated.configuration = Configuration(revision=9)
            assert (await self.put(process, "Cumann Staire ", 9))[0] == 200
            assert (await self.put(process, "Cumann Staire ", 10))[0] == 400
        assert process.accepted == [9]
