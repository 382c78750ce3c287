"""Read requests: a control host's handlers for operators' read requests."""

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
    OperatorRequestConfirmed,
    ReadRequested,
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
    state.operators.pending_requests[event.exchange] = event
    return confirm_read(OperatorRequestConfirmed(event.exchange), state, now)


@reduce.register
def _(event: OperatorRequestConfirmed, state: State, now: float) -> list[Effect]:
    request = state.operators.pending_requests.get(event.exchange)
    return [] if request is None else answer_confirmed(request, state, now)


@refuse_read.register
def _(
    continuation: OperatorRequestConfirmed, problem: Problem, state: State, now: float
) -> list[Effect]:
    request = state.operators.pending_requests.get(continuation.exchange)
    if request is None:
        return []
    return answer_unconfirmed(request, problem, state, now)


@singledispatch
def answer_confirmed(
    request: OperatorRequest, state: State, now: float
) -> list[Effect]:
    """Continue a request after a quorum has confirmed that this host is current."""
    raise NotImplementedError(
        f"No answer is registered for {type(request).__name__}; "
        f"register a function with answer_confirmed.register."
    )


@answer_confirmed.register
def _(request: ReadRequested, state: State, now: float) -> list[Effect]:
    del state.operators.pending_requests[request.exchange]
    return [AnswerOperator(request.exchange, build_report(request, state, now))]


@singledispatch
def answer_unconfirmed(
    request: OperatorRequest, problem: Problem, state: State, now: float
) -> list[Effect]:
    """Answer a request for which this host is not confirmed to be current."""
    return refuse_pending_request(request.exchange, problem, state)


def refuse_pending_request(
    exchange: ExchangeId, problem: Problem, state: State
) -> list[Effect]:
    """Answer a pending request with a problem; ignore one that is not pending."""
    if state.operators.pending_requests.pop(exchange, None) is None:
        return []
    return [AnswerOperator(exchange, None, problem)]


@singledispatch
def build_report(request: ReadRequested, state: State, now: float) -> Report:
    """Return the report that answers a read request."""
    raise NotImplementedError(
        f"No report is registered for {type(request).__name__}; "
        f"register a function with build_report.register."
    )


@build_report.register
def _(request: ConfigurationRequested, state: State, now: float) -> Report:
    return ConfigurationReport(state.control.replicated.configuration)


@build_report.register
def _(request: AuditRequested, state: State, now: float) -> Report:
    trail = state.control.replicated.audit
    return AuditReport(trail.list_after(request.after, AUDIT_PAGE_ENTRIES))


@build_report.register
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
