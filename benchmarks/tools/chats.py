"""Chats: multi-turn conversations with pauses, for benchmarks of prompt caching."""

from __future__ import annotations

import random

from attrs import frozen

from standins.client import ChatTurn
from standins.engine import generate_text

SHARED_PROMPT_CHARACTERS = 1600
QUESTION_CHARACTERS = 800
TOKENS_PER_ANSWER = 8
WORKSPACES = ("parish", "county-show", "diocese")

Messages = tuple[dict[str, str], ...]


@frozen
class ReturningChat:
    """Multi-turn chat of one workspace."""

    name: str
    workspace: str
    pauses: tuple[float, ...]  # seconds before each turn


def plan_chats(count: int, turns: int, seconds: float) -> list[ReturningChat]:
    """Return chats whose turns spread over `seconds`, with a fixed random seed."""
    rng = random.Random(1)
    mean_pause = seconds / turns
    return [
        ReturningChat(
            name=f"chat-{number}",
            workspace=WORKSPACES[number % len(WORKSPACES)],
            pauses=tuple(rng.uniform(0, 2 * mean_pause) for _ in range(turns)),
        )
        for number in range(count)
    ]


def begin_messages(chat: ReturningChat) -> Messages:
    """Return the system prompt that all chats of a workspace share."""
    text = f"rules of {chat.workspace}. ".ljust(SHARED_PROMPT_CHARACTERS, "r")
    return ({"role": "system", "content": text},)


def add_question(messages: Messages, chat: ReturningChat, turn: int) -> Messages:
    """Return the messages followed by the question of a turn."""
    text = f"{chat.name} question {turn}. ".ljust(QUESTION_CHARACTERS, "q")
    return (*messages, {"role": "user", "content": text})


def add_answer(messages: Messages) -> Messages:
    """Return the messages followed by the deterministic answer of the engines."""
    text = generate_text(list(messages), TOKENS_PER_ANSWER)
    return (*messages, {"role": "assistant", "content": text})


def build_turn(chat: ReturningChat, messages: Messages) -> ChatTurn:
    """Return the request that sends a chat's messages."""
    return ChatTurn(
        "chat", chat.workspace, "drafts", chat.name, messages, TOKENS_PER_ANSWER
    )
