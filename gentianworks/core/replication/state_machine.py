"""State machine: applies committed entries to the replicated state in order."""

from __future__ import annotations

from gentianworks.core.commands.base import Command, apply_command, handle_outcome
from gentianworks.core.commands.members import (
    BeginTerm,
    ChangeMembers,
    MembersChanged,
    TermBegun,
)
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent
from gentianworks.core.replication.invariants import check_applied
from gentianworks.core.replication.peer_messages import get_replication
from gentianworks.core.replication.reads import finish_reads
from gentianworks.core.replication.replicated_state import ReplicatedState
from gentianworks.core.state import State


def commit(index: int, state: State, now: float) -> list[Effect]:
    """Advance the commit index and apply the entries up to it."""
    replication = get_replication(state)
    if index <= replication.commit_index:
        return []
    replication.commit_index = index
    effects: list[Effect] = []
    while replication.applied_index < replication.commit_index:
        effects += _apply_next(state, now)
    return effects + finish_reads(state, now)


def _apply_next(state: State, now: float) -> list[Effect]:
    replication = get_replication(state)
    index = replication.applied_index + 1
    check_applied(index, replication, state)
    command = replication.log.get(index).command
    replication.applied_index = index
    replication.pending_proposals.pop(command.proposal, None)
    outcome = apply_command(command, state.control.replicated)
    return handle_outcome(outcome, command, state, now)


@apply_command.register
def _(command: BeginTerm, replicated: ReplicatedState) -> TermBegun:
    return TermBegun()


@apply_command.register
def _(command: ChangeMembers, replicated: ReplicatedState) -> MembersChanged:
    replicated.membership = command.membership
    return MembersChanged()


@handle_outcome.register
def _(outcome: TermBegun, command: Command, state: State, now: float) -> list[Effect]:
    return []


@handle_outcome.register
def _(
    outcome: MembersChanged, command: Command, state: State, now: float
) -> list[Effect]:
    members = state.control.replicated.membership.members
    names = " ".join(f"{item.host}@{item.peer_address}" for item in members)
    return [LogEvent("GW2003", (("members", names),))]
