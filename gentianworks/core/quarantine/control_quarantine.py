"""Control quarantine: a control host's handlers for crash reports and releases."""

from __future__ import annotations

from gentianworks.core.commands.base import (
    Command,
    apply_command,
    handle_outcome,
    handle_unknown_outcome,
)
from gentianworks.core.commands.quarantine import (
    CrashCounted,
    ReleaseSuspect,
    ReportCrash,
    SuspectReleased,
)
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent, SendMessage
from gentianworks.core.effects.operators import AnswerOperator
from gentianworks.core.events.membership import Heartbeat
from gentianworks.core.events.quarantine import (
    CrashAcknowledged,
    CrashReported,
    SuspectReleaseRequested,
    SuspectsChanged,
)
from gentianworks.core.operators.audit import AuditAction
from gentianworks.core.operators.audited_actions import record_action
from gentianworks.core.operators.read_requests import refuse_pending_request
from gentianworks.core.operators.reports import ReleaseReport
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.proposals import propose
from gentianworks.core.replication.replicated_state import ReplicatedState
from gentianworks.core.state import State
from gentianworks.core.types import Problem, Role


@reduce.register
def _(event: CrashReported, state: State, now: float) -> list[Effect]:
    if state.node.role is not Role.CONTROL:
        return []
    command = ReportCrash(
        proposal=state.create_id(),
        proposed_at=now,
        peer_address=event.peer_address,
        report=event.report,
        incident=event.incident,
        fingerprint=event.fingerprint,
        service=event.service,
    )
    return propose(command, state, now)


@apply_command.register
def _(command: ReportCrash, replicated: ReplicatedState) -> CrashCounted:
    suspect = replicated.suspects.record_crash(
        command.fingerprint, command.service, command.incident, command.proposed_at
    )
    return CrashCounted(suspect)


@handle_outcome.register
def _(
    outcome: CrashCounted, command: Command, state: State, now: float
) -> list[Effect]:
    assert isinstance(command, ReportCrash)
    if not state.has_created(command.proposal):
        return []
    notice = _build_notice(state)
    pushes = [
        SendMessage(endpoint.peer_address, notice)
        for endpoint in state.configuration.list_endpoints(command.service)
    ]
    answer = CrashAcknowledged(state.node.name, command.report)
    logs: list[Effect] = []
    if outcome.suspect.is_quarantined:
        logs = [LogEvent("GW3003", (("fingerprint", command.fingerprint),))]
    return [*logs, *pushes, SendMessage(command.peer_address, answer)]


def _build_notice(state: State) -> SuspectsChanged:
    registry = state.control.replicated.suspects
    return SuspectsChanged(state.node.name, registry.version, registry.list_latest())


def send_newer_suspects(event: Heartbeat, state: State) -> list[Effect]:
    """Send the list of suspects to a node whose heartbeat has an older version."""
    if event.suspects_version >= state.control.replicated.suspects.version:
        return []
    return [SendMessage(event.peer_address, _build_notice(state))]


@reduce.register
def _(event: SuspectReleaseRequested, state: State, now: float) -> list[Effect]:
    state.operators.pending_requests[event.exchange] = event
    command = ReleaseSuspect(
        proposal=event.exchange,
        proposed_at=now,
        operator=event.operator,
        fingerprint=event.fingerprint,
    )
    return propose(command, state, now)


@apply_command.register
def _(command: ReleaseSuspect, replicated: ReplicatedState) -> SuspectReleased:
    was_known = replicated.suspects.release(command.fingerprint)
    detail = f"fingerprint {command.fingerprint}, known: {was_known}"
    record_action(command, command.operator, AuditAction.RELEASED, detail, replicated)
    return SuspectReleased(was_known)


@handle_unknown_outcome.register
def _(
    command: ReleaseSuspect, problem: Problem, state: State, now: float
) -> list[Effect]:
    return refuse_pending_request(command.proposal, problem, state)


@handle_outcome.register
def _(
    outcome: SuspectReleased, command: Command, state: State, now: float
) -> list[Effect]:
    assert isinstance(command, ReleaseSuspect)
    if state.operators.pending_requests.pop(command.proposal, None) is None:
        return []
    report = ReleaseReport(command.fingerprint, outcome.was_known)
    return [AnswerOperator(command.proposal, report)]
