"""Base: what every command is, and how one is applied.

A command changes the `Replicated` state the same way on every control host, so
applying it reads no clock and no state of its own host; the times it needs are its
fields. What follows on this host alone, such as answering whoever waits for the
command, is for `conclude`, which runs on every control host: the host that proposed
the command finds who waits by `proposal`. A command may be applied twice, or long
after `abandon` has given it up, so its own key makes it idempotent.
"""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

from attrs import frozen

from gentianworks.core.effects.base import Effect
from gentianworks.core.events.base import Event
from gentianworks.core.replication.replicated import Replicated
from gentianworks.core.types import Problem

if TYPE_CHECKING:
    from gentianworks.core.state import State


@frozen
class Command:
    """Stand for one agreed change.

    `proposal` identifies it on the host that proposed it; `proposed_at` is in
    seconds since the epoch.
    """

    proposal: str
    proposed_at: float


@frozen
class Outcome:
    """Stand for what applying a command gave."""


@singledispatch
def apply_command(command: Command, replicated: Replicated) -> Outcome:
    """Change the replicated state and return the outcome."""
    raise NotImplementedError(
        f"Nothing applies {type(command).__name__}; "
        f"register a function with apply_command.register."
    )


@singledispatch
def handle_outcome(
    outcome: Outcome, command: Command, state: State, now: float
) -> list[Effect]:
    """Return what this host is to do now that a command has been applied."""
    raise NotImplementedError(
        f"No function handles {type(outcome).__name__}; "
        f"register a function with handle_outcome.register."
    )


@singledispatch
def handle_unknown_outcome(
    command: Command, problem: Problem, state: State, now: float
) -> list[Effect]:
    """Return what this host is to do for a command whose outcome stayed unknown."""
    return []


@singledispatch
def refuse_read(
    continuation: Event, problem: Problem, state: State, now: float
) -> list[Effect]:
    """Return what this host is to do for a read that no quorum confirmed in time."""
    return []
