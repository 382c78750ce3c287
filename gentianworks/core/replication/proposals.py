"""Proposals: adds commands to the log and has reads confirmed by a quorum."""

from __future__ import annotations

from gentianworks.core.commands.base import (
    Command,
    apply_command,
    handle_outcome,
    handle_unknown_outcome,
)
from gentianworks.core.effects.base import Effect
from gentianworks.core.events.base import Event
from gentianworks.core.events.replication import ProposalRequest
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.leader import append_command
from gentianworks.core.replication.peer_messages import (
    get_replication,
    handle_peer_message,
    send_to,
)
from gentianworks.core.replication.replication import PendingProposal, PendingRead
from gentianworks.core.replication.rounds import request_read_index
from gentianworks.core.state import State
from gentianworks.core.types import Problem, ProblemKind, RunState

PROPOSAL_TIMEOUT = 5.0  # seconds
READ_TIMEOUT = 3.0  # seconds
PROPOSAL_RESEND_INTERVAL = 0.5  # seconds
RETRY_AFTER = 1.0  # seconds


def propose(
    command: Command, state: State, now: float, timeout: float = PROPOSAL_TIMEOUT
) -> list[Effect]:
    """Propose a command to the control hosts.

    `handle_outcome` runs once the command is applied; if it is not applied on this
    host within `timeout` seconds, `handle_unknown_outcome` runs instead.
    """
    replication = state.control.replication
    if replication is None:
        outcome = apply_command(command, state.control.replicated)
        return handle_outcome(outcome, command, state, now)
    pending = PendingProposal(command, now + timeout)
    replication.pending_proposals[command.proposal] = pending
    return _submit(pending, state, now)


def confirm_read(continuation: Event, state: State, now: float) -> list[Effect]:
    """Reduce `continuation` once a quorum has confirmed that this host is current.

    If none does so in time, `refuse_read` runs instead.
    """
    replication = state.control.replication
    if replication is None:
        return reduce(continuation, state, now)
    replication.last_read_number += 1
    number = replication.last_read_number
    read = PendingRead(number, continuation, now + READ_TIMEOUT)
    replication.pending_reads[number] = read
    return request_read_index(state, now)


def submit_proposals(state: State, now: float) -> list[Effect]:
    """Send the pending commands to the current leader, or resend them when due."""
    effects: list[Effect] = []
    for pending in list(get_replication(state).pending_proposals.values()):
        if now >= pending.next_send_at:
            effects += _submit(pending, state, now)
    return effects


def expire_proposals(state: State, now: float) -> list[Effect]:
    """Abandon the commands whose outcome is not known in time."""
    replication = get_replication(state)
    effects: list[Effect] = []
    for pending in list(replication.pending_proposals.values()):
        if now >= pending.deadline:
            del replication.pending_proposals[pending.command.proposal]
            problem = _create_problem(pending)
            effects += handle_unknown_outcome(pending.command, problem, state, now)
    return effects


@handle_peer_message.register
def _(event: ProposalRequest, state: State, now: float) -> list[Effect]:
    replication = get_replication(state)
    if not replication.is_leader or replication.handover_deadline:
        return []
    return append_command(event.command, state, now)


def _submit(pending: PendingProposal, state: State, now: float) -> list[Effect]:
    replication = get_replication(state)
    is_handing_over = replication.is_leader and replication.handover_deadline > 0
    if not replication.leader or is_handing_over:
        return []
    pending.next_send_at = now + PROPOSAL_RESEND_INTERVAL
    pending.was_sent = True
    if replication.is_leader:
        return append_command(pending.command, state, now)
    request = send_to(
        replication.leader_address,
        replication.leader,
        ProposalRequest,
        state,
        command=pending.command,
    )
    return [request]


def _create_problem(pending: PendingProposal) -> Problem:
    if pending.was_sent:
        return Problem(
            ProblemKind.OUTCOME_UNKNOWN,
            "The control hosts did not agree on the change in time; "
            "send it again under the same id to learn its outcome.",
            RunState.UNKNOWN,
            RETRY_AFTER,
        )
    return Problem(
        ProblemKind.NOT_READY,
        "The control hosts have no leader, so nothing was changed; "
        "bring a majority of them up and send the change again.",
        RunState.NOT_RUN,
        RETRY_AFTER,
    )
