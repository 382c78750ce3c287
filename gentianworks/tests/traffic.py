"""Traffic: chats that tests of a running fleet send while a fault occurs."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress

import anyio
import httpcore

from gentianworks.web.pools import create_pool
from standins.client import Answer, ChatTurn, send_chat
from standins.engine import EngineSettings
from standins.fleet import Fleet

CHAT_COUNT = 24
ANSWER_TOKENS = 60
ENGINE_SLOTS = 50  # calls that an engine runs at once
TOKEN_INTERVAL = 0.02  # seconds
HTTP_OK = 200
ENGINE = EngineSettings(slots=ENGINE_SLOTS, token_interval=TOKEN_INTERVAL)


async def list_ready_routers(fleet: Fleet) -> list[str]:
    """Return the addresses of the routers that report readiness to a load balancer."""
    addresses: list[str] = []
    async with create_pool() as pool:
        for router in fleet.routers:
            with suppress(httpcore.NetworkError, httpcore.ProtocolError):
                url = f"http://{router.http_address}/readyz"
                response = await pool.request("GET", url)
                if response.status == HTTP_OK:
                    addresses.append(router.http_address)
    return addresses


async def send_chats(fleet: Fleet) -> list[Answer]:
    """Send chats concurrently through the ready routers."""
    answers: list[Answer] = []
    addresses = await list_ready_routers(fleet)

    async def send(number: int) -> None:
        message = {"role": "user", "content": f"question {number}"}
        chat = ChatTurn(
            "chat", "parish", "drafts", f"c{number}", (message,), ANSWER_TOKENS
        )
        address = addresses[number % len(addresses)]
        answers.append(await send_chat(pool, address, chat))

    async with create_pool() as pool, anyio.create_task_group() as tasks:
        for number in range(CHAT_COUNT):
            tasks.start_soon(send, number)
    return answers


async def send_chats_with_fault(
    fleet: Fleet, fault: Callable[[], None]
) -> list[Answer]:
    """Send chats and inject a fault half-way through their answers."""
    answers: list[Answer] = []

    async def send() -> None:
        answers.extend(await send_chats(fleet))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send)
        await anyio.sleep(ANSWER_TOKENS * TOKEN_INTERVAL / 2)
        fault()
    return answers


async def send_chats_during(
    fleet: Fleet, action: Callable[[], Awaitable[None]]
) -> list[Answer]:
    """Send rounds of chats, two at least, until a concurrent action is done."""
    answers: list[Answer] = []
    is_done = anyio.Event()

    async def perform() -> None:
        await action()
        is_done.set()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(perform)
        while not is_done.is_set() or len(answers) <= CHAT_COUNT:
            answers += await send_chats(fleet)
    return answers


def count_complete(answers: list[Answer]) -> int:
    """Return the number of answers that are complete and correct byte for byte."""
    return sum(answer.is_complete for answer in answers)
