"""Chats that return after pauses, for benchmarks of reuse."""

from __future__ import annotations

import random

from attrs import frozen

from standins.client import ChatTurn
from standins.engine import generate_text

SHARED_PROMPT_CHARACTERS = 1600
QUESTION_CHARACTERS = 800
TOKENS = 8
WORKSPACES = ("parish", "county-show", "diocese")

Messages = tuple[dict[str, str], ...]


@frozen
class ReturningChat:
    """Describe a chat: its name, workspace, and the pause before each turn, in s."""

    name: str
    workspace: str
    pauses: tuple[float, ...]


def plan_chats(count: int, turns: int, seconds: float) -> list[ReturningChat]:
    """Return chats whose turns are spread over a time, the same in every run."""
    chance = random.Random(1)
    pause = seconds / turns
    return [
        ReturningChat(
            name=f"chat-{number}",
            workspace=WORKSPACES[number % len(WORKSPACES)],
            pauses=tuple(chance.uniform(0, 2 * pause) for _ in range(turns)),
        )
        for number in range(count)
    ]


def begin_messages(chat: ReturningChat) -> Messages:
    """Return the shared prompt of a chat's workspace."""
    text = f"rules of {chat.workspace}. ".ljust(SHARED_PROMPT_CHARACTERS, "r")
    return ({"role": "system", "content": text},)


def add_question(messages: Messages, chat: ReturningChat, turn: int) -> Messages:
    """Return the messages with the chat's next question."""
    text = f"{chat.name} question {turn}. ".ljust(QUESTION_CHARACTERS, "q")
    return (*messages, {"role": "user", "content": text})


def add_answer(messages: Messages) -> Messages:
    """Return the messages with the answer that every engine gives."""
    text = generate_text(list(messages), TOKENS)
    return (*messages, {"role": "assistant", "content": text})


def build_turn(chat: ReturningChat, messages: Messages) -> ChatTurn:
    """Return the request of a chat's turn."""
    return ChatTurn("chat", chat.workspace, "drafts", chat.name, messages, TOKENS)
