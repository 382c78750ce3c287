"""Tests of a complete small fleet in separate processes."""

from __future__ import annotations

from collections.abc import Iterator

import anyio
import httpcore
import psutil
import pytest

from gentianworks.web.pools import create_pool
from standins.client import Answer, ChatTurn, send_chat
from standins.engine import EngineSettings
from standins.fleet import Fleet, FleetPlan, plan_endpoints

PLAIN_HEADERS = [(b"gw-workspace", b"parish"), (b"gw-rank", b"submissions")]
CHAT_COUNT = 200
MAX_THREADS = 12  # per process


def build_chat(number: int) -> ChatTurn:
    """Return the first turn of a new chat."""
    message = {"role": "user", "content": f"question {number}"}
    return ChatTurn("chat", "parish", "drafts", f"chat-{number}", (message,))


async def send_chats(routers: list[str], count: int) -> list[Answer]:
    """Send chats concurrently through all routers."""
    answers: list[Answer] = []

    async def send(number: int) -> None:
        address = routers[number % len(routers)]
        answers.append(await send_chat(pool, address, build_chat(number)))

    async with create_pool() as pool, anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(send, number)
    return answers


@pytest.fixture(scope="class")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    plan = FleetPlan(
        routers=2,
        endpoints=(
            *plan_endpoints("chat", 3, EngineSettings(slots=100), capacity=100),
            *plan_endpoints("booking", 1),
        ),
    )
    with Fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        fleet.build(plan)
        yield fleet


class TestFleet:
    def test_gives_each_caller_its_own_complete_answer(self, fleet: Fleet) -> None:
        routers = [router.http_address for router in fleet.routers]
        answers = anyio.run(send_chats, routers, CHAT_COUNT)
        assert len(answers) == CHAT_COUNT
        assert [answer.status for answer in answers if not answer.is_complete] == []

    def test_runs_few_threads_in_a_process(self, fleet: Fleet) -> None:
        for member in (*fleet.controls, *fleet.routers, *fleet.agents.values()):
            assert psutil.Process(member.process.pid).num_threads() <= MAX_THREADS

    def test_forwards_a_plain_call(self, fleet: Fleet) -> None:
        url = f"http://{fleet.routers[0].http_address}/services/booking/pens"
        answer = httpcore.request("POST", url, headers=PLAIN_HEADERS, content=b"ewe")
        assert (answer.status, answer.content) == (200, b"ran ewe")
