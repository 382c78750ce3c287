"""Demo: a small fleet on one host, with stand-in engines and a real client.

Runs one control host, two routers, three chat endpoints and two booking endpoints,
sends streamed chats and a payment through them, prints the answers and where they
were served, and continues to serve until Ctrl-C.
"""

from __future__ import annotations

import json
import signal
import tempfile
from pathlib import Path
from typing import Annotated

import anyio
import httpcore
import typer

from gentianworks.web.pools import create_pool
from standins.client import Answer, ChatTurn, send_chat
from standins.engine import generate_text
from standins.fleet import Fleet, FleetPlan, plan_endpoints

PLAN = FleetPlan(
    routers=2,
    endpoints=(*plan_endpoints("chat", 3), *plan_endpoints("booking", 2)),
    workspaces=("parish", "county-show"),
)
CHAT_COUNT = 4
TURNS_PER_CHAT = 3
PAYMENT_KEY = b"demo-payment-1"


async def send_chats(fleet: Fleet) -> None:
    """Send chats of several turns, alternating between the routers."""
    async with create_pool() as pool:
        for number in range(CHAT_COUNT):
            messages: tuple[dict[str, str], ...] = ()
            for turn in range(TURNS_PER_CHAT):
                content = f"chat {number}, question {turn}: which pens are free?"
                messages = (*messages, {"role": "user", "content": content})
                chat = ChatTurn("chat", "parish", "drafts", f"chat-{number}", messages)
                router = fleet.routers[(number + turn) % len(fleet.routers)]
                answer = await send_chat(pool, router.http_address, chat)
                print_answer(chat, turn, router.name, answer)
                text = generate_text(list(messages), chat.max_tokens)
                messages = (*messages, {"role": "assistant", "content": text})


def print_answer(chat: ChatTurn, turn: int, router: str, answer: Answer) -> None:
    """Print the result of one turn and where it was served."""
    endpoint = dict(answer.headers).get(b"gw-endpoint", b"unknown").decode()
    verdict = "whole" if answer.is_complete else f"NOT WHOLE ({answer.status})"
    typer.echo(
        f"{chat.chat_id} turn {turn} via {router} at {endpoint}: {verdict}, "
        f"{answer.cached_tokens} of {answer.prompt_tokens} prompt tokens cached"
    )


def send_payment(fleet: Fleet) -> None:
    """Send a payment through every router with one key and print how often it ran."""
    headers = [
        (b"gw-workspace", b"county-show"),
        (b"gw-rank", b"submissions"),
        (b"idempotency-key", PAYMENT_KEY),
    ]
    for router in fleet.routers:
        url = f"http://{router.http_address}/services/booking/pay"
        answer = httpcore.request("POST", url, headers=headers, content=b"ewe 12.50")
        typer.echo(f"payment via {router.name}: {answer.status} {answer.content!r}")
    runs = 0
    for name, engine in fleet.engines.items():
        if name.startswith("booking"):
            response = httpcore.request("GET", f"http://{engine.http_address}/runs")
            runs += json.loads(response.content).get(PAYMENT_KEY.decode(), 0)
    typer.echo(f"the booking service ran the payment {runs} time(s)")


def wait_for_interrupt() -> None:
    """Wait until Ctrl-C."""
    try:
        signal.pause()
    except KeyboardInterrupt:
        typer.echo("stopping")


def main(
    once: Annotated[bool, typer.Option(help="End after the first answers.")] = False,
) -> None:
    """Run the fleet, show answers, and serve until Ctrl-C."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        typer.echo("starting a control host, two routers, agents and stand-ins ...")
        fleet.build(PLAN)
        anyio.run(send_chats, fleet)
        send_payment(fleet)
        addresses = " and ".join(item.http_address for item in fleet.routers)
        typer.echo(f"serving at {addresses} until Ctrl-C")
        if not once:
            wait_for_interrupt()


if __name__ == "__main__":
    typer.run(main)
