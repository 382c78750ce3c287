"""Tests of the front end for callers, with real processes and invalid requests."""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Iterator

import anyio
import httpcore
import pytest

from gentianworks.web.pools import create_pool
from standins.client import Answer, ChatTurn, send_chat
from standins.engine import EngineSettings
from standins.fleet import Fleet, FleetPlan, plan_endpoints
from standins.members import Member

HEADERS = [(b"gw-workspace", b"parish"), (b"gw-rank", b"submissions")]
LIMITS = "[limits]\nheader_timeout = 0.5\nbody_timeout = 0.5\nbody_bytes = 100000\n"
QUESTION = {"role": "user", "content": "which pens are free?"}
WAIT = 10.0  # seconds


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    engine = EngineSettings(slots=100, token_interval=0.02)
    plan = FleetPlan(
        routers=0,
        endpoints=(*plan_endpoints("chat", 2, engine), *plan_endpoints("booking", 1)),
    )
    with Fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        fleet.build(plan)
        fleet.routers.append(fleet.start_role("router", "router-1", "a", extra=LIMITS))
        wait_until(lambda: call(fleet, "GET", "/readyz").status == 200)
        yield fleet


def call(
    fleet: Fleet, method: str, path: str, body: bytes = b"", rank: bytes = b""
) -> httpcore.Response:
    headers = [*HEADERS, *([(b"gw-rank", rank)] if rank else [])]
    url = f"http://{fleet.routers[0].http_address}{path}"
    try:
        return httpcore.request(method, url, headers=headers, content=body)
    except httpcore.ConnectError:
        return httpcore.Response(599)


def wait_until(condition: object) -> None:
    limit = time.monotonic() + WAIT
    while not condition():  # type: ignore[operator]
        assert time.monotonic() < limit
        time.sleep(0.02)


def send_raw(fleet: Fleet, data: bytes) -> bytes:
    """Send bytes and return all received bytes until the router closes."""
    host, _, port = fleet.routers[0].http_address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=WAIT) as connection:
        connection.sendall(data)
        answer = b""
        while part := connection.recv(65536):
            answer += part
        return answer


def build_chat(tokens: int) -> ChatTurn:
    return ChatTurn("chat", "parish", "drafts", "chat-1", (QUESTION,), tokens)


def find_busy_engine(fleet: Fleet) -> str:
    """Wait for an engine that runs a call and return the name of its endpoint."""
    limit = time.monotonic() + WAIT
    while time.monotonic() < limit:
        for name, engine in fleet.engines.items():
            if count_running(engine):
                return name
    raise TimeoutError("No engine runs a call.")


def count_running(engine: Member) -> int:
    response = httpcore.request("GET", f"http://{engine.http_address}/load")
    return len(json.loads(response.content)["running"])


class TestPlainCalls:
    @pytest.mark.parametrize("method", ["GET", "POST", "PUT", "DELETE", "PATCH"])
    def test_forward_any_method_and_bytes(self, fleet: Fleet, method: str) -> None:
        body = bytes(range(256))
        answer = call(fleet, method, f"/services/booking/{method}?a=b", body)
        assert (answer.status, answer.content) == (200, b"ran " + body)

    def test_answers_head_without_a_body(self, fleet: Fleet) -> None:
        answer = call(fleet, "HEAD", "/services/booking/pens")
        assert (answer.status, answer.content) == (200, b"")


class TestBadInput:
    @pytest.mark.parametrize(
        ("path", "body", "status"),
        [
            ("/services/nothing/x", b"", 404),
            ("/nothing", b"", 404),
            ("/v1/chat/completions", b"{", 400),
            ("/services/booking/x", bytes(100_001), 413),
        ],
    )
    def test_gets_a_problem_document(
        self, fleet: Fleet, path: str, body: bytes, status: int
    ) -> None:
        answer = call(fleet, "POST", path, body)
        assert answer.status == status
        assert json.loads(answer.content)["run_state"] == "not-run"

    @pytest.mark.parametrize(
        "data",
        [
            b"POST /services/booking/x HTTP/1.1\r\nhost: a\r\nx-half: ",
            b"POST /services/booking/x HTTP/1.1\r\nhost: a\r\n"
            b"gw-workspace: parish\r\ncontent-length: 10\r\n\r\nhalf",
            b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n"
            b"content-length: 2\r\n\r\n12",
            b"POST /x HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 70_000,
            b"no request at all\r\n\r\n",
        ],
    )
    def test_incomplete_and_malformed_requests_are_refused(
        self, fleet: Fleet, data: bytes
    ) -> None:
        answer = send_raw(fleet, data)
        assert answer.startswith(b"HTTP/1.1 4")
        assert b"application/problem+json" in answer
        assert call(fleet, "GET", "/services/booking/y").status == 200


class TestDisconnectedCallers:
    def test_their_calls_are_cancelled_at_the_engine(self, fleet: Fleet) -> None:
        chat = build_chat(tokens=3000)
        host, _, port = fleet.routers[0].http_address.rpartition(":")
        with socket.create_connection((host, int(port))) as connection:
            head = b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n"
            lines = [b"%s: %s\r\n" % item for item in chat.encode_headers()]
            body = chat.encode_body()
            lines.append(b"content-length: %d\r\n\r\n" % len(body))
            connection.sendall(head + b"".join(lines) + body)
            assert connection.recv(100).startswith(b"HTTP/1.1 200")
            name = find_busy_engine(fleet)
        wait_until(lambda: not count_running(fleet.engines[name]))


class TestFailedEngines:
    def test_a_stream_resumes_at_another_engine_byte_for_byte(
        self, fleet: Fleet
    ) -> None:
        chat = build_chat(tokens=100)

        def kill() -> None:
            fleet.engines[find_busy_engine(fleet)].kill()

        async def kill_during_stream() -> list[Answer]:
            answers = []
            async with create_pool() as pool, anyio.create_task_group() as tasks:
                tasks.start_soon(anyio.to_thread.run_sync, kill)
                address = fleet.routers[0].http_address
                answers.append(await send_chat(pool, address, chat))
            return answers

        assert [answer.is_complete for answer in anyio.run(kill_during_stream)] == [
            True
        ]
