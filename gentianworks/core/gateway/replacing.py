"""Replacing: a new table of routes on its way through the control hosts."""

from __future__ import annotations

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
    ReplaceRequested,
    RoutesDecoded,
    RoutesRequested,
)
from gentianworks.core.gateway.serving import take_waiting
from gentianworks.core.operators.audit import AuditAction, AuditEntry
from gentianworks.core.operators.reporting import refuse_waiting, report
from gentianworks.core.operators.reports import Report, RoutesReport
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.proposals import propose
from gentianworks.core.replication.replicated import Replicated
from gentianworks.core.state import State
from gentianworks.core.types import Problem


@reduce.register
def _(event: ReplaceRequested, state: State, now: float) -> list[Effect]:
    state.operators.waiting[event.exchange] = event
    command = ReplaceRoutes(event.exchange, now, event.document, event.operator)
    return propose(command, state, now)


@apply_command.register
def _(command: ReplaceRoutes, replicated: Replicated) -> RoutesReplaced:
    present = replicated.configuration.revision
    revision = command.document.revision
    if revision <= present:
        return RoutesReplaced(present)
    delta = Delta(present, revision, routes=command.document)
    replicated.configuration = apply_delta(replicated.configuration, delta)
    entry = AuditEntry(
        index=0,
        at=command.proposed_at,
        operator=command.operator,
        action=AuditAction.CHANGED,
        change=f"routes-{revision}",
        from_revision=present,
        to_revision=revision,
        detail=(f"{len(command.document.content)} characters of routes, compressed",),
    )
    replicated.audit.record(entry)
    return RoutesReplaced(revision, delta)


@handle_unknown_outcome.register
def _(
    command: ReplaceRoutes, problem: Problem, state: State, now: float
) -> list[Effect]:
    return refuse_waiting(command.proposal, problem, state)


@handle_outcome.register
def _(
    outcome: RoutesReplaced, command: Command, state: State, now: float
) -> list[Effect]:
    effects = distribute_delta(outcome.delta, command, state, now)
    waiting = state.operators.waiting.pop(command.proposal, None)
    if not isinstance(waiting, ReplaceRequested):
        return effects
    details = (
        ("operator", waiting.operator),
        ("asked", str(waiting.document.revision)),
        ("revision", str(outcome.revision)),
    )
    answer = AnswerOperator(command.proposal, _report(state))
    return [LogEvent("GW6001", details), answer, *effects]


def _report(state: State) -> Report:
    return RoutesReport(state.control.replicated.configuration.routes)


@report.register
def _(request: RoutesRequested, state: State, now: float) -> Report:
    return _report(state)


@reduce.register
def _(event: RoutesDecoded, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    if gateway is None:
        return []
    if event.table is None:
        return [LogEvent("GW5106", (("revision", str(event.revision)),))]
    gateway.table = event.table
    return take_waiting(state, now)
