"""Traffic that integration tests send through a fleet while a fault happens."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress

import anyio
import httpcore

from gentianworks.web.pools import create_pool
from standins.client import Answer, ChatTurn, send_chat
from standins.engine import EngineSettings
from standins.fleet import Fleet

CHATS = 24
TOKENS = 60
SLOTS = 50
TOKEN_INTERVAL = 0.02  # seconds
READY = 200  # HTTP status
ENGINE = EngineSettings(slots=SLOTS, token_interval=TOKEN_INTERVAL)


async def list_ready(fleet: Fleet) -> list[str]:
    """Return the routers to which the platform's balancer would send."""
    addresses: list[str] = []
    async with create_pool() as pool:
        for router in fleet.routers:
            with suppress(httpcore.NetworkError, httpcore.ProtocolError):
                url = f"http://{router.http_address}/readyz"
                response = await pool.request("GET", url)
                if response.status == READY:
                    addresses.append(router.http_address)
    return addresses


async def send_chats(fleet: Fleet) -> list[Answer]:
    """Send chats side by side through the routers that are ready."""
    answers: list[Answer] = []
    addresses = await list_ready(fleet)

    async def send(number: int) -> None:
        message = {"role": "user", "content": f"question {number}"}
        chat = ChatTurn("chat", "parish", "drafts", f"c{number}", (message,), TOKENS)
        address = addresses[number % len(addresses)]
        answers.append(await send_chat(pool, address, chat))

    async with create_pool() as pool, anyio.create_task_group() as tasks:
        for number in range(CHATS):
            tasks.start_soon(send, number)
    return answers


async def send_chats_through(fleet: Fleet, fault: Callable[[], None]) -> list[Answer]:
    """Send chats and let a fault happen in mid-stream."""
    answers: list[Answer] = []

    async def send() -> None:
        answers.extend(await send_chats(fleet))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send)
        await anyio.sleep(TOKENS * TOKEN_INTERVAL / 2)
        fault()
    return answers


async def send_chats_beside(
    fleet: Fleet, run: Callable[[], Awaitable[None]]
) -> list[Answer]:
    """Send chats until a fault has run its course, at least for two rounds."""
    answers: list[Answer] = []
    has_run = anyio.Event()

    async def watch() -> None:
        await run()
        has_run.set()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch)
        while not has_run.is_set() or len(answers) <= CHATS:
            answers += await send_chats(fleet)
    return answers


def count_whole(answers: list[Answer]) -> int:
    """Return how many answers are whole, byte for byte."""
    return sum(answer.is_complete for answer in answers)
