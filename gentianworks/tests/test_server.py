"""Tests of the shutdown of an HTTP server and of exceptions in its application."""

from __future__ import annotations

import anyio
import httpcore
import pytest
import uvicorn
from attrs import define

from gentianworks.web import server as server_module
from gentianworks.web.server import Receive, Scope, Send, create_server, send_response
from standins.ports import find_free_port

STOP_TIMEOUT = 20.0  # seconds
POLL_INTERVAL = 0.01  # seconds


@define(eq=False)
class LateConnection:
    """Connection that is accepted after the others were closed."""

    server: uvicorn.Server
    is_shut_down: bool = False

    def shutdown(self) -> None:
        """Close like a connection without a request."""
        self.is_shut_down = True
        self.server.server_state.connections.discard(self)


@define
class SlowApplication:
    """ASGI application that answers after `released` is set."""

    released: anyio.Event
    arrived: anyio.Event

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        self.arrived.set()
        await self.released.wait()
        await send_response(send, 200, [], b"whole")


async def stop_during_request(address: str) -> tuple[LateConnection, bytes]:
    """Stop a server with a request in flight; return a late connection and the answer.

    The request is released once the late connection has been closed.
    """
    application = SlowApplication(anyio.Event(), anyio.Event())
    server = create_server(application, address)
    late = LateConnection(server)
    answers: list[bytes] = []

    async def send_request() -> None:
        async with httpcore.AsyncConnectionPool(retries=10) as pool:
            response = await pool.request("GET", f"http://{address}/")
            answers.append(response.content)

    with anyio.fail_after(STOP_TIMEOUT):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve)
            tasks.start_soon(send_request)
            await application.arrived.wait()
            server.stop()
            while server.servers[0].is_serving():
                await anyio.sleep(POLL_INTERVAL)
            server.server_state.connections.add(late)  # type: ignore[arg-type]
            while not late.is_shut_down:
                await anyio.sleep(POLL_INTERVAL)
            application.released.set()
    return late, answers[0]


class TestShutdown:
    def test_closes_late_connections_and_finishes_requests(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(server_module, "LATE_REQUEST_TIMEOUT", 0.05)
        address = f"127.0.0.1:{find_free_port()}"
        late, answer = anyio.run(stop_during_request, address)
        assert late.is_shut_down
        assert answer == b"whole"


async def answer_or_raise(scope: Scope, receive: Receive, send: Send) -> None:
    """Answer each request, except for /fault, which raises an exception."""
    if scope["path"] == "/fault":
        raise RuntimeError("exception in the application")
    await send_response(send, 200, [], b"whole")


async def request_fault_and_root(address: str) -> list[int]:
    """Return the statuses of a request that raises and of the next request."""
    server = create_server(answer_or_raise, address)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        async with httpcore.AsyncConnectionPool(retries=10) as pool:
            answers = [
                await pool.request("GET", f"http://{address}{path}")
                for path in ("/fault", "/")
            ]
        server.stop()
    return [answer.status for answer in answers]


class TestExceptions:
    def test_an_exception_ends_one_answer_and_is_logged(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        address = f"127.0.0.1:{find_free_port()}"
        assert anyio.run(request_fault_and_root, address) == [500, 200]
        (record,) = (item for item in caplog.records if item.msg == "GW1007")
        assert record.exc_info is not None
