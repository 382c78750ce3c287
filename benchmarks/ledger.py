"""Ledger: latency and rate of claims in a real fleet, and the cost of each key."""

from __future__ import annotations

import json
import statistics
import tempfile
import time
from pathlib import Path

import anyio
import httpcore
from attrs import frozen
from cattrs.preconf.msgpack import make_converter

from gentianworks.core.ledger.ledger import (
    Ledger,
    Registration,
    claim_key,
    record_run,
    register_incarnation,
)
from gentianworks.core.ledger.types import ClaimStatus, RecordedAnswer
from gentianworks.core.quarantine.fingerprints import compute_key_id
from standins.engine import EngineSettings
from standins.fleet import Fleet, FleetPlan, plan_endpoints

CONTROL_HOST_COUNT = 3
ENDPOINT_COUNT = 3
CALLER_COUNT = 32
ENDPOINT_CAPACITY = 32
REQUEST_COUNT = 2000
QUICK_REQUEST_COUNT = 400
SEQUENTIAL_REQUEST_COUNT = 100
KEY_COUNT = 20_000
ANSWER = RecordedAnswer(201, (), b"x" * 200)


def main(quick: bool) -> None:
    """Measure a fleet and the ledger alone, and print the result as a JSON line."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        engine = EngineSettings(slots=ENDPOINT_CAPACITY)
        endpoints = plan_endpoints("booking", ENDPOINT_COUNT, engine, ENDPOINT_CAPACITY)
        fleet.build(
            FleetPlan(controls=CONTROL_HOST_COUNT, routers=2, endpoints=endpoints)
        )
        addresses = [router.http_address for router in fleet.routers]
        requests = QUICK_REQUEST_COUNT if quick else REQUEST_COUNT
        unclaimed = anyio.run(
            measure, addresses, SEQUENTIAL_REQUEST_COUNT, 1, "allowed"
        )
        claimed = anyio.run(measure, addresses, SEQUENTIAL_REQUEST_COUNT, 1, "never")
        concurrent = anyio.run(measure, addresses, requests, CALLER_COUNT, "never")
    result = {
        "benchmark": "ledger",
        "controls": CONTROL_HOST_COUNT,
        "plain_p50_ms": unclaimed.compute_percentile(50),
        "claimed_p50_ms": claimed.compute_percentile(50),
        "claimed_p99_ms": claimed.compute_percentile(99),
        "callers": CALLER_COUNT,
        "busy_p50_ms": concurrent.compute_percentile(50),
        "claimed_requests_a_second": round(requests / concurrent.duration, 1),
        "failed": sum(
            item.count_failures() for item in (unclaimed, claimed, concurrent)
        ),
        **measure_ledger(),
    }
    print(json.dumps(result))


@frozen
class LatencySample:
    """Latencies of requests and the duration of the whole run, in seconds."""

    times: list[float]  # -1 for a failed request
    duration: float

    def compute_percentile(self, percent: int) -> float:
        """Return a percentile of the latencies in milliseconds."""
        cuts = statistics.quantiles(self.times, n=100, method="inclusive")
        return round(1000 * cuts[percent - 1], 2)

    def count_failures(self) -> int:
        """Return the number of failed requests."""
        return sum(1 for item in self.times if item < 0)


async def measure(
    addresses: list[str], count: int, callers: int, repeat: str
) -> LatencySample:
    """Send requests from concurrent callers and return their latencies."""
    times: list[float] = []
    numbers = iter(range(count))

    async def run_caller() -> None:
        for number in numbers:
            address = addresses[number % len(addresses)]
            times.append(await time_request(pool, address, repeat))

    started_at = time.perf_counter()
    async with (
        httpcore.AsyncConnectionPool(max_connections=callers) as pool,
        anyio.create_task_group() as tasks,
    ):
        for _ in range(callers):
            tasks.start_soon(run_caller)
    return LatencySample(times, time.perf_counter() - started_at)


async def time_request(
    pool: httpcore.AsyncConnectionPool, address: str, repeat: str
) -> float:
    """Send a request and return its latency in seconds, or -1 if it failed."""
    started_at = time.perf_counter()
    answer = await pool.request(
        "POST",
        f"http://{address}/services/booking/pens",
        headers=[
            (b"gw-workspace", b"parish"),
            (b"gw-rank", b"submissions"),
            (b"gw-repeat", repeat.encode()),
        ],
        content=b"ewe",
    )
    return time.perf_counter() - started_at if answer.status == 200 else -1.0


def measure_ledger() -> dict[str, float]:
    """Return the processor time and the snapshot size per key of a ledger."""
    ledger = Ledger()
    register_incarnation("e1", Registration(1, 7), ledger)
    cpu_before = time.process_time()
    for number in range(KEY_COUNT):
        key = compute_key_id("parish", str(number))
        decision = claim_key(key, "digest", f"x{number}", "e1", 0, ledger)
        assert decision.claim is not None
        record_run(decision.claim, ClaimStatus.RAN, ANSWER, ledger)
    cpu_seconds = time.process_time() - cpu_before
    encoded = make_converter().dumps(ledger)
    return {
        "apply_us_a_key": round(1e6 * cpu_seconds / KEY_COUNT, 1),
        "snapshot_bytes_a_key": round(len(encoded) / KEY_COUNT, 1),
        "answer_bytes": len(ANSWER.body),
    }
