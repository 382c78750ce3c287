"""Tests of concurrent requests that crash their engines, with real processes."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path

import anyio
import httpcore
import pytest
from attrs import evolve

from gentianworks.web.pools import create_pool
from standins.client import Answer, ChatTurn, send_chat
from standins.engine import CRASH_MARK, EngineSettings
from standins.fleet import Fleet, FleetPlan, plan_endpoints, wait_until
from standins.members import Member

COPIES = 20
INNOCENTS = 3
TOKENS = 150
SHARED = "shared"  # chat
CRASH_DELAY = 2.0  # seconds
CRASHES_AT_ONCE = EngineSettings(token_interval=0.02, load_lag=0.0)
CRASHES_LATER = evolve(CRASHES_AT_ONCE, crash_delay=CRASH_DELAY)
ENDPOINTS = plan_endpoints("chat", 5, CRASHES_LATER)
PLAN = FleetPlan(
    controls=3,
    routers=2,
    endpoints=(evolve(ENDPOINTS[0], engine=CRASHES_AT_ONCE), *ENDPOINTS[1:]),
)


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    """Yield a fleet whose first engine crashes at once and the others later."""
    with Fleet(tmp_path / "fleet") as fleet:
        fleet.build(PLAN)
        yield fleet


def build_culprit(name: str, endpoint: str = "") -> ChatTurn:
    """Return a chat whose request crashes its engine; `name` makes its body unique."""
    message = {"role": "user", "content": f"{CRASH_MARK.decode()} {name}"}
    return ChatTurn("chat", "parish", "drafts", "", (message,), TOKENS, endpoint)


def build_innocent(number: int) -> ChatTurn:
    """Return a harmless request; all of them share a chat, and so an endpoint."""
    message = {"role": "user", "content": f"question {number}"}
    return ChatTurn("chat", "parish", "drafts", SHARED, (message,), TOKENS, "chat-1")


def count_running(engine: Member) -> int:
    """Return the number of requests that an engine reports as running."""
    url = f"http://{engine.http_address}/load"
    running: list[str] = json.loads(httpcore.request("GET", url).content)["running"]
    return len(running)


def count_crashed(fleet: Fleet) -> int:
    """Return the number of crashed engines."""
    return sum(item.process.poll() is not None for item in fleet.engines.values())


async def send_all(fleet: Fleet, chats: list[ChatTurn]) -> list[Answer]:
    """Send chats concurrently, through the routers in turn."""
    answers: list[Answer] = []

    async def send(number: int, chat: ChatTurn) -> None:
        router = fleet.routers[number % len(fleet.routers)]
        answers.append(await send_chat(pool, router.http_address, chat))

    async with create_pool() as pool, anyio.create_task_group() as tasks:
        for number, chat in enumerate(chats):
            tasks.start_soon(send, number, chat)
    return answers


async def send_during(
    fleet: Fleet, chats: list[ChatTurn], culprit: ChatTurn, running: dict[str, int]
) -> list[Answer]:
    """Send chats and, once the engines run the given numbers of them, a culprit."""
    answers: list[Answer] = []

    async def send() -> None:
        answers.extend(await send_all(fleet, chats))

    def is_running() -> bool:
        counts = {name: count_running(fleet.engines[name]) for name in running}
        return counts == running

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send)
        await anyio.to_thread.run_sync(wait_until, is_running)
        await send_all(fleet, [culprit])
    return answers


class TestCopies:
    def test_copies_of_a_suspect_crash_one_more_engine(self, fleet: Fleet) -> None:
        culprit = build_culprit("known", "chat-1")
        first = httpcore.request(
            "POST",
            f"http://{fleet.routers[0].http_address}/v1/chat/completions",
            headers=[*culprit.encode_headers(), (b"gw-repeat", b"never")],
            content=culprit.encode_body(),
        )
        assert first.status != 200
        assert count_crashed(fleet) == 1
        chats = [evolve(culprit, chat_id=f"c{n}", endpoint="") for n in range(COPIES)]
        answers = anyio.run(send_all, fleet, chats)
        assert count_crashed(fleet) == 2
        assert {answer.status for answer in answers} <= {422, 502, 503}

    def test_copies_running_at_the_first_crash_are_tried_one_by_one(
        self, fleet: Fleet
    ) -> None:
        names = [plan.name for plan in ENDPOINTS[1:]]
        copies = [evolve(build_culprit("late", name), chat_id=name) for name in names]
        culprit = build_culprit("late", "chat-1")
        running = dict.fromkeys(names, 1)
        anyio.run(send_during, fleet, copies, culprit, running)
        assert count_crashed(fleet) == 2


class TestInnocents:
    def test_requests_on_the_same_engine_as_a_crash_are_answered_in_full(
        self, fleet: Fleet
    ) -> None:
        chats = [build_innocent(number) for number in range(INNOCENTS)]
        culprit = evolve(build_culprit("beside", "chat-1"), chat_id=SHARED)
        running = {"chat-1": INNOCENTS}
        answers = anyio.run(send_during, fleet, chats, culprit, running)
        assert [answer.is_complete for answer in answers] == [True] * INNOCENTS
        assert count_crashed(fleet) == 2
