"""Control claims: a control host's handlers for the ledger."""

from __future__ import annotations

from gentianworks.core.commands.base import Command, apply_command, handle_outcome
from gentianworks.core.commands.ledger import (
    ClaimKey,
    IncarnationRegistered,
    KeyClaimed,
    KeyReleased,
    RecordRun,
    RegisterIncarnation,
    ReleaseKey,
    RunRecorded,
)
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage
from gentianworks.core.events.ledger import (
    ClaimAnswered,
    ClaimWanted,
    IncarnationAcknowledged,
    IncarnationStarted,
    ReleaseAnswered,
    ReleaseWanted,
    RunAcknowledged,
    RunEnded,
)
from gentianworks.core.ledger.ledger import (
    Decision,
    Ledger,
    Registration,
    advance_clock,
    claim_key,
    find_decision,
    record_run,
    register_incarnation,
    release_key,
)
from gentianworks.core.ledger.types import ClaimStatus
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.proposals import propose
from gentianworks.core.replication.replicated_state import ReplicatedState
from gentianworks.core.state import State
from gentianworks.core.types import Role


@reduce.register
def _(event: ClaimWanted, state: State, now: float) -> list[Effect]:
    if state.node.role is not Role.CONTROL:
        return []
    decision = _find_known_decision(event, state)
    if decision is not None:
        return [_answer_claim(event, decision, state)]
    if not event.endpoint:
        return []
    command = ClaimKey(
        proposal=state.create_id(),
        proposed_at=now,
        peer_address=event.peer_address,
        exchange=event.exchange,
        key=event.key,
        digest=event.digest,
        endpoint=event.endpoint,
        last_number=event.last_number,
    )
    return propose(command, state, now)


def _find_known_decision(event: ClaimWanted, state: State) -> Decision | None:
    """Return the decision that this host's copy of the ledger already contains.

    The copy may lag behind, but each entry in it is committed. A grant or a claim in
    progress that has ended since is safe to report again, because its attempt is void.
    """
    ledger = state.control.replicated.ledger
    decision = find_decision(event.key, event.digest, event.exchange, ledger)
    if not event.endpoint or _is_contender_listed(event, ledger):
        return decision
    return None


def _is_contender_listed(event: ClaimWanted, ledger: Ledger) -> bool:
    """Return whether the ledger need not record that the exchange wants the key.

    Otherwise the claim is proposed, so that a release by the holder is not confirmed
    as "not run" while this exchange may still claim the key.
    """
    record = ledger.records.get(event.key)
    if record is None or record.status is ClaimStatus.RAN:
        return True
    return record.is_listed(event.exchange)


@apply_command.register
def _(command: ClaimKey, replicated: ReplicatedState) -> KeyClaimed:
    advance_clock(replicated.ledger, command.proposed_at)
    decision = claim_key(
        command.key,
        command.digest,
        command.exchange,
        command.endpoint,
        command.last_number,
        replicated.ledger,
    )
    return KeyClaimed(decision)


@reduce.register
def _(event: ReleaseWanted, state: State, now: float) -> list[Effect]:
    if state.node.role is not Role.CONTROL:
        return []
    command = ReleaseKey(
        proposal=state.create_id(),
        proposed_at=now,
        peer_address=event.peer_address,
        exchange=event.exchange,
        key=event.key,
        digest=event.digest,
        number=event.number,
        is_final=event.is_final,
    )
    return propose(command, state, now)


@apply_command.register
def _(command: ReleaseKey, replicated: ReplicatedState) -> KeyReleased:
    advance_clock(replicated.ledger, command.proposed_at)
    decision = release_key(
        command.key,
        command.digest,
        command.exchange,
        command.number,
        command.is_final,
        replicated.ledger,
    )
    return KeyReleased(decision)


@handle_outcome.register
def _(outcome: KeyReleased, command: Command, state: State, now: float) -> list[Effect]:
    assert isinstance(command, ReleaseKey)
    if not state.has_created(command.proposal):
        return []
    answer = ReleaseAnswered(
        sender=state.node.name,
        exchange=command.exchange,
        number=command.number,
        verdict=outcome.decision.verdict,
        claim=outcome.decision.claim,
        answer=outcome.decision.answer,
    )
    return [SendMessage(command.peer_address, answer)]


@handle_outcome.register
def _(outcome: KeyClaimed, command: Command, state: State, now: float) -> list[Effect]:
    assert isinstance(command, ClaimKey)
    if not state.has_created(command.proposal):
        return []
    return [_answer_claim(command, outcome.decision, state)]


def _answer_claim(
    request: ClaimWanted | ClaimKey, decision: Decision, state: State
) -> Effect:
    answer = ClaimAnswered(
        sender=state.node.name,
        exchange=request.exchange,
        verdict=decision.verdict,
        claim=decision.claim,
        answer=decision.answer,
    )
    return SendMessage(request.peer_address, answer)


@reduce.register
def _(event: RunEnded, state: State, now: float) -> list[Effect]:
    if state.node.role is not Role.CONTROL:
        return []
    command = RecordRun(
        proposal=state.create_id(),
        proposed_at=now,
        peer_address=event.peer_address,
        claim=event.claim,
        status=event.status,
        answer=event.answer,
    )
    return propose(command, state, now)


@apply_command.register
def _(command: RecordRun, replicated: ReplicatedState) -> RunRecorded:
    advance_clock(replicated.ledger, command.proposed_at)
    record_run(command.claim, command.status, command.answer, replicated.ledger)
    return RunRecorded()


@handle_outcome.register
def _(outcome: RunRecorded, command: Command, state: State, now: float) -> list[Effect]:
    assert isinstance(command, RecordRun)
    if not state.has_created(command.proposal):
        return []
    acknowledgement = RunAcknowledged(state.node.name, command.claim)
    return [SendMessage(command.peer_address, acknowledgement)]


@reduce.register
def _(event: IncarnationStarted, state: State, now: float) -> list[Effect]:
    if state.node.role is not Role.CONTROL:
        return []
    command = RegisterIncarnation(
        proposal=state.create_id(),
        proposed_at=now,
        peer_address=event.peer_address,
        endpoint=event.endpoint,
        incarnation=event.incarnation,
        ordinal=event.ordinal,
    )
    return propose(command, state, now)


@apply_command.register
def _(
    command: RegisterIncarnation, replicated: ReplicatedState
) -> IncarnationRegistered:
    advance_clock(replicated.ledger, command.proposed_at)
    registration = register_incarnation(
        command.endpoint,
        Registration(command.ordinal, command.incarnation),
        replicated.ledger,
    )
    return IncarnationRegistered(registration)


@handle_outcome.register
def _(
    outcome: IncarnationRegistered, command: Command, state: State, now: float
) -> list[Effect]:
    assert isinstance(command, RegisterIncarnation)
    if not state.has_created(command.proposal):
        return []
    acknowledgement = IncarnationAcknowledged(
        sender=state.node.name,
        endpoint=command.endpoint,
        incarnation=outcome.registration.incarnation,
        ordinal=outcome.registration.ordinal,
    )
    return [SendMessage(command.peer_address, acknowledgement)]
