"""Route updates: replace the route table through the control hosts."""

from __future__ import annotations

from gentianworks.core.cold_replicas.routers import update_cold_replicas
from gentianworks.core.commands.base import (
    Command,
    apply_command,
    handle_outcome,
    handle_unknown_outcome,
)
from gentianworks.core.commands.routes import ReplaceRoutes, RoutesReplaced
from gentianworks.core.configuration.change_requests import distribute_delta
from gentianworks.core.configuration.deltas import Delta, apply_delta
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent
from gentianworks.core.effects.operators import AnswerOperator
from gentianworks.core.events.gateway import (
    RouteReplacementRequested,
    RoutesDecoded,
    RoutesRequested,
)
from gentianworks.core.gateway.dispatch import dispatch_queued_calls
from gentianworks.core.operators.audit import AuditAction, AuditEntry
from gentianworks.core.operators.read_requests import (
    build_report,
    refuse_pending_request,
)
from gentianworks.core.operators.reports import Report, RoutesReport
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.proposals import propose
from gentianworks.core.replication.replicated_state import ReplicatedState
from gentianworks.core.state import State
from gentianworks.core.types import Problem


@reduce.register
def _(event: RouteReplacementRequested, state: State, now: float) -> list[Effect]:
    state.operators.pending_requests[event.exchange] = event
    command = ReplaceRoutes(event.exchange, now, event.document, event.operator)
    return propose(command, state, now)


@apply_command.register
def _(command: ReplaceRoutes, replicated: ReplicatedState) -> RoutesReplaced:
    current = replicated.configuration.revision
    if not command.document.supersedes(replicated.configuration.routes):
        return RoutesReplaced(current)
    # Revision 0 of a configuration means that none has been accepted.
    revision = max(current + 1, command.document.revision)
    delta = Delta(current, revision, routes=command.document)
    replicated.configuration = apply_delta(replicated.configuration, delta)
    entry = AuditEntry(
        index=0,
        at=command.proposed_at,
        operator=command.operator,
        action=AuditAction.CHANGED,
        change=f"routes-{command.document.revision}",
        from_revision=current,
        to_revision=revision,
        detail=(f"{len(command.document.content)} characters of routes, compressed",),
    )
    replicated.audit.record(entry)
    return RoutesReplaced(revision, delta)


@handle_unknown_outcome.register
def _(
    command: ReplaceRoutes, problem: Problem, state: State, now: float
) -> list[Effect]:
    return refuse_pending_request(command.proposal, problem, state)


@handle_outcome.register
def _(
    outcome: RoutesReplaced, command: Command, state: State, now: float
) -> list[Effect]:
    effects = distribute_delta(outcome.delta, command, state, now)
    request = state.operators.pending_requests.pop(command.proposal, None)
    if not isinstance(request, RouteReplacementRequested):
        return effects
    details = (
        ("operator", request.operator),
        ("asked", str(request.document.revision)),
        ("revision", str(outcome.revision)),
    )
    answer = AnswerOperator(command.proposal, _build_report(state))
    return [LogEvent("GW6001", details), answer, *effects]


def _build_report(state: State) -> Report:
    return RoutesReport(state.control.replicated.configuration.routes)


@build_report.register
def _(request: RoutesRequested, state: State, now: float) -> Report:
    return _build_report(state)


@reduce.register
def _(event: RoutesDecoded, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    if gateway is None:
        return []
    if event.table is None:
        return [LogEvent("GW5106", (("revision", str(event.revision)),))]
    gateway.table = event.table
    cold = update_cold_replicas(gateway, now)
    return [*cold, *dispatch_queued_calls(state, now)]
