"""Moves: what returning chats find cached after their endpoints have left.

Chats take some turns, then two endpoints leave gracefully beside running streams, and
every chat returns once more. The same runs in a fleet whose agents move no prompts.
No more callers return at a time than an idle endpoint may run, so that no chat spills.
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
from benchmarks.tools.traffic import find_percentile
from gentianworks.codecs.requests import ENDPOINT_HEADER
from gentianworks.web.pools import create_pool
from standins.client import ChatTurn, send_chat
from standins.engine import EngineSettings
from standins.fleet import Fleet, FleetPlan, plan_endpoints

MIN_SHARE_OF_STAYING = 0.9
ENDPOINTS = 5
LEAVING = ("chat-1", "chat-2")
SLOTS = 16
CACHE_TOKENS = 200_000
KV_BYTES_PER_TOKEN = 4096
TURNS = 3
QUICK_CHATS = 100
LONG_CHATS = 400
CALLERS = 4
STREAMS = 20
STREAM_TOKENS = 50
TOKEN_INTERVAL = 0.01  # seconds
MOVES_LINE = re.compile(r"GW4005 .*")
MOVES_DETAIL = re.compile(r"(\S+)=(\d+)")


@define
class Reuse:
    """Count the prompt tokens of some turns, and cached ones among them."""

    prompt_tokens: int = 0
    cached_tokens: int = 0

    def compute_share(self) -> float:
        """Return the share of the prompt tokens that were cached."""
        return self.cached_tokens / max(1, self.prompt_tokens)


@define
class Returns:
    """Hold what one fleet gave to chats whose endpoint left and to the others.

    `moves` sums what the leaving agents logged of their moves; `stream_times` are the
    seconds that the streams beside the drain took.
    """

    left: Reuse = field(factory=Reuse)
    stayed: Reuse = field(factory=Reuse)
    broken: int = 0
    moves: Counter[str] = field(factory=Counter)
    stop_times: list[float] = field(factory=list)
    stream_times: list[float] = field(factory=list)


@define
class Run:
    """Run the chats through one fleet."""

    fleet: Fleet
    pool: httpcore.AsyncConnectionPool
    returns: Returns = field(factory=Returns)
    messages: dict[str, Messages] = field(factory=dict)
    served_by: dict[str, str] = field(factory=dict)
    has_drained: bool = False

    async def run(self, chats: list[ReturningChat]) -> Returns:
        """Run all turns, with the drain before the last."""
        for turn in range(TURNS):
            await self._run_turns(chats, turn)
        async with anyio.create_task_group() as tasks:
            for number in range(STREAMS):
                tasks.start_soon(self._stream, number)
            await self._drain()
        await self._run_turns(chats, TURNS)
        return self.returns

    async def _run_turns(self, chats: list[ReturningChat], turn: int) -> None:
        limit = anyio.CapacityLimiter(CALLERS)

        async def run(chat: ReturningChat) -> None:
            async with limit:
                await self._run_turn(chat, turn)

        async with anyio.create_task_group() as tasks:
            for chat in chats:
                tasks.start_soon(run, chat)

    async def _run_turn(self, chat: ReturningChat, turn: int) -> None:
        known = self.messages.get(chat.name) or begin_messages(chat)
        asked = add_question(known, chat, turn)
        address = self.fleet.routers[turn % len(self.fleet.routers)].http_address
        answer = await send_chat(self.pool, address, build_turn(chat, asked))
        self.returns.broken += not answer.is_complete
        if not answer.is_complete:
            return
        self.messages[chat.name] = add_answer(asked)
        last = self.served_by.get(chat.name)
        endpoint = dict(answer.headers)[ENDPOINT_HEADER.encode()].decode()
        self.served_by[chat.name] = endpoint
        if self.has_drained:
            has_left = last in LEAVING
            reuse = self.returns.left if has_left else self.returns.stayed
            reuse.prompt_tokens += answer.prompt_tokens
            reuse.cached_tokens += answer.cached_tokens

    async def _drain(self) -> None:
        for endpoint in LEAVING:
            started = time.monotonic()
            agent = self.fleet.agents[endpoint]
            await anyio.to_thread.run_sync(agent.stop)
            self.returns.stop_times.append(time.monotonic() - started)
            self.fleet.engines[endpoint].kill()
            count_moves(self.fleet, endpoint, self.returns.moves)
        self.has_drained = True

    async def _stream(self, number: int) -> None:
        content = f"stream {number}"
        message = {"role": "user", "content": content}
        chat = ChatTurn("chat", "parish", "drafts", content, (message,), STREAM_TOKENS)
        address = self.fleet.routers[number % len(self.fleet.routers)].http_address
        while not self.has_drained:
            started = time.monotonic()
            answer = await send_chat(self.pool, address, chat)
            self.returns.stream_times.append(time.monotonic() - started)
            self.returns.broken += not answer.is_complete


def count_moves(fleet: Fleet, endpoint: str, moves: Counter[str]) -> None:
    """Add what the agent of an endpoint says in its log that it moved."""
    text = (fleet.folder / f"agent-{endpoint}.log").read_text()
    for line in MOVES_LINE.finditer(text):
        for name, count in MOVES_DETAIL.findall(line[0]):
            moves[name] += int(count)


def run_fleet(chats: list[ReturningChat], agent_settings: str) -> Returns:
    """Run the chats through a fleet whose agents have some settings."""
    engine = EngineSettings(
        slots=SLOTS,
        token_interval=TOKEN_INTERVAL,
        cache_tokens=CACHE_TOKENS,
        kv_bytes_per_token=KV_BYTES_PER_TOKEN,
    )
    endpoints = plan_endpoints("chat", ENDPOINTS, engine, SLOTS)
    plan = FleetPlan(
        routers=2,
        endpoints=tuple(
            evolve(item, agent_settings=agent_settings) for item in endpoints
        ),
        workspaces=WORKSPACES,
    )

    async def run(fleet: Fleet) -> Returns:
        async with create_pool() as pool:
            return await Run(fleet, pool).run(chats)

    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.build(plan)
        return anyio.run(run, fleet)


def describe(returns: Returns) -> dict[str, object]:
    """Return the details of one fleet's run."""
    return {
        "reuse_of_left": round(returns.left.compute_share(), 3),
        "reuse_of_stayed": round(returns.stayed.compute_share(), 3),
        "moves": dict(returns.moves),
        "stop_seconds": [round(item, 2) for item in returns.stop_times],
        "p95_stream_seconds": round(find_percentile(returns.stream_times, 95), 3),
        "answers_not_whole": returns.broken,
    }


def main(quick: bool) -> None:
    """Measure a fleet that moves prompts and one that does not."""
    chats = plan_chats(QUICK_CHATS if quick else LONG_CHATS, 1, 1.0)
    moving = run_fleet(chats, "")
    still = run_fleet(chats, "cache_move_time = 0\n")
    staying = moving.stayed.compute_share()
    share = moving.left.compute_share() / staying
    Result(
        benchmark="moves",
        figure=share,
        unit="reuse of chats whose endpoint left, as a share of the others'",
        bound=MIN_SHARE_OF_STAYING,
        holds=share >= MIN_SHARE_OF_STAYING and not moving.broken,
        baselines={
            "WithoutMoves": still.left.compute_share() / still.stayed.compute_share()
        },
        details={"moving": describe(moving), "without_moves": describe(still)},
    ).print()
