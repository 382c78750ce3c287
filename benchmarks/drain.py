"""Drain: requests in flight that are cut off by the graceful stop of a host.

Callers stream chats through the routers that are ready, as behind a load balancer,
while a router, an agent and every control host are stopped and restarted in turn.
"""

from __future__ import annotations

import tempfile
import time
from collections import Counter
from pathlib import Path

import anyio
import httpcore
from attrs import define, field

from benchmarks.tools.result import Result
from gentianworks.web.pools import create_pool
from standins.client import ChatTurn, send_chat
from standins.engine import EngineSettings
from standins.fleet import Fleet, FleetPlan, plan_endpoints
from standins.members import Member

ENDPOINT_COUNT = 5
ROUTER_COUNT = 2
CONTROL_HOST_COUNT = 3
SLOTS_PER_ENGINE = 16
TOKENS_PER_ANSWER = 60
TOKEN_INTERVAL = 0.02  # seconds
CALLER_COUNT = 30
PROBE_INTERVAL = 0.2  # seconds
SETTLE_TIME = 2.0  # seconds
MAX_SHOWN_BYTES = 300


@define
class LoadBalancer:
    """Load balancer that uses routers whose /readyz succeeds, as on the platform."""

    fleet: Fleet
    pool: httpcore.AsyncConnectionPool
    ready: list[Member] = field(factory=list)
    next_index: int = 0

    async def watch(self) -> None:
        """Probe all routers periodically until cancelled."""
        while True:
            self.ready = [
                item for item in self.fleet.routers if await self._is_ready(item)
            ]
            await anyio.sleep(PROBE_INTERVAL)

    async def _is_ready(self, router: Member) -> bool:
        url = f"http://{router.http_address}/readyz"
        try:
            return (await self.pool.request("GET", url)).status == 200
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return False

    def choose_router(self) -> Member:
        """Return the next ready router in turn."""
        self.next_index += 1
        return self.ready[self.next_index % len(self.ready)]


@define
class CallerGroup:
    """Callers that each stream chats sequentially, with counts of the answers."""

    balancer: LoadBalancer
    statuses: Counter[int] = field(factory=Counter)
    complete_answers: int = 0
    incomplete_answers: int = 0
    # Router, status and last bytes of the first incomplete answer.
    first_failure: str = ""
    has_stopped: bool = False

    async def run(self, number: int) -> None:
        """Send the chats of one caller until `has_stopped` is set."""
        turn = 0
        while not self.has_stopped:
            turn += 1
            content = f"caller {number} turn {turn}"
            message = {"role": "user", "content": content}
            chat = ChatTurn(
                "chat", "parish", "drafts", content, (message,), TOKENS_PER_ANSWER
            )
            address = self.balancer.choose_router().http_address
            answer = await send_chat(self.balancer.pool, address, chat)
            self.statuses[answer.status] += 1
            self.complete_answers += answer.is_complete
            if not answer.is_complete:
                self.incomplete_answers += 1
                description = (
                    f"{address} {answer.status} {answer.body[-MAX_SHOWN_BYTES:]!r}"
                )
                self.first_failure = self.first_failure or description


@define
class StopResult:
    """Duration of a graceful stop and the exit code of the process."""

    seconds: float
    exit_code: int


async def stop_and_restart(fleet: Fleet, member: Member) -> StopResult:
    """Stop a host gracefully and restart it."""
    started_at = time.monotonic()
    exit_code = await anyio.to_thread.run_sync(member.stop)
    seconds = time.monotonic() - started_at
    fleet.restart(member.name)
    await anyio.sleep(SETTLE_TIME)
    return StopResult(seconds, exit_code)


async def measure(fleet: Fleet, rounds: int) -> Result:
    """Stop hosts of each kind under load and return the result."""
    stops: dict[str, StopResult] = {}
    async with create_pool() as pool, anyio.create_task_group() as tasks:
        balancer = LoadBalancer(fleet, pool, list(fleet.routers))
        callers = CallerGroup(balancer)
        tasks.start_soon(balancer.watch)
        async with anyio.create_task_group() as streams:
            for number in range(CALLER_COUNT):
                streams.start_soon(callers.run, number)
            await anyio.sleep(SETTLE_TIME)
            for number in range(rounds):
                for member in list_stopped_members(fleet, number):
                    stops[member.name] = await stop_and_restart(fleet, member)
            callers.has_stopped = True
        tasks.cancel_scope.cancel()
    return build_result(callers, stops)


def list_stopped_members(fleet: Fleet, number: int) -> list[Member]:
    """Return the hosts to stop in a round: a router, an agent, all control hosts."""
    agents = list(fleet.agents.values())
    return [
        fleet.routers[number % len(fleet.routers)],
        agents[number % len(agents)],
        *fleet.controls,
    ]


def build_result(callers: CallerGroup, stops: dict[str, StopResult]) -> Result:
    """Return the result of a run."""
    return Result(
        benchmark="drain",
        figure=callers.incomplete_answers,
        unit="answers not whole",
        bound=0,
        holds=callers.incomplete_answers == 0
        and all(item.exit_code == 0 for item in stops.values()),
        details={
            "whole_answers": callers.complete_answers,
            "statuses": dict(callers.statuses),
            "first_failure": callers.first_failure,
            "stop_seconds": {
                name: round(item.seconds, 2) for name, item in stops.items()
            },
            "exit_codes": {name: item.exit_code for name, item in stops.items()},
        },
    )


def main(quick: bool) -> None:
    """Measure one round of stops, or as many rounds as there are agents."""
    engine = EngineSettings(slots=SLOTS_PER_ENGINE, token_interval=TOKEN_INTERVAL)
    plan = FleetPlan(
        controls=CONTROL_HOST_COUNT,
        routers=ROUTER_COUNT,
        endpoints=plan_endpoints("chat", ENDPOINT_COUNT, engine, SLOTS_PER_ENGINE),
    )
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.build(plan)
        result = anyio.run(measure, fleet, 1 if quick else ENDPOINT_COUNT)
    result.print()
