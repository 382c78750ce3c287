"""Moves: prompt cache hits of returning chats after their endpoints were drained.

After some turns of every chat, two endpoints are drained while streams are running, and
every chat sends one more turn. The baseline is a fleet whose agents move no prompts.
The number of concurrent callers stays within the load that an idle endpoint accepts, so
that no chat is routed to another endpoint.
"""

from __future__ import annotations

import re
import tempfile
import time
from collections import Counter
from pathlib import Path

import anyio
import httpcore
from attrs import define, evolve, field

from benchmarks.tools.chats import (
    WORKSPACES,
    Messages,
    ReturningChat,
    add_answer,
    add_question,
    begin_messages,
    build_turn,
    plan_chats,
)
from benchmarks.tools.result import Result
from benchmarks.tools.traffic import compute_percentile
from gentianworks.codecs.requests import ENDPOINT_HEADER
from gentianworks.web.pools import create_pool
from standins.client import ChatTurn, send_chat
from standins.engine import EngineSettings
from standins.fleet import Fleet, FleetPlan, plan_endpoints

MIN_RATIO_TO_STAYED = 0.9
ENDPOINT_COUNT = 5
DRAINED_ENDPOINTS = ("chat-1", "chat-2")
SLOTS_PER_ENGINE = 16
CACHE_TOKENS = 200_000
KV_BYTES_PER_TOKEN = 4096
TURNS_BEFORE_DRAIN = 3
QUICK_CHAT_COUNT = 100
LONG_CHAT_COUNT = 400
CALLER_COUNT = 4
STREAM_COUNT = 20
TOKENS_PER_STREAM = 50
TOKEN_INTERVAL = 0.01  # seconds
MOVES_LOG_LINE = re.compile(r"GW4005 .*")
MOVES_LOG_DETAIL = re.compile(r"(\S+)=(\d+)")


@define
class CacheReuse:
    """Number of prompt tokens of some turns and of the cached tokens among them."""

    prompt_tokens: int = 0
    cached_tokens: int = 0

    def compute_share(self) -> float:
        """Return the fraction of the prompt tokens that were cached."""
        return self.cached_tokens / max(1, self.prompt_tokens)


@define
class ReuseResult:
    """Measurements of one fleet, by whether the endpoint of a chat was drained."""

    departed: CacheReuse = field(factory=CacheReuse)
    stayed: CacheReuse = field(factory=CacheReuse)
    incomplete_answers: int = 0
    # Totals of the figures that the drained agents logged about their moves.
    moves: Counter[str] = field(factory=Counter)
    # Seconds that each drained agent took to stop.
    stop_times: list[float] = field(factory=list)
    # Seconds of each stream during the drain.
    stream_times: list[float] = field(factory=list)


@define
class FleetRun:
    """Run of all chats through one fleet."""

    fleet: Fleet
    pool: httpcore.AsyncConnectionPool
    result: ReuseResult = field(factory=ReuseResult)
    messages: dict[str, Messages] = field(factory=dict)
    served_by: dict[str, str] = field(factory=dict)
    has_drained: bool = False

    async def run(self, chats: list[ReturningChat]) -> ReuseResult:
        """Run all turns and drain the endpoints before the last turn."""
        for turn in range(TURNS_BEFORE_DRAIN):
            await self._run_turns(chats, turn)
        async with anyio.create_task_group() as tasks:
            for number in range(STREAM_COUNT):
                tasks.start_soon(self._stream, number)
            await self._drain()
        await self._run_turns(chats, TURNS_BEFORE_DRAIN)
        return self.result

    async def _run_turns(self, chats: list[ReturningChat], turn: int) -> None:
        limit = anyio.CapacityLimiter(CALLER_COUNT)

        async def run(chat: ReturningChat) -> None:
            async with limit:
                await self._run_turn(chat, turn)

        async with anyio.create_task_group() as tasks:
            for chat in chats:
                tasks.start_soon(run, chat)

    async def _run_turn(self, chat: ReturningChat, turn: int) -> None:
        history = self.messages.get(chat.name) or begin_messages(chat)
        messages = add_question(history, chat, turn)
        address = self.fleet.routers[turn % len(self.fleet.routers)].http_address
        answer = await send_chat(self.pool, address, build_turn(chat, messages))
        self.result.incomplete_answers += not answer.is_complete
        if not answer.is_complete:
            return
        self.messages[chat.name] = add_answer(messages)
        previous_endpoint = self.served_by.get(chat.name)
        endpoint = dict(answer.headers)[ENDPOINT_HEADER.encode()].decode()
        self.served_by[chat.name] = endpoint
        if self.has_drained:
            has_departed = previous_endpoint in DRAINED_ENDPOINTS
            reuse = self.result.departed if has_departed else self.result.stayed
            reuse.prompt_tokens += answer.prompt_tokens
            reuse.cached_tokens += answer.cached_tokens

    async def _drain(self) -> None:
        for endpoint in DRAINED_ENDPOINTS:
            started_at = time.monotonic()
            agent = self.fleet.agents[endpoint]
            await anyio.to_thread.run_sync(agent.stop)
            self.result.stop_times.append(time.monotonic() - started_at)
            self.fleet.engines[endpoint].kill()
            add_logged_moves(self.fleet, endpoint, self.result.moves)
        self.has_drained = True

    async def _stream(self, number: int) -> None:
        content = f"stream {number}"
        message = {"role": "user", "content": content}
        chat = ChatTurn(
            "chat", "parish", "drafts", content, (message,), TOKENS_PER_STREAM
        )
        address = self.fleet.routers[number % len(self.fleet.routers)].http_address
        while not self.has_drained:
            started_at = time.monotonic()
            answer = await send_chat(self.pool, address, chat)
            self.result.stream_times.append(time.monotonic() - started_at)
            self.result.incomplete_answers += not answer.is_complete


