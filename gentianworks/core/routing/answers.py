"""Answers: handlers that relay a router's attempts, and retry or resume failed ones."""

from __future__ import annotations

from gentianworks.core.configuration.distribution import request_newer_configuration
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.callers import FinishAnswer, RelayPiece, StartAnswer
from gentianworks.core.effects.dispatch import CancelDispatch
from gentianworks.core.effects.lifecycle import LogEvent
from gentianworks.core.events.callers import CallerDisconnected, DeadlineReached
from gentianworks.core.events.dispatch import (
    AnswerEnd,
    AnswerHead,
    AnswerPiece,
    AttemptConnectionLost,
    AttemptRefused,
)
from gentianworks.core.events.ledger import (
    ClaimedAttemptLost,
    ClaimedAttemptRefused,
    ClaimedCallerDisconnected,
    ClaimedDeadlineReached,
)
from gentianworks.core.reducer import reduce
from gentianworks.core.routing.dispatch import dispatch_next, fail_exchange
from gentianworks.core.routing.exchanges import Exchange
from gentianworks.core.routing.retry import (
    MAX_FAILURES,
    MAX_RESUMES,
    RETRY_AFTER,
    combine_run_states,
    may_spill,
)
from gentianworks.core.routing.streams import PieceVerdict
from gentianworks.core.state import State
from gentianworks.core.types import (
    Problem,
    ProblemKind,
    RunState,
    find_content_type,
)


@reduce.register
def _(event: AnswerHead, state: State, now: float) -> list[Effect]:
    configuration_requests = request_newer_configuration(event.revision, state)
    exchange = state.router.find_by_attempt(event.attempt)
    if exchange is None:
        return configuration_requests
    state.router.backoff.record_contact(exchange.endpoint)
    state.router.backoff.record_level(exchange.endpoint, event.level, now)
    exchange.last_activity_at = now
    exchange.progress.has_head = True
    if not exchange.has_started:
        exchange.head = event
        return configuration_requests
    if exchange.head is not None and not _continues(exchange.head, event):
        return [
            *configuration_requests,
            *_fail_attempt(exchange, RunState.RAN, state, now),
        ]
    return configuration_requests


def _continues(begun: AnswerHead, head: AnswerHead) -> bool:
    """Return whether an answer is of the same kind as the one that has begun."""
    return head.status == begun.status and find_content_type(
        head.headers
    ) == find_content_type(begun.headers)


@reduce.register
def _(event: AnswerPiece, state: State, now: float) -> list[Effect]:
    exchange = state.router.find_by_attempt(event.attempt)
    if exchange is None:
        return []
    exchange.last_activity_at = now
    verdict = exchange.progress.accept_piece(event)
    if verdict is PieceVerdict.DROP:
        return []
    if verdict is PieceVerdict.GAP:
        return _fail_attempt(exchange, RunState.RAN, state, now)
    return [*_start_answer(exchange), RelayPiece(exchange.id, event.data)]


def _start_answer(exchange: Exchange) -> list[Effect]:
    if exchange.has_started or exchange.head is None:
        return []
    exchange.has_started = True
    head = exchange.head
    return [StartAnswer(exchange.id, head.status, head.headers, exchange.endpoint)]


@reduce.register
def _(event: AnswerEnd, state: State, now: float) -> list[Effect]:
    exchange = state.router.find_by_attempt(event.attempt)
    if exchange is None:
        return []
    state.router.backoff.record_contact(exchange.endpoint)
    if not exchange.progress.is_complete(event.pieces):
        return _fail_attempt(exchange, RunState.RAN, state, now)
    state.router.remove_exchange(exchange)
    return [*_start_answer(exchange), FinishAnswer(exchange.id)]


@reduce.register
def _(event: AttemptRefused, state: State, now: float) -> list[Effect]:
    configuration_requests = request_newer_configuration(event.revision, state)
    exchange = state.router.find_by_attempt(event.attempt)
    if exchange is None:
        return configuration_requests
    backoff = state.router.backoff
    backoff.record_contact(exchange.endpoint)
    backoff.record_level(exchange.endpoint, event.level, now)
    if may_spill(event.problem):
        _record_refusal(exchange, event.problem, state, now)
    if exchange.claim is not None:
        refused = ClaimedAttemptRefused(exchange.id, event.problem)
        return [*configuration_requests, *reduce(refused, state, now)]
    if event.problem.run_state is not RunState.NOT_RUN:
        exchange.failures += event.problem.kind is ProblemKind.ENDPOINT_FAILED
        failed = _retry(exchange, event.problem, state, now)
        return [*configuration_requests, *failed]
    if not may_spill(event.problem):
        return [*configuration_requests, *fail_exchange(exchange, event.problem, state)]
    exchange.last_refusal = event.problem
    return [*configuration_requests, *dispatch_next(exchange, state, now)]


