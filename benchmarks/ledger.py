"""Ledger: latency and rate of claims on real hosts, and bytes a key."""

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

CONTROLS = 3
ENDPOINTS = 3
CALLERS = 32
CAPACITY = 32
REQUESTS = 2000
QUICK_REQUESTS = 400
SEQUENTIAL_REQUESTS = 100
MODEL_KEYS = 20_000
ANSWER = RecordedAnswer(201, (), b"x" * 200)


def main(quick: bool) -> None:
    """Print one JSON line with the cost of a claim."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        engine = EngineSettings(slots=CAPACITY)
        endpoints = plan_endpoints("booking", ENDPOINTS, engine, CAPACITY)
        fleet.build(FleetPlan(controls=CONTROLS, routers=2, endpoints=endpoints))
        addresses = [router.http_address for router in fleet.routers]
        requests = QUICK_REQUESTS if quick else REQUESTS
        plain = anyio.run(measure, addresses, SEQUENTIAL_REQUESTS, 1, "allowed")
        claimed = anyio.run(measure, addresses, SEQUENTIAL_REQUESTS, 1, "never")
        busy = anyio.run(measure, addresses, requests, CALLERS, "never")
    result = {
        "benchmark": "ledger",
        "controls": CONTROLS,
        "plain_p50_ms": plain.find_percentile(50),
        "claimed_p50_ms": claimed.find_percentile(50),
        "claimed_p99_ms": claimed.find_percentile(99),
        "callers": CALLERS,
        "busy_p50_ms": busy.find_percentile(50),
        "claimed_requests_a_second": round(requests / busy.duration, 1),
        "failed": sum(item.count_failures() for item in (plain, claimed, busy)),
        **measure_model(),
    }
    print(json.dumps(result))


@frozen
class Sample:
    """Hold the time of each call, -1 for a failure, and of all, in seconds."""

    times: list[float]
    duration: float

    def find_percentile(self, percent: int) -> float:
        """Return a percentile of the times in milliseconds."""
        cuts = statistics.quantiles(self.times, n=100, method="inclusive")
        return round(1000 * cuts[percent - 1], 2)

    def count_failures(self) -> int:
        """Return the number of calls that failed."""
        return sum(1 for item in self.times if item < 0)


async def measure(
    addresses: list[str], count: int, callers: int, repeat: str
) -> Sample:
    """Send calls side by side and return how long they took."""
    times: list[float] = []
    numbers = iter(range(count))

    async def call() -> None:
        for number in numbers:
            address = addresses[number % len(addresses)]
            times.append(await send(pool, address, repeat))

    began = time.perf_counter()
    async with (
        httpcore.AsyncConnectionPool(max_connections=callers) as pool,
        anyio.create_task_group() as tasks,
    ):
        for _ in range(callers):
            tasks.start_soon(call)
    return Sample(times, time.perf_counter() - began)


async def send(pool: httpcore.AsyncConnectionPool, address: str, repeat: str) -> float:
    """Send one call and return its time in seconds, -1 where it failed."""
    began = time.perf_counter()
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
    return time.perf_counter() - began if answer.status == 200 else -1.0


def measure_model() -> dict[str, float]:
    """Return the processor time and the bytes of a key in the ledger."""
    ledger = Ledger()
    register_incarnation("e1", Registration(1, 7), ledger)
    began = time.process_time()
    for number in range(MODEL_KEYS):
        key = compute_key_id("parish", str(number))
        decision = claim_key(key, "digest", f"x{number}", "e1", 0, ledger)
        assert decision.claim is not None
        record_run(decision.claim, ClaimStatus.RAN, ANSWER, ledger)
    spent = time.process_time() - began
    encoded = make_converter().dumps(ledger)
    return {
        "apply_us_a_key": round(1e6 * spent / MODEL_KEYS, 1),
        "snapshot_bytes_a_key": round(len(encoded) / MODEL_KEYS, 1),
        "answer_bytes": len(ANSWER.body),
    }
