"""Drain: whether a graceful stop of any host cuts off a request in flight.

Streams chats through a balancer's view of the fleet (routers that are ready) while a
router, an agent and every control host are each stopped and started again.
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

ENDPOINTS = 5
ROUTERS = 2
CONTROLS = 3
SLOTS = 16
TOKENS = 60
TOKEN_INTERVAL = 0.02  # seconds
CALLERS = 30
PROBE_INTERVAL = 0.2  # seconds
SETTLE_TIME = 2.0  # seconds
SHOWN_BYTES = 300


@define
class Balancer:
    """Send callers to the routers whose /readyz answers, as the platform does."""

    fleet: Fleet
    pool: httpcore.AsyncConnectionPool
    ready: list[Member] = field(factory=list)
    number: int = 0

    async def watch(self) -> None:
        """Probe every router again and again."""
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

    def choose(self) -> Member:
        """Return the next router that is ready."""
        self.number += 1
        return self.ready[self.number % len(self.ready)]


@define
class Callers:
    """Stream chats one after the other, and count how the answers ended.

    `first_failure` tells who gave the first answer that was not whole, and its end.
    """

    balancer: Balancer
    statuses: Counter[int] = field(factory=Counter)
    whole: int = 0
    cut: int = 0
    first_failure: str = ""
    has_stopped: bool = False

    async def run(self, number: int) -> None:
        """Send the chats of one caller."""
        turn = 0
        while not self.has_stopped:
            turn += 1
            content = f"caller {number} turn {turn}"
            message = {"role": "user", "content": content}
            chat = ChatTurn("chat", "parish", "drafts", content, (message,), TOKENS)
            address = self.balancer.choose().http_address
            answer = await send_chat(self.balancer.pool, address, chat)
            self.statuses[answer.status] += 1
            self.whole += answer.is_complete
            if not answer.is_complete:
                self.cut += 1
                shown = f"{address} {answer.status} {answer.body[-SHOWN_BYTES:]!r}"
                self.first_failure = self.first_failure or shown


@define
class Stop:
    """Hold how long a host took to stop, and how it ended."""

    seconds: float
    exit_code: int


async def stop_and_restart(fleet: Fleet, member: Member) -> Stop:
    """Stop a host gracefully under load and start it again."""
    started = time.monotonic()
    exit_code = await anyio.to_thread.run_sync(member.stop)
    seconds = time.monotonic() - started
    fleet.restart(member.name)
    await anyio.sleep(SETTLE_TIME)
    return Stop(seconds, exit_code)


async def measure(fleet: Fleet, rounds: int) -> Result:
    """Stop each kind of host under load and return what became of the answers."""
    stops: dict[str, Stop] = {}
    async with create_pool() as pool, anyio.create_task_group() as tasks:
        balancer = Balancer(fleet, pool, list(fleet.routers))
        callers = Callers(balancer)
        tasks.start_soon(balancer.watch)
        async with anyio.create_task_group() as streams:
            for number in range(CALLERS):
                streams.start_soon(callers.run, number)
            await anyio.sleep(SETTLE_TIME)
            for number in range(rounds):
                for member in list_hosts(fleet, number):
                    stops[member.name] = await stop_and_restart(fleet, member)
            callers.has_stopped = True
        tasks.cancel_scope.cancel()
    return build_result(callers, stops)


def list_hosts(fleet: Fleet, number: int) -> list[Member]:
    """Return the hosts that one round stops: one router, one agent, all controls."""
    agents = list(fleet.agents.values())
    return [
        fleet.routers[number % len(fleet.routers)],
        agents[number % len(agents)],
        *fleet.controls,
    ]


def build_result(callers: Callers, stops: dict[str, Stop]) -> Result:
    """Return the result of the whole run."""
    return Result(
        benchmark="drain",
        figure=callers.cut,
        unit="answers not whole",
        bound=0,
        holds=callers.cut == 0 and all(item.exit_code == 0 for item in stops.values()),
        details={
            "whole_answers": callers.whole,
            "statuses": dict(callers.statuses),
            "first_failure": callers.first_failure,
            "stop_seconds": {
                name: round(item.seconds, 2) for name, item in stops.items()
            },
            "exit_codes": {name: item.exit_code for name, item in stops.items()},
        },
    )


def main(quick: bool) -> None:
    """Measure one round of stops, or one for every host."""
    engine = EngineSettings(slots=SLOTS, token_interval=TOKEN_INTERVAL)
    plan = FleetPlan(
        controls=CONTROLS,
        routers=ROUTERS,
        endpoints=plan_endpoints("chat", ENDPOINTS, engine, SLOTS),
    )
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.build(plan)
        result = anyio.run(measure, fleet, 1 if quick else ENDPOINTS)
    result.print()
