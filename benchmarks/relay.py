"""Relay: what the way through router and agent adds to a direct call.

The load floor is what an engine runs side by side, so that the load bound, which lets
an idle service grow by its multiple a heartbeat, does not hold the burst back.

Sends the same chats directly to a stand-in engine and through a router, first one at
a time for the added latency, then 2,000 at once for whole answers.
"""

from __future__ import annotations

import json
import tempfile
import time
from collections import Counter
from pathlib import Path

import anyio
import httpcore
import psutil
from attrs import define, field

from benchmarks.tools.result import Result
from gentianworks.codecs.problems import CONTENT_TYPE
from gentianworks.web.pools import create_pool
from standins.client import Answer, ChatTurn, send_chat
from standins.engine import EngineSettings
from standins.fleet import Fleet, FleetPlan, plan_endpoints

CONCURRENT_CHATS = 2000
CONCURRENT_TOKENS = 20
CLIENT_POOLS = 100
PIECE_CHATS = 200
SHORT_TOKENS = 1
LONG_TOKENS = 101
MICROSECONDS = 1e6
QUICK_SAMPLES = 200
LONG_SAMPLES = 2000
ENDPOINTS = 5
SLOTS = 500
MAX_P50_MS = 20.0
MILLISECONDS = 1000.0


@define
class Sample:
    """Hold the latencies of chats sent one at a time, in milliseconds."""

    latencies: list[float] = field(factory=list)

    def find_percentile(self, percent: float) -> float:
        """Return the latency that `percent` of the chats stay within."""
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def build_chat(number: int, tokens: int) -> ChatTurn:
    """Return the first turn of a chat of its own."""
    message = {"role": "user", "content": f"entry {number}: which class?"}
    return ChatTurn("chat", "parish", "drafts", f"chat-{number}", (message,), tokens)


async def sample_latency(
    pool: httpcore.AsyncConnectionPool, address: str, count: int
) -> Sample:
    """Send chats one at a time and return their latencies."""
    sample = Sample()
    for number in range(count):
        started = time.perf_counter()
        answer = await send_chat(pool, address, build_chat(number, 1))
        assert answer.is_complete, f"got {answer.status}; read the logs of the fleet."
        sample.latencies.append((time.perf_counter() - started) * MILLISECONDS)
    return sample


async def send_at_once(
    pools: list[httpcore.AsyncConnectionPool],
    addresses: list[str],
    count: int,
    tokens: int,
) -> list[Answer]:
    """Send chats all at once, spread over the addresses, and return the answers."""
    answers: list[Answer] = []

    async def send(number: int) -> None:
        chat = build_chat(number, tokens)
        address = addresses[number % len(addresses)]
        pool = pools[number % len(pools)]
        answers.append(await send_chat(pool, address, chat))

    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(send, number)
    return answers


def count_refusals(answers: list[Answer]) -> dict[str, int]:
    """Return how many answers were not whole, by what they said."""
    refused = [answer for answer in answers if not answer.is_complete]
    return dict(Counter(find_problem(answer) for answer in refused))


def find_problem(answer: Answer) -> str:
    """Return the type of the problem that an answer tells of, or its status."""
    if dict(answer.headers).get(b"content-type") != CONTENT_TYPE.encode():
        return str(answer.status)
    return str(json.loads(answer.body)["type"])


def read_cpu(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    return float(sum(psutil.Process(pid).cpu_times()[:2]))


async def measure_piece(
    pools: list[httpcore.AsyncConnectionPool], fleet: Fleet
) -> float:
    """Return the microseconds of a router that one more piece of an answer takes."""
    router = fleet.routers[0]
    costs = []
    for tokens in (SHORT_TOKENS, LONG_TOKENS):
        before = read_cpu(router.process.pid)
        await send_at_once(pools, [router.http_address], PIECE_CHATS, tokens)
        costs.append(read_cpu(router.process.pid) - before)
    pieces = PIECE_CHATS * (LONG_TOKENS - SHORT_TOKENS)
    return (costs[1] - costs[0]) / pieces * MICROSECONDS


async def measure(fleet: Fleet, samples: int) -> Result:
    """Return the result for a running fleet."""
    routers = [router.http_address for router in fleet.routers]
    engine = next(iter(fleet.engines.values())).http_address
    async with create_pool() as pool:
        await sample_latency(pool, routers[0], 20)
        direct = await sample_latency(pool, engine, samples)
        before = read_cpu(fleet.routers[0].process.pid)
        routed = await sample_latency(pool, routers[0], samples)
        cpu = read_cpu(fleet.routers[0].process.pid) - before
        pools = [create_pool() for _ in range(CLIENT_POOLS)]
        started = time.perf_counter()
        answers = await send_at_once(
            pools, routers, CONCURRENT_CHATS, CONCURRENT_TOKENS
        )
        seconds = time.perf_counter() - started
        piece_cost = await measure_piece(pools, fleet)
    whole = sum(answer.is_complete for answer in answers)
    added = routed.find_percentile(50) - direct.find_percentile(50)
    return Result(
        benchmark="relay",
        figure=added,
        unit="ms added at p50",
        bound=MAX_P50_MS,
        holds=added <= MAX_P50_MS and whole == CONCURRENT_CHATS,
        baselines={
            "direct_p50_ms": direct.find_percentile(50),
            "direct_p99_ms": direct.find_percentile(99),
        },
        details={
            "routed_p50_ms": routed.find_percentile(50),
            "routed_p99_ms": routed.find_percentile(99),
            "router_requests_a_second_a_core": samples / cpu,
            "router_us_a_piece": piece_cost,
            "concurrent_chats": CONCURRENT_CHATS,
            "whole_answers": whole,
            "concurrent_seconds": seconds,
            "refusals": count_refusals(answers),
        },
    )


def main(quick: bool) -> None:
    """Measure two routers before five chat endpoints."""
    engine = EngineSettings(slots=SLOTS, token_interval=0.02)
    plan = FleetPlan(
        routers=2,
        endpoints=plan_endpoints("chat", ENDPOINTS, engine, SLOTS),
        extra_declarations=f"[service chat]\nload_floor = {SLOTS}\n",
    )
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.build(plan)
        samples = QUICK_SAMPLES if quick else LONG_SAMPLES
        result = anyio.run(measure, fleet, samples)
    result.print()
