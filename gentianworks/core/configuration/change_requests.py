"""Change requests: a control host's handlers for operators' changes."""

from __future__ import annotations

from gentianworks.core.commands.base import (
    Command,
    apply_command,
    handle_outcome,
    handle_unknown_outcome,
)
from gentianworks.core.commands.configuration import (
    ChangeConfiguration,
    ConfigurationChanged,
)
from gentianworks.core.configuration.change_log import ChangeRecord
from gentianworks.core.configuration.deltas import (
    Delta,
    apply_delta,
    compute_delta,
    describe_delta,
)
from gentianworks.core.configuration.distribution import accept_configuration
from gentianworks.core.configuration.validation import validate_configuration
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent
from gentianworks.core.effects.operators import AnswerOperator
from gentianworks.core.events.operators import (
    ConfigurationChangeRequested,
    OperatorRequestConfirmed,
)
from gentianworks.core.operators.audit import AuditAction, AuditEntry
from gentianworks.core.operators.read_requests import (
    answer_confirmed,
    refuse_pending_request,
)
from gentianworks.core.operators.reports import ChangeReport
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.proposals import confirm_read, propose
from gentianworks.core.replication.replicated_state import ReplicatedState
from gentianworks.core.state import State
from gentianworks.core.types import Problem, ProblemKind

MAX_PUSH_AGE = 10.0  # seconds since the change was proposed


@reduce.register
def _(event: ConfigurationChangeRequested, state: State, now: float) -> list[Effect]:
    state.operators.pending_requests[event.exchange] = event
    return confirm_read(OperatorRequestConfirmed(event.exchange), state, now)


@answer_confirmed.register
def _(request: ConfigurationChangeRequested, state: State, now: float) -> list[Effect]:
    return propose(build_command(request, state, now), state, now)


def build_command(
    request: ConfigurationChangeRequested, state: State, now: float
) -> ChangeConfiguration:
    """Return the command for a change, with the delta and faults found on this host."""
    return ChangeConfiguration(
        proposal=request.exchange,
        proposed_at=now,
        operator=request.operator,
        change=request.change,
        digest=request.digest,
        expected_revision=request.expected_revision,
        delta=_build_delta(request, state),
        faults=tuple(
            str(fault) for fault in validate_configuration(request.configuration)
        ),
    )


def _build_delta(request: ConfigurationChangeRequested, state: State) -> Delta:
    current = state.control.replicated.configuration
    if current.revision != request.expected_revision:
        return Delta(request.expected_revision, request.expected_revision + 1)
    return compute_delta(current, request.configuration)


@apply_command.register
def _(
    command: ChangeConfiguration, replicated: ReplicatedState
) -> ConfigurationChanged:
    earlier = replicated.changes.get(command.change)
    if earlier is not None and earlier.digest == command.digest:
        return ConfigurationChanged(earlier, is_repeated=True)
    if earlier is not None:
        return _refuse(command, _describe_reuse(earlier), replicated)
    problem = _find_problem(command, replicated)
    if problem is not None:
        outcome = _refuse(command, problem, replicated)
        replicated.changes.add(outcome.record)
        return outcome
    lines = describe_delta(replicated.configuration, command.delta)
    replicated.configuration = apply_delta(replicated.configuration, command.delta)
    digest = _record_audit(command, AuditAction.CHANGED, lines, replicated)
    record = _build_record(command, replicated, digest)
    replicated.changes.add(record)
    return ConfigurationChanged(record, delta=command.delta)


def _find_problem(
    command: ChangeConfiguration, replicated: ReplicatedState
) -> Problem | None:
    if command.faults:
        detail = f"{' '.join(command.faults)} Correct this and apply again."
        return Problem(ProblemKind.INVALID_CONFIGURATION, detail)
    current = replicated.configuration.revision
    if command.expected_revision == current:
        return None
    detail = (
        f"The change expects revision {command.expected_revision}, but {current} is "
        f"in force{_describe_accepted(command, replicated)}; "
        f"take that change into the folder, run diff, and apply again."
    )
    return Problem(ProblemKind.REVISION_CONFLICT, detail)


def _describe_accepted(
    command: ChangeConfiguration, replicated: ReplicatedState
) -> str:
    expected = command.expected_revision
    accepted = replicated.changes.find_accepted(expected + 1)
    if accepted is None:
        return ""
    change = f"change {accepted.change} of {accepted.operator}"
    return f", and {expected} was replaced by {change}"


def _describe_reuse(earlier: ChangeRecord) -> Problem:
    detail = (
        f"Change {earlier.change} of {earlier.operator} came before with other "
        f"contents; apply without --change to give this one an id of its own."
    )
    return Problem(ProblemKind.CHANGE_REUSED, detail)


def _refuse(
    command: ChangeConfiguration, problem: Problem, replicated: ReplicatedState
) -> ConfigurationChanged:
    lines = (f"{problem.kind.value}: {problem.detail}",)
    digest = _record_audit(command, AuditAction.REFUSED, lines, replicated)
    return ConfigurationChanged(_build_record(command, replicated, digest, problem))


def _build_record(
    command: ChangeConfiguration,
    replicated: ReplicatedState,
    audit_digest: str,
    problem: Problem | None = None,
) -> ChangeRecord:
    return ChangeRecord(
        operator=command.operator,
        change=command.change,
        digest=command.digest,
        revision=replicated.configuration.revision,
        problem=problem,
        audit_digest=audit_digest,
    )


def _record_audit(
    command: ChangeConfiguration,
    action: AuditAction,
    lines: tuple[str, ...],
    replicated: ReplicatedState,
) -> str:
    entry = AuditEntry(
        index=0,
        at=command.proposed_at,
        operator=command.operator,
        action=action,
        change=command.change,
        from_revision=command.expected_revision,
        to_revision=replicated.configuration.revision,
        detail=lines,
    )
    return replicated.audit.record(entry).digest


@handle_unknown_outcome.register
def _(
    command: ChangeConfiguration, problem: Problem, state: State, now: float
) -> list[Effect]:
    return refuse_pending_request(command.proposal, problem, state)


@handle_outcome.register
def _(
    outcome: ConfigurationChanged, command: Command, state: State, now: float
) -> list[Effect]:
    effects = distribute_delta(outcome.delta, command, state, now)
    record = outcome.record
    request = state.operators.pending_requests.pop(command.proposal, None)
    if request is None:
        return effects
    report = ChangeReport(
        change=record.change,
        revision=record.revision,
        is_repeated=outcome.is_repeated,
        audit_digest=record.audit_digest,
    )
    code = "GW6002" if record.problem else "GW6001"
    details = (
        ("operator", record.operator),
        ("change", record.change),
        ("revision", str(record.revision)),
    )
    answer = AnswerOperator(command.proposal, report, record.problem)
    return [LogEvent(code, details), answer, *effects]


def distribute_delta(
    delta: Delta | None, command: Command, state: State, now: float
) -> list[Effect]:
    """Put a change in force on this host, and push it to agents if it is recent."""
    if delta is None:
        return []
    is_recent = now - command.proposed_at < MAX_PUSH_AGE
    deltas = (delta,) if is_recent else ()
    state.distribution.add_delta(delta)
    configuration = state.control.replicated.configuration
    return accept_configuration(configuration, deltas, state, now)
