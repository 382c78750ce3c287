"""Control trials: a control host's handlers for requests to run a suspect.

Only grants and their ends are replicated; a refusal is safe even if this host's state
is out of date, since the agent repeats the request.
"""

from __future__ import annotations

from gentianworks.core.commands.base import Command, apply_command, handle_outcome
from gentianworks.core.commands.quarantine import (
    BeginTrial,
    EndTrial,
    TrialDecided,
    TrialReleased,
)
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage
from gentianworks.core.events.quarantine import (
    TrialAnswered,
    TrialClosed,
    TrialEnded,
    TrialWanted,
)
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.proposals import propose
from gentianworks.core.replication.replicated_state import ReplicatedState
from gentianworks.core.state import State
from gentianworks.core.types import Role


@reduce.register
def _(event: TrialWanted, state: State, now: float) -> list[Effect]:
    if state.node.role is not Role.CONTROL:
        return []
    if state.control.replicated.suspects.is_granted_to_other(
        event.fingerprint, event.attempt, now
    ):
        refusal = TrialAnswered(
            state.node.name, event.fingerprint, event.attempt, is_granted=False
        )
        return [SendMessage(event.peer_address, refusal)]
    command = BeginTrial(
        proposal=state.create_id(),
        proposed_at=now,
        peer_address=event.peer_address,
        fingerprint=event.fingerprint,
        attempt=event.attempt,
        lifetime=event.lifetime,
    )
    return propose(command, state, now)


@apply_command.register
def _(command: BeginTrial, replicated: ReplicatedState) -> TrialDecided:
    is_granted = replicated.suspects.begin_trial(
        command.fingerprint, command.attempt, command.lifetime, command.proposed_at
    )
    return TrialDecided(is_granted)


@handle_outcome.register
def _(
    outcome: TrialDecided, command: Command, state: State, now: float
) -> list[Effect]:
    assert isinstance(command, BeginTrial)
    if not state.has_created(command.proposal):
        return []
    answer = TrialAnswered(
        state.node.name, command.fingerprint, command.attempt, outcome.is_granted
    )
    return [SendMessage(command.peer_address, answer)]


@reduce.register
def _(event: TrialEnded, state: State, now: float) -> list[Effect]:
    if state.node.role is not Role.CONTROL:
        return []
    command = EndTrial(
        proposal=state.create_id(),
        proposed_at=now,
        peer_address=event.peer_address,
        fingerprint=event.fingerprint,
        attempt=event.attempt,
    )
    return propose(command, state, now)


@apply_command.register
def _(command: EndTrial, replicated: ReplicatedState) -> TrialReleased:
    replicated.suspects.end_trial(command.fingerprint, command.attempt)
    return TrialReleased()


@handle_outcome.register
def _(
    outcome: TrialReleased, command: Command, state: State, now: float
) -> list[Effect]:
    assert isinstance(command, EndTrial)
    if not state.has_created(command.proposal):
        return []
    answer = TrialClosed(state.node.name, command.attempt)
    return [SendMessage(command.peer_address, answer)]