def _record_refusal(
    exchange: Exchange, problem: Problem, state: State, now: float
) -> None:
    """Skip the exchange's endpoint for a while; one that leaves costs no attempt."""
    backoff = state.router.backoff
    backoff.record_refusal(exchange.endpoint, exchange.request, problem, now)
    if problem.kind is ProblemKind.LEAVING:
        exchange.attempts -= 1
        exchange.tried_endpoints.discard(exchange.endpoint)


@reduce.register
def _(event: AttemptConnectionLost, state: State, now: float) -> list[Effect]:
    exchange = state.router.find_by_attempt(event.attempt)
    if exchange is None:
        return []
    return handle_endpoint_loss(exchange, event.was_sent, state, now)


def handle_endpoint_loss(
    exchange: Exchange, was_sent: bool, state: State, now: float
) -> list[Effect]:
    """Retry, resume or end an exchange whose endpoint was lost."""
    state.router.backoff.record_failure(exchange.endpoint, now)
    log = LogEvent("GW5001", (("endpoint", exchange.endpoint),))
    if exchange.claim is not None and not exchange.has_started:
        return [log, *reduce(ClaimedAttemptLost(exchange.id, was_sent), state, now)]
    if not was_sent:
        return [log, *dispatch_next(exchange, state, now)]
    return [log, *_fail_attempt(exchange, RunState.UNKNOWN, state, now)]


def _fail_attempt(
    exchange: Exchange, run_state: RunState, state: State, now: float
) -> list[Effect]:
    cancel = CancelDispatch(exchange.attempt)
    if exchange.claim is not None and not exchange.has_started:
        lost = ClaimedAttemptLost(exchange.id, was_sent=True)
        return [cancel, *reduce(lost, state, now)]
    problem = Problem(
        ProblemKind.STREAM_CUT if exchange.has_started else ProblemKind.ENDPOINT_FAILED,
        f"Endpoint {exchange.endpoint!r} was lost before its answer was complete; "
        f"send the request again.",
        run_state=run_state,
        retry_after=RETRY_AFTER,
    )
    return [cancel, *_retry(exchange, problem, state, now)]


def _retry(
    exchange: Exchange, problem: Problem, state: State, now: float
) -> list[Effect]:
    """Repeat or resume an attempt that may have run, or end with its problem."""
    exchange.run_state = combine_run_states(exchange.run_state, problem.run_state)
    if not exchange.request.is_repeatable:
        return fail_exchange(exchange, _describe_lost_work(problem), state)
    can_resume = exchange.progress.is_at_event_boundary or not exchange.has_started
    is_exhausted = (
        problem.kind is ProblemKind.DEADLINE_PASSED
        or exchange.failures >= MAX_FAILURES
        or exchange.resumes >= MAX_RESUMES
    )
    budget = state.router.get_budget(exchange.request.service)
    if is_exhausted or not can_resume or not budget.try_withdraw():
        return fail_exchange(exchange, problem, state)
    exchange.resumes += 1
    exchange.last_refusal = problem
    log = LogEvent("GW5002", (("exchange", exchange.id),))
    return [log, *dispatch_next(exchange, state, now)]


def _describe_lost_work(problem: Problem) -> Problem:
    if problem.run_state is not RunState.UNKNOWN:
        return problem
    return Problem(
        ProblemKind.OUTCOME_UNKNOWN,
        "The endpoint was lost while it may have been running the request; "
        "query the outcome by its idempotency key before sending it again.",
        run_state=RunState.UNKNOWN,
    )


@reduce.register
def _(event: CallerDisconnected, state: State, now: float) -> list[Effect]:
    exchange = state.router.exchanges.get(event.exchange)
    if exchange is None:
        return []
    if exchange.claim is not None:
        return reduce(ClaimedCallerDisconnected(exchange.id), state, now)
    state.router.remove_exchange(exchange)
    return [CancelDispatch(exchange.attempt)]


@reduce.register
def _(event: DeadlineReached, state: State, now: float) -> list[Effect]:
    exchange = state.router.exchanges.get(event.exchange)
    if exchange is None:
        return []
    if exchange.claim is not None:
        return reduce(ClaimedDeadlineReached(exchange.id), state, now)
    run_state = RunState.UNKNOWN if exchange.attempt else RunState.NOT_RUN
    if exchange.head is not None:
        run_state = RunState.RAN
    problem = Problem(
        ProblemKind.DEADLINE_PASSED,
        "The request's deadline passed; send it again with a longer timeout.",
        run_state=run_state,
    )
    return [CancelDispatch(exchange.attempt), *fail_exchange(exchange, problem, state)]
