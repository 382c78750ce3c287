"""Base: the command and outcome classes, and the functions that process them.

A command changes the replicated state in the same way on every control host. Applying
it therefore reads neither the clock nor other state of its host; the times it needs are
fields of the command. `handle_outcome` then runs on every control host for the effects
on that host alone: the host that proposed the command finds the pending caller by
`proposal` and answers it. A command may be applied twice, or long after
`handle_unknown_outcome` has run for it, so each command has a key that makes it
idempotent.
"""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

from attrs import frozen

from gentianworks.core.effects.base import Effect
from gentianworks.core.events.base import Event
from gentianworks.core.replication.replicated_state import ReplicatedState
from gentianworks.core.types import Problem

if TYPE_CHECKING:
    from gentianworks.core.state import State


@frozen
class Command:
    """Change of the replicated state, once the control hosts have committed it.

    `proposal` identifies it on the host that proposed it; `proposed_at` is in
    seconds since the epoch.
    """

    proposal: str
    proposed_at: float


@frozen
class Outcome:
    """Result of applying a command."""


@singledispatch
def apply_command(command: Command, replicated: ReplicatedState) -> Outcome:
    """Change the replicated state and return the outcome."""
    raise NotImplementedError(
        f"No function applies {type(command).__name__}; "
        f"register a function with apply_command.register."
    )


@singledispatch
def handle_outcome(
    outcome: Outcome, command: Command, state: State, now: float
) -> list[Effect]:
    """Return the effects on this host after a command has been applied."""
    raise NotImplementedError(
        f"No function handles {type(outcome).__name__}; "
        f"register a function with handle_outcome.register."
    )


@singledispatch
def handle_unknown_outcome(
    command: Command, problem: Problem, state: State, now: float
) -> list[Effect]:
    """Return the effects on this host for a command not applied here in time."""
    return []


@singledispatch
def refuse_read(
    continuation: Event, problem: Problem, state: State, now: float
) -> list[Effect]:
    """Return the effects on this host for a read not confirmed by a quorum in time."""
    return []
