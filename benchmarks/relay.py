"""Relay: latency that the path through router and agent adds to a direct request.

Sends the same chats directly to a stand-in engine and through a router, one at a time,
to compare the latencies. Then sends 2,000 at once and checks that all answers complete.

The load floor equals the slots of an engine. Otherwise the load bound, which lets an
idle service grow only by its multiple per heartbeat, would delay the burst.
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

CONCURRENT_CHAT_COUNT = 2000
TOKENS_PER_CONCURRENT_CHAT = 20
CLIENT_POOL_COUNT = 100
PIECE_CHAT_COUNT = 200
SHORT_ANSWER_TOKENS = 1
LONG_ANSWER_TOKENS = 101
MICROSECONDS_PER_SECOND = 1e6
QUICK_SAMPLE_COUNT = 200
LONG_SAMPLE_COUNT = 2000
ENDPOINT_COUNT = 5
SLOTS_PER_ENGINE = 500
MAX_P50_MS = 20.0
MILLISECONDS_PER_SECOND = 1000.0


@define
class LatencySample:
    """Latencies of chats sent one at a time, in milliseconds."""

    latencies: list[float] = field(factory=list)

    def compute_percentile(self, percent: float) -> float:
        """Return a percentile of the latencies."""
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def build_chat(number: int, tokens: int) -> ChatTurn:
    """Return the first turn of a new chat."""
    message = {"role": "user", "content": f"entry {number}: which class?"}
    return ChatTurn("chat", "parish", "drafts", f"chat-{number}", (message,), tokens)


async def sample_latency(
    pool: httpcore.AsyncConnectionPool, address: str, count: int
) -> LatencySample:
    """Send chats one at a time and return their latencies."""
    sample = LatencySample()
    for number in range(count):
        started_at = time.perf_counter()
        answer = await send_chat(pool, address, build_chat(number, 1))
        assert answer.is_complete, (
            f"incomplete answer with status {answer.status}; see the fleet's logs"
        )
        sample.latencies.append(
            (time.perf_counter() - started_at) * MILLISECONDS_PER_SECOND
        )
    return sample


async def send_at_once(
    pools: list[httpcore.AsyncConnectionPool],
    addresses: list[str],
    count: int,
    tokens: int,
) -> list[Answer]:
    """Send chats concurrently, distributed over the addresses; return the answers."""
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


def count_failures(answers: list[Answer]) -> dict[str, int]:
    """Return the number of incomplete answers by problem type or status."""
    incomplete = [answer for answer in answers if not answer.is_complete]
    return dict(Counter(get_problem_type(answer) for answer in incomplete))


def get_problem_type(answer: Answer) -> str:
    """Return the problem type in an answer, or its status if it has none."""
    if dict(answer.headers).get(b"content-type") != CONTENT_TYPE.encode():
        return str(answer.status)
    return str(json.loads(answer.body)["type"])


def read_cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    return float(sum(psutil.Process(pid).cpu_times()[:2]))


async def measure_piece_cost(
    pools: list[httpcore.AsyncConnectionPool], fleet: Fleet
) -> float:
    """Return a router's processor time per piece of an answer, in microseconds.

    Compares short and long answers, so that the fixed cost of a request cancels out.
    """
    router = fleet.routers[0]
    costs = []
    for tokens in (SHORT_ANSWER_TOKENS, LONG_ANSWER_TOKENS):
        cpu_before = read_cpu_seconds(router.process.pid)
        await send_at_once(pools, [router.http_address], PIECE_CHAT_COUNT, tokens)
        costs.append(read_cpu_seconds(router.process.pid) - cpu_before)
    pieces = PIECE_CHAT_COUNT * (LONG_ANSWER_TOKENS - SHORT_ANSWER_TOKENS)
    return (costs[1] - costs[0]) / pieces * MICROSECONDS_PER_SECOND


async def measure(fleet: Fleet, samples: int) -> Result:
    """Measure a running fleet and return the result."""
    routers = [router.http_address for router in fleet.routers]
    engine = next(iter(fleet.engines.values())).http_address
    async with create_pool() as pool:
        await sample_latency(pool, routers[0], 20)
        direct = await sample_latency(pool, engine, samples)
        cpu_before = read_cpu_seconds(fleet.routers[0].process.pid)
        routed = await sample_latency(pool, routers[0], samples)
        cpu_seconds = read_cpu_seconds(fleet.routers[0].process.pid) - cpu_before
        pools = [create_pool() for _ in range(CLIENT_POOL_COUNT)]
        started_at = time.perf_counter()
        answers = await send_at_once(
            pools, routers, CONCURRENT_CHAT_COUNT, TOKENS_PER_CONCURRENT_CHAT
        )
        seconds = time.perf_counter() - started_at
        piece_cost = await measure_piece_cost(pools, fleet)
    complete = sum(answer.is_complete for answer in answers)
    added = routed.compute_percentile(50) - direct.compute_percentile(50)
    return Result(
        benchmark="relay",
        figure=added,
        unit="ms added at p50",
        bound=MAX_P50_MS,
        holds=added <= MAX_P50_MS and complete == CONCURRENT_CHAT_COUNT,
        baselines={
            "direct_p50_ms": direct.compute_percentile(50),
            "direct_p99_ms": direct.compute_percentile(99),
        },
        details={
            "routed_p50_ms": routed.compute_percentile(50),
            "routed_p99_ms": routed.compute_percentile(99),
            "router_requests_a_second_a_core": samples / cpu_seconds,
            "router_us_a_piece": piece_cost,
            "concurrent_chats": CONCURRENT_CHAT_COUNT,
            "whole_answers": complete,
            "concurrent_seconds": seconds,
            "refusals": count_failures(answers),
        },
    )


def main(quick: bool) -> None:
    """Measure a fleet of two routers and five chat endpoints."""
    engine = EngineSettings(slots=SLOTS_PER_ENGINE, token_interval=0.02)
    plan = FleetPlan(
        routers=2,
        endpoints=plan_endpoints("chat", ENDPOINT_COUNT, engine, SLOTS_PER_ENGINE),
        extra_declarations=f"[service chat]\nload_floor = {SLOTS_PER_ENGINE}\n",
    )
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.build(plan)
        samples = QUICK_SAMPLE_COUNT if quick else LONG_SAMPLE_COUNT
        result = anyio.run(measure, fleet, samples)
    result.print()