def add_logged_moves(fleet: Fleet, endpoint: str, moves: Counter[str]) -> None:
    """Add the figures of the moves that the agent of an endpoint logged."""
    text = (fleet.folder / f"agent-{endpoint}.log").read_text()
    for line in MOVES_LOG_LINE.finditer(text):
        for name, count in MOVES_LOG_DETAIL.findall(line[0]):
            moves[name] += int(count)


def run_fleet(chats: list[ReturningChat], agent_settings: str) -> ReuseResult:
    """Run the chats through a fleet with additional settings of its agents."""
    engine = EngineSettings(
        slots=SLOTS_PER_ENGINE,
        token_interval=TOKEN_INTERVAL,
        cache_tokens=CACHE_TOKENS,
        kv_bytes_per_token=KV_BYTES_PER_TOKEN,
    )
    endpoints = plan_endpoints("chat", ENDPOINT_COUNT, engine, SLOTS_PER_ENGINE)
    plan = FleetPlan(
        routers=2,
        endpoints=tuple(
            evolve(item, agent_settings=agent_settings) for item in endpoints
        ),
        workspaces=WORKSPACES,
    )

    async def run(fleet: Fleet) -> ReuseResult:
        async with create_pool() as pool:
            return await FleetRun(fleet, pool).run(chats)

    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.build(plan)
        return anyio.run(run, fleet)


def summarize(result: ReuseResult) -> dict[str, object]:
    """Return the details of a result for the JSON line."""
    return {
        "reuse_of_left": round(result.departed.compute_share(), 3),
        "reuse_of_stayed": round(result.stayed.compute_share(), 3),
        "moves": dict(result.moves),
        "stop_seconds": [round(item, 2) for item in result.stop_times],
        "p95_stream_seconds": round(compute_percentile(result.stream_times, 95), 3),
        "answers_not_whole": result.incomplete_answers,
    }


def main(quick: bool) -> None:
    """Measure a fleet that moves cached prompts and a fleet that does not."""
    chats = plan_chats(QUICK_CHAT_COUNT if quick else LONG_CHAT_COUNT, 1, 1.0)
    with_moves = run_fleet(chats, "")
    without_moves = run_fleet(chats, "cache_move_time = 0\n")
    stayed_share = with_moves.stayed.compute_share()
    share = with_moves.departed.compute_share() / stayed_share
    Result(
        benchmark="moves",
        figure=share,
        unit="reuse of chats whose endpoint left, as a share of the others'",
        bound=MIN_RATIO_TO_STAYED,
        holds=share >= MIN_RATIO_TO_STAYED and not with_moves.incomplete_answers,
        baselines={
            "WithoutMoves": without_moves.departed.compute_share()
            / without_moves.stayed.compute_share()
        },
        details={
            "moving": summarize(with_moves),
            "without_moves": summarize(without_moves),
        },
    ).print()
