"""Ledger types: messages, timers, engine calls and callers of a ledger simulation."""

from __future__ import annotations

from attrs import define, frozen

from gentianworks.core.events.base import Event
from gentianworks.core.types import Problem


@frozen
class Envelope:
    """Event in transit to a process.

    Events with the same non-empty `stream` share a connection and arrive in order.
    """

    target: str
    sender: str
    event: Event
    stream: str = ""


@frozen
class Timer:
    """Timer of one incarnation of a process; `due_at` is in virtual seconds."""

    target: str
    incarnation: int
    due_at: float
    event: Event


@frozen
class EngineCall:
    """Call of an agent's incarnation to its engine."""

    agent: str
    incarnation: int
    attempt: str
    key: str


@define
class Caller:
    """Caller of a request and the answer that it has received."""

    key: str
    router: str
    body: bytes = b""
    problem: Problem | None = None
    is_finished: bool = False
