"""Tests of the limits on callers of a router, with real processes."""

from __future__ import annotations

import json
import socket
from collections.abc import Iterator
from contextlib import ExitStack

import httpcore
import psutil
import pytest

from standins.fleet import Fleet, FleetPlan, plan_endpoints, wait_until

MEBIBYTE = 1024 * 1024
HEADERS = [(b"gw-workspace", b"parish"), (b"gw-rank", b"drafts")]
CONNECTIONS = 16
LIMITS = (
    f"[limits]\nwrite_timeout = 2\nconnections = {CONNECTIONS}\n"
    "body_bytes = 100000\nbuffered_bytes = 150000\n"
)
STALLED_CALLERS = 8
ANSWER_BYTES = 64 * MEBIBYTE
MAX_GROWTH = 96 * MEBIBYTE
BODY_BYTES = 90_000
IDLE = b'gentianworks_load{kind="exchanges"} 0'
BUSY = b'gentianworks_load{kind="exchanges"} 8'
OVERLOADED = 503  # HTTP status
PROBLEM = b"application/problem+json"


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    plan = FleetPlan(routers=0, endpoints=plan_endpoints("booking", 2, capacity=16))
    with Fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        fleet.build(plan)
        fleet.routers.append(fleet.start_role("router", "router-1", "a", extra=LIMITS))
        wait_until(lambda: call(fleet) == 200)
        yield fleet


def call(fleet: Fleet, body: bytes = b"") -> int:
    """Return the status of a repeatable call, or 0 for a network error."""
    try:
        return request(fleet, body).status
    except httpcore.NetworkError:
        return 0


def request(fleet: Fleet, body: bytes = b"") -> httpcore.Response:
    """Return the response to a repeatable call."""
    url = f"http://{fleet.routers[0].http_address}/services/booking/shows"
    return httpcore.request("GET", url, headers=HEADERS, content=body)


def connect(fleet: Fleet, data: bytes) -> socket.socket:
    """Return a connection that has sent bytes and reads nothing."""
    host, _, port = fleet.routers[0].http_address.rpartition(":")
    connection = socket.create_connection((host, int(port)))
    connection.sendall(data)
    return connection


def build_head(path: str, length: int = 0) -> bytes:
    """Return the head of a repeatable call."""
    lines = b"".join(b"%s: %s\r\n" % item for item in HEADERS)
    first = f"GET /services/booking/{path} HTTP/1.1\r\nhost: a\r\n".encode()
    return first + lines + b"content-length: %d\r\n\r\n" % length


def has_load(fleet: Fleet, line: bytes) -> bool:
    """Return whether the metrics of the router contain a line."""
    url = f"http://{fleet.routers[0].http_address}/metrics"
    return line in httpcore.request("GET", url).content


def measure_memory(fleet: Fleet) -> int:
    """Return the resident memory of the router and the agents, in bytes."""
    members = [fleet.routers[0], *fleet.agents.values()]
    return sum(psutil.Process(item.process.pid).memory_info().rss for item in members)


class TestStalledCallers:
    def test_use_little_memory_and_are_disconnected(self, fleet: Fleet) -> None:
        before = measure_memory(fleet)
        sizes: list[int] = []

        def is_disconnected() -> bool:
            sizes.append(measure_memory(fleet))
            assert call(fleet) == 200
            return has_load(fleet, IDLE)

        head = build_head(f"large?bytes={ANSWER_BYTES}")
        with ExitStack() as stack:
            for _ in range(STALLED_CALLERS):
                stack.enter_context(connect(fleet, head))
            wait_until(lambda: has_load(fleet, BUSY))
            wait_until(is_disconnected)
        assert max(sizes) - before < MAX_GROWTH


class TestBodies:
    def test_incomplete_ones_count_towards_the_limit(self, fleet: Fleet) -> None:
        incomplete = build_head("half", BODY_BYTES + 1) + bytes(BODY_BYTES)
        with connect(fleet, incomplete):
            wait_until(lambda: call(fleet, bytes(BODY_BYTES)) == OVERLOADED)
            assert call(fleet, bytes(1000)) == 200
        wait_until(lambda: call(fleet, bytes(BODY_BYTES)) == 200)


class TestConnections:
    def test_those_above_the_limit_are_refused(self, fleet: Fleet) -> None:
        with ExitStack() as stack:
            for _ in range(CONNECTIONS):
                stack.enter_context(connect(fleet, b"GET /"))
            wait_until(lambda: call(fleet) == OVERLOADED)
            response = request(fleet)
            assert dict(response.headers)[b"content-type"] == PROBLEM
            assert json.loads(response.content)["run_state"] == "not-run"
        wait_until(lambda: call(fleet) == 200)
