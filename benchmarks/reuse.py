"""Reuse: prompt cache hits of returning chats while hosts fail and restart.

The baselines send the same chats to the same engines under the same churn and choose
an engine at random, by the least load, or with full knowledge of every cache.
"""

from __future__ import annotations

import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
from attrs import define, evolve

from benchmarks.tools.chats import (
    WORKSPACES,
    ReturningChat,
    add_answer,
    add_question,
    begin_messages,
    build_turn,
    plan_chats,
)
from benchmarks.tools.policies import (
    SLOTS_PER_ENGINE,
    EnginePool,
    Informed,
    LeastLoad,
    Random,
    choose_engine,
)
from benchmarks.tools.result import Result
from gentianworks.codecs.requests import ENDPOINT_HEADER
from gentianworks.web.pools import create_pool
from standins.client import Answer, ChatTurn, send_chat
from standins.engine import EngineSettings
from standins.fleet import Fleet, FleetPlan, plan_endpoints, wait_for_status

MIN_SHARE_OF_INFORMED = 0.9
ENDPOINT_COUNT = 5
CACHE_TOKENS = 60_000
TURNS_PER_CHAT = 6
QUICK_CHAT_COUNT = 100
QUICK_SECONDS = 5.0
LONG_CHAT_COUNT = 400
LONG_SECONDS = 60.0
FLAP_COUNT = 2
DOWN_TIME = 0.5  # seconds
UP_TIME = 1.5  # seconds
MAX_ATTEMPTS = 20
HINTED_FLEET = "FleetWithHints"
RETRY_DELAY = 0.2  # seconds

SendTurn = Callable[[ChatTurn, int], Awaitable[Answer]]


@define
class ReuseTally:
    """Counts of prompt tokens, cached tokens, turns and attempts."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    turns: int = 0
    attempts: int = 0
    lost_turns: int = 0  # turns without a complete answer

    def compute_reuse(self) -> float:
        """Return the fraction of the prompt tokens that were cached."""
        return self.cached_tokens / max(1, self.prompt_tokens)


async def run_chat(chat: ReturningChat, send: SendTurn, tally: ReuseTally) -> None:
    """Run all turns of a chat and retry each until its answer is complete."""
    messages = begin_messages(chat)
    for turn, pause in enumerate(chat.pauses):
        await anyio.sleep(pause)
        messages = add_question(messages, chat, turn)
        await _run_turn(build_turn(chat, messages), send, tally)
        messages = add_answer(messages)


async def _run_turn(turn: ChatTurn, send: SendTurn, tally: ReuseTally) -> None:
    tally.turns += 1
    for number in range(MAX_ATTEMPTS):
        tally.attempts += 1
        answer = await send(turn, number)
        if answer.is_complete:
            tally.prompt_tokens += answer.prompt_tokens
            tally.cached_tokens += answer.cached_tokens
            return
        await anyio.sleep(RETRY_DELAY)
    tally.lost_turns += 1


async def run_chats(
    chats: list[ReturningChat], send: SendTurn, fleet: Fleet, seconds: float
) -> ReuseTally:
    """Run all chats while hosts fail and restart."""
    tally = ReuseTally()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(churn, fleet, seconds)
        for chat in chats:
            tasks.start_soon(run_chat, chat, send, tally)
    return tally


async def churn(fleet: Fleet, seconds: float) -> None:
    """Kill hosts: one for a long time, one repeatedly, one router, one permanently."""
    step = seconds / 10
    await anyio.sleep(2 * step)
    stop_host(fleet, "chat-1")
    await anyio.sleep(2 * step)
    start_host(fleet, "chat-1")
    for _ in range(FLAP_COUNT):
        stop_host(fleet, "chat-2")
        await anyio.sleep(DOWN_TIME)
        start_host(fleet, "chat-2")
        await anyio.sleep(UP_TIME)
    if fleet.routers:
        fleet.routers[0].kill()
        fleet.restart(fleet.routers[0].name)
    stop_host(fleet, "chat-3")


def stop_host(fleet: Fleet, endpoint: str) -> None:
    """Kill an endpoint and its agent at once, as the loss of a host would."""
    for members in (fleet.engines, fleet.agents):
        if endpoint in members:
            members[endpoint].kill()


def start_host(fleet: Fleet, endpoint: str) -> None:
    """Restart an endpoint, with an empty cache, and its agent."""
    for members in (fleet.engines, fleet.agents):
        if endpoint in members:
            fleet.restart(members[endpoint].name)


async def measure_fleet(
    fleet: Fleet, chats: list[ReturningChat], seconds: float, has_hints: bool
) -> ReuseTally:
    """Run the chats through the routers in turn and return the counts.

    With hints, a caller sends the name of the endpoint that last served its chat.
    """
    served_by: dict[str, str] = {}
    async with create_pool() as pool:

        async def send(turn: ChatTurn, number: int) -> Answer:
            index = len(turn.messages) // 2 + number
            router = fleet.routers[index % len(fleet.routers)]
            hint = served_by.get(turn.chat_id, "") if has_hints else ""
            turn = evolve(turn, endpoint=hint)
            answer = await send_chat(pool, router.http_address, turn)
            if answer.is_complete:
                endpoint = dict(answer.headers)[ENDPOINT_HEADER.encode()]
                served_by[turn.chat_id] = endpoint.decode()
            return answer

        return await run_chats(chats, send, fleet, seconds)


async def measure_policy(
    fleet: Fleet, chats: list[ReturningChat], seconds: float, policy: object
) -> ReuseTally:
    """Run the chats directly against the engines under a policy."""
    async with create_pool() as pool:
        engines = EnginePool(list(fleet.engines.values()), pool)

        async def send(turn: ChatTurn, number: int) -> Answer:
            engine = await choose_engine(policy, turn, engines)
            engines.adjust_in_flight(engine, 1)
            try:
                return await send_chat(pool, engine.http_address, turn)
            finally:
                engines.adjust_in_flight(engine, -1)

        return await run_chats(chats, send, fleet, seconds)


def build_engine() -> EngineSettings:
    """Return the settings of every engine of this benchmark."""
    return EngineSettings(slots=SLOTS_PER_ENGINE, cache_tokens=CACHE_TOKENS)


def build_plan() -> FleetPlan:
    """Return the plan of the measured fleet."""
    return FleetPlan(
        routers=2,
        endpoints=plan_endpoints(
            "chat", ENDPOINT_COUNT, build_engine(), SLOTS_PER_ENGINE
        ),
        workspaces=WORKSPACES,
    )


def run_fleet(chats: list[ReturningChat], seconds: float) -> ReuseTally:
    """Measure a fleet whose callers send no hints."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.build(build_plan())
        return anyio.run(measure_fleet, fleet, chats, seconds, False)


