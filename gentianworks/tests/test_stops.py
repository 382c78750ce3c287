"""Tests of stops, restarts and suspensions under load, with real processes."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

import anyio
import httpcore
import pytest

from gentianworks.web.pools import create_pool
from standins.client import Answer, ChatTurn, check_answer, send_chat
from standins.engine import EngineSettings
from standins.fleet import Fleet, FleetPlan, plan_endpoints, wait_for_status, wait_until
from standins.members import Member

CHAT_COUNT = 24
ENGINE_SLOTS = 16
ANSWER_TOKENS = 60
LONG_ANSWER_TOKENS = 150
ENDLESS_ANSWER_TOKENS = 100_000
FEW_ENGINE_SLOTS = 4
TOKEN_INTERVAL = 0.02  # seconds
STOP_TIMEOUT = 30.0  # seconds


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    with Fleet(tmp_path / "fleet") as fleet:
        yield fleet


def build(fleet: Fleet, endpoints: int, slots: int) -> None:
    engine = EngineSettings(slots=slots, token_interval=TOKEN_INTERVAL)
    fleet.build(
        FleetPlan(endpoints=plan_endpoints("chat", endpoints, engine, slots), routers=2)
    )


def build_chat(
    number: int, rank: str = "drafts", tokens: int = ANSWER_TOKENS
) -> ChatTurn:
    message = {"role": "user", "content": f"{rank} {number}"}
    return ChatTurn("chat", "parish", rank, f"{rank}-{number}", (message,), tokens)


def count_running(engine: Member) -> int:
    response = httpcore.request("GET", f"http://{engine.http_address}/load")
    return len(json.loads(response.content)["running"])


def read_log(fleet: Fleet, member: Member) -> str:
    return (fleet.folder / f"{member.name}.log").read_text()


async def send_chats_during(
    fleet: Fleet, chats: list[ChatTurn], action: Callable[[], Awaitable[None]]
) -> list[Answer]:
    """Send chats concurrently through all routers during another action."""
    answers: list[Answer] = []

    async def send(number: int, chat: ChatTurn) -> None:
        address = fleet.routers[number % len(fleet.routers)].http_address
        answers.append(await send_chat(pool, address, chat))

    with anyio.fail_after(STOP_TIMEOUT):
        async with create_pool() as pool, anyio.create_task_group() as tasks:
            for number, chat in enumerate(chats):
                tasks.start_soon(send, number, chat)
            await action()
    return answers


async def wait_for_running(engine: Member, count: int) -> None:
    await anyio.to_thread.run_sync(
        wait_until, lambda: count_running(engine) >= count, abandon_on_cancel=True
    )


class TestAgents:
    def test_finish_their_streams_before_they_stop(self, fleet: Fleet) -> None:
        build(fleet, endpoints=3, slots=ENGINE_SLOTS)
        agent, engine = fleet.agents["chat-1"], fleet.engines["chat-1"]

        async def stop() -> None:
            await wait_for_running(engine, 1)
            agent.process.terminate()

        chats = [build_chat(number) for number in range(CHAT_COUNT)]
        answers = anyio.run(send_chats_during, fleet, chats, stop)
        assert all(answer.is_complete for answer in answers)
        assert agent.process.wait(STOP_TIMEOUT) == 0
        assert read_log(fleet, agent).count("GW4004") == 1
        assert not any("GW5002" in read_log(fleet, item) for item in fleet.routers)

    def test_cancel_engine_calls_of_an_earlier_incarnation(self, fleet: Fleet) -> None:
        build(fleet, endpoints=1, slots=FEW_ENGINE_SLOTS)
        agent, engine = fleet.agents["chat-1"], fleet.engines["chat-1"]
        old_chat = build_chat(0, tokens=ENDLESS_ANSWER_TOKENS)
        old_answers: list[Answer] = []

        async def send_old_call(
            pool: httpcore.AsyncConnectionPool, number: int
        ) -> None:
            try:
                response = await pool.request(
                    "POST",
                    f"http://{engine.http_address}/v1/chat/completions",
                    headers=[(b"x-request-id", b"old-%d" % number)],
                    content=old_chat.encode_body(),
                )
            except httpcore.ProtocolError:
                old_answers.append(Answer(0, [], b"", False))
            else:
                old_answers.append(check_answer(old_chat, response))

        async def restart_during_old_calls() -> None:
            async with create_pool() as pool, anyio.create_task_group() as tasks:
                for number in range(FEW_ENGINE_SLOTS):
                    tasks.start_soon(send_old_call, pool, number)
                await wait_for_running(engine, FEW_ENGINE_SLOTS)
                agent.kill()
                fleet.restart(agent.name)
                await anyio.to_thread.run_sync(
                    wait_for_status, agent.http_address, "/livez"
                )
                chats = [build_chat(number) for number in range(FEW_ENGINE_SLOTS)]
                answers.extend(
                    await send_chats_during(fleet, chats, anyio.lowlevel.checkpoint)
                )

        answers: list[Answer] = []
        anyio.run(restart_during_old_calls)
        assert [answer.is_complete for answer in answers] == [True] * FEW_ENGINE_SLOTS
        assert [answer.is_complete for answer in old_answers] == [
            False
        ] * FEW_ENGINE_SLOTS
        assert read_log(fleet, agent).count("GW4003") == FEW_ENGINE_SLOTS


class TestPreemption:
    def test_resumes_pre_empted_answers_byte_for_byte(self, fleet: Fleet) -> None:
        build(fleet, endpoints=1, slots=FEW_ENGINE_SLOTS)
        agent, engine = fleet.agents["chat-1"], fleet.engines["chat-1"]
        urgent: list[Answer] = []

        async def send_urgent() -> None:
            await wait_for_running(engine, FEW_ENGINE_SLOTS)
            chats = [build_chat(0, "submissions")]
            urgent.extend(
                await send_chats_during(fleet, chats, anyio.lowlevel.checkpoint)
            )
            assert count_running(engine) > 0

        chats = [
            build_chat(number, "questions", LONG_ANSWER_TOKENS)
            for number in range(FEW_ENGINE_SLOTS)
        ]
        answers = anyio.run(send_chats_during, fleet, chats, send_urgent)
        assert [answer.is_complete for answer in [*urgent, *answers]] == [True] * 5
        assert "GW4001" in read_log(fleet, agent)
        assert not any("GW5002" in read_log(fleet, item) for item in fleet.routers)
