"""Reporting: a control host's handlers for operators' questions."""

from __future__ import annotations

from functools import singledispatch

from gentianworks.core.commands.base import refuse_read
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.operators import AnswerOperator
from gentianworks.core.events.operators import (
    AuditRequested,
    ConfigurationRequested,
    KeyRequested,
    OperatorRequest,
    ReadRequested,
    RequestConfirmed,
)
from gentianworks.core.operators.reports import (
    AuditReport,
    ConfigurationReport,
    KeyReport,
    Report,
)
from gentianworks.core.quarantine.fingerprints import compute_key_id
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.proposals import confirm_read
from gentianworks.core.state import State
from gentianworks.core.types import ExchangeId, Problem

AUDIT_PAGE_ENTRIES = 500
NEVER_CLAIMED = "never-claimed"
EXPIRED = "expired"


@reduce.register
def _(event: ReadRequested, state: State, now: float) -> list[Effect]:
    state.operators.waiting[event.exchange] = event
    return confirm_read(RequestConfirmed(event.exchange), state, now)


@reduce.register
def _(event: RequestConfirmed, state: State, now: float) -> list[Effect]:
    request = state.operators.waiting.get(event.exchange)
    return [] if request is None else answer_confirmed(request, state, now)


@refuse_read.register
def _(
    continuation: RequestConfirmed, problem: Problem, state: State, now: float
) -> list[Effect]:
    request = state.operators.waiting.get(continuation.exchange)
    if request is None:
        return []
    return answer_unconfirmed(request, problem, state, now)


@singledispatch
def answer_confirmed(
    request: OperatorRequest, state: State, now: float
) -> list[Effect]:
    """Go on with a request now that this host is known to be current."""
    raise NotImplementedError(
        f"Nothing answers {type(request).__name__}; "
        f"register a function with answer_confirmed.register."
    )


@answer_confirmed.register
def _(request: ReadRequested, state: State, now: float) -> list[Effect]:
    del state.operators.waiting[request.exchange]
    return [AnswerOperator(request.exchange, report(request, state, now))]


@singledispatch
def answer_unconfirmed(
    request: OperatorRequest, problem: Problem, state: State, now: float
) -> list[Effect]:
    """Answer a request for which this host is not known to be current."""
    return refuse_waiting(request.exchange, problem, state)


def refuse_waiting(
    exchange: ExchangeId, problem: Problem, state: State
) -> list[Effect]:
    """Answer a request that still waits with a problem."""
    if state.operators.waiting.pop(exchange, None) is None:
        return []
    return [AnswerOperator(exchange, None, problem)]


@singledispatch
def report(request: ReadRequested, state: State, now: float) -> Report:
    """Return the report that answers a question."""
    raise NotImplementedError(
        f"Nothing reports on {type(request).__name__}; register with report.register."
    )


@report.register
def _(request: ConfigurationRequested, state: State, now: float) -> Report:
    return ConfigurationReport(state.control.replicated.configuration)


@report.register
def _(request: AuditRequested, state: State, now: float) -> Report:
    trail = state.control.replicated.audit
    return AuditReport(trail.list_after(request.after, AUDIT_PAGE_ENTRIES))


@report.register
def _(request: KeyRequested, state: State, now: float) -> Report:
    ledger = state.control.replicated.ledger
    key = compute_key_id(request.workspace, request.key)
    record = ledger.records.get(key)
    if record is None:
        outcome = EXPIRED if key in ledger.expired else NEVER_CLAIMED
        return KeyReport(request.workspace, request.key, outcome)
    return KeyReport(
        workspace=request.workspace,
        key=request.key,
        outcome=record.status.value,
        endpoint=record.claim.endpoint,
        status=record.answer.status if record.answer else 0,
        changed_at=record.changed_at,
    )