async def measure_baselines(
    hinted: Fleet, chats: list[ReturningChat], seconds: float
) -> dict[str, float]:
    """Measure a fleet with hints and the baseline policies concurrently."""
    reuse: dict[str, float] = {}

    async def run(policy: object) -> None:
        with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
            start_engines(fleet)
            tally = await measure_policy(fleet, chats, seconds, policy)
            reuse[type(policy).__name__] = tally.compute_reuse()

    async def run_hinted() -> None:
        tally = await measure_fleet(hinted, chats, seconds, True)
        reuse[HINTED_FLEET] = tally.compute_reuse()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_hinted)
        for policy in (Informed(), LeastLoad(), Random()):
            tasks.start_soon(run, policy)
    return reuse


def start_engines(fleet: Fleet) -> None:
    """Start the engines without agents and wait until they answer."""
    for number in range(1, ENDPOINT_COUNT + 1):
        name = f"chat-{number}"
        fleet.engines[name] = fleet.start_engine(f"engine-{name}", build_engine())
    for engine in fleet.engines.values():
        wait_for_status(engine.http_address, "/load")


def main(quick: bool) -> None:
    """Measure the fleet, then its baselines."""
    seconds = QUICK_SECONDS if quick else LONG_SECONDS
    chats = plan_chats(
        QUICK_CHAT_COUNT if quick else LONG_CHAT_COUNT, TURNS_PER_CHAT, seconds
    )
    fleet = run_fleet(chats, seconds)
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as hinted:
        hinted.build(build_plan())
        baselines = anyio.run(measure_baselines, hinted, chats, seconds)
    share = fleet.compute_reuse() / baselines[Informed.__name__]
    Result(
        benchmark="reuse",
        figure=share,
        unit="share of an informed router's reuse",
        bound=MIN_SHARE_OF_INFORMED,
        holds=share >= MIN_SHARE_OF_INFORMED and not fleet.lost_turns,
        baselines=baselines,
        details={
            "fleet": fleet.compute_reuse(),
            "turns": fleet.turns,
            "tries": fleet.attempts,
            "lost_turns": fleet.lost_turns,
            "prompt_tokens": fleet.prompt_tokens,
        },
    ).print()
