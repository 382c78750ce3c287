"""Attempts: events of a call's attempt at a replica, and retries after failures."""

from __future__ import annotations

from gentianworks.core.cold_replicas.routers import record_lost_connection
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.callers import FinishAnswer, RelayPiece, StartAnswer
from gentianworks.core.effects.gateway import CancelReplicaCall
from gentianworks.core.effects.lifecycle import LogEvent
from gentianworks.core.events.gateway import (
    AnswerStartOverdue,
    ReplicaAnswerEnded,
    ReplicaAnswerHead,
    ReplicaAnswerPiece,
    ReplicaAnswerSkipped,
    ReplicaAnswerStarted,
    ReplicaCallFailed,
    ReplicaFailure,
)
from gentianworks.core.gateway.admission import record_duration
from gentianworks.core.gateway.crashes import record_lost_call, record_served_call
from gentianworks.core.gateway.dispatch import (
    RETRY_AFTER,
    fail_call,
    send_to_best_replica,
)
from gentianworks.core.gateway.log_details import describe_call
from gentianworks.core.gateway.route_table import RetryPolicy
from gentianworks.core.gateway.state import GatewayExchange, GatewayState
from gentianworks.core.outliers.routers import record_outcome
from gentianworks.core.placement.choice import is_busy
from gentianworks.core.reducer import reduce
from gentianworks.core.request_limits.notices import record_limit
from gentianworks.core.routing.retry import combine_run_states
from gentianworks.core.state import State
from gentianworks.core.types import Problem, ProblemKind, RunState

MAX_UNSENT_ATTEMPTS = 3  # unreachable replicas per call, besides its max_attempts
MIN_FAILURE_STATUS = 500
BLAMELESS_FAILURES = frozenset({ReplicaFailure.UNSENDABLE, ReplicaFailure.INTERNAL})
UNSENT_FAILURES = frozenset({ReplicaFailure.NOT_SENT, ReplicaFailure.UNREACHABLE})
NOT_RUN_STATUSES = frozenset(
    {408, 421, 429, 503}
)  # a caller infers "not run" from them


@reduce.register
def _(event: ReplicaAnswerStarted, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    exchange = gateway.find_by_attempt(event.attempt) if gateway else None
    if gateway is None or exchange is None or exchange.replica is None:
        return []
    answer = event.head
    exchange.has_received_head = True
    _record_health(exchange, answer, gateway, now)
    _record_load(exchange, answer, gateway, now)
    _record_slowness(exchange, answer, gateway, now)
    limits = record_limit(exchange.replica, answer, state, now)
    reports = _report_outcome(exchange, answer, state, now)
    return [*limits, *reports, *_handle_answer_start(exchange, answer, state, now)]


def _report_outcome(
    exchange: GatewayExchange, answer: ReplicaAnswerHead, state: State, now: float
) -> list[Effect]:
    """Report the outcome of an answer, unless it refuses the call or has a defect.

    An answer of another replica at the address tells nothing of the intended one.
    """
    is_refusal = answer.is_not_run or answer.is_other_replica
    if exchange.replica is None or is_refusal or answer.defect:
        return []
    is_failure = answer.status >= MIN_FAILURE_STATUS
    return record_outcome(exchange.replica, is_failure, state, now)


def _handle_answer_start(
    exchange: GatewayExchange, answer: ReplicaAnswerHead, state: State, now: float
) -> list[Effect]:
    gateway = state.gateway
    assert gateway is not None
    assert exchange.replica is not None
    if answer.defect:
        drop = CancelReplicaCall(exchange.attempt)
        return [drop, *_fail_defective_attempt(exchange, answer.defect, state, now)]
    if answer.is_other_replica:
        gateway.registry.mark_misaddressed(exchange.replica.name)
    if answer.is_not_run:
        detail = f"the replica refused the call unrun with status {answer.status}"
        drop = CancelReplicaCall(exchange.attempt)
        # A call that another replica rejected never reached the intended one.
        is_unsent = answer.is_other_replica
        failed = handle_failed_attempt(
            exchange, RunState.NOT_RUN, detail, state, now, is_unsent
        )
        return [drop, *failed]
    reason = _find_rejection_reason(exchange, answer, gateway)
    if reason:
        drop = CancelReplicaCall(exchange.attempt)
        return [
            drop,
            *handle_failed_attempt(exchange, RunState.RAN, reason, state, now),
        ]
    return _start_answer(exchange, answer, gateway)


def _fail_defective_attempt(
    exchange: GatewayExchange, defect: str, state: State, now: float
) -> list[Effect]:
    """Fail an attempt whose replica sent what is no proper answer to it."""
    gateway = state.gateway
    assert gateway is not None
    assert exchange.replica is not None
    gateway.backoff.record_failure(exchange.replica.name, now)
    reports = record_outcome(exchange.replica, True, state, now)
    details = (
        ("request", exchange.call.request_id),
        ("replica", exchange.replica.name),
        ("address", exchange.replica.address),
        ("cause", defect),
    )
    return [
        LogEvent("GW5117", details),
        *reports,
        *handle_failed_attempt(exchange, RunState.UNKNOWN, defect, state, now),
    ]


def _find_rejection_reason(
    exchange: GatewayExchange, answer: ReplicaAnswerHead, gateway: GatewayState
) -> str:
    """Return why an answer can't be relayed, or an empty string."""
    status = answer.status
    if not answer.is_signed and status < MIN_FAILURE_STATUS:
        return f"the answer with status {status} is not signed"
    if status in NOT_RUN_STATUSES:
        return (
            f"the replica answered with status {status} without marking it as not run"
        )
    is_failure = status >= MIN_FAILURE_STATUS
    if is_failure and (exchange.has_sent_head or _may_repeat(exchange, gateway)):
        return f"the replica failed with status {status}"
    begun = exchange.relayed_head
    if begun is not None and not _continues(begun, answer):
        return (
            f"a stream with status {begun.status} can't go on with an answer with "
            f"status {status} and content type {answer.content_type!r}"
        )
    return ""


def _continues(begun: ReplicaAnswerHead, answer: ReplicaAnswerHead) -> bool:
    """Return whether an answer is of the same kind as the one that the caller has."""
    return (
        answer.status == begun.status
        and answer.is_event_stream
        and answer.content_type == begun.content_type
    )


def _start_answer(
    exchange: GatewayExchange,
    answer: ReplicaAnswerHead,
    gateway: GatewayState,
) -> list[Effect]:
    assert exchange.replica is not None
    gateway.backoff.record_contact(exchange.replica.name)
    if exchange.has_sent_head:
        return []
    exchange.relayed_head = answer
    name = exchange.replica.name
    return [StartAnswer(exchange.id, answer.status, answer.headers, name)]


def _record_health(
    exchange: GatewayExchange,
    answer: ReplicaAnswerHead,
    gateway: GatewayState,
    now: float,
) -> None:
    if exchange.replica is None or answer.is_other_replica:
        return
    gateway.health.record_answer(
        exchange.replica.name,
        exchange.service,
        now - exchange.sent_at,
        answer.status >= MIN_FAILURE_STATUS,
        now,
    )


@reduce.register
def _(event: AnswerStartOverdue, state: State, now: float) -> list[Effect]:
    """Abandon an attempt if its replica has answered no call since it was sent."""
    gateway = state.gateway
    exchange = gateway.find_by_attempt(event.attempt) if gateway else None
    if gateway is None or exchange is None or exchange.replica is None:
        return []
    name = exchange.replica.name
    if exchange.has_received_head or gateway.health.has_answered_since(
        name, exchange.sent_at
    ):
        return []
    gateway.backoff.record_failure(name, now)
    reports = record_outcome(exchange.replica, True, state, now)
    if not _may_repeat(exchange, gateway):
        return [LogEvent("GW5110", describe_call(exchange, gateway, now)), *reports]
    detail = f"the replica did not answer within {now - exchange.sent_at:.2f} s"
    drop = CancelReplicaCall(exchange.attempt)
    return [
        drop,
        *reports,
        *handle_failed_attempt(exchange, RunState.UNKNOWN, detail, state, now),
    ]


def _record_load(
    exchange: GatewayExchange,
    answer: ReplicaAnswerHead,
    gateway: GatewayState,
    now: float,
) -> None:
    if answer.running < 0 or exchange.replica is None:
        return
    name, service = exchange.replica.name, exchange.replica.service
    calls = answer.running + max(0, answer.waiting)
    gateway.registry.get_load(name).record_report(calls, now)
    gateway.busy.update_mean(service, calls)
    gateway.busy.record(name, calls, is_busy(name, service, calls, gateway), now)


def _record_slowness(
    exchange: GatewayExchange,
    answer: ReplicaAnswerHead,
    gateway: GatewayState,
    now: float,
) -> None:
    if not answer.slowness or answer.is_other_replica or exchange.replica is None:
        return
    replica = exchange.replica
    gateway.speeds.record_figure(replica.name, replica.service, answer.slowness, now)


@reduce.register
def _(event: ReplicaAnswerPiece, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    exchange = gateway.find_by_attempt(event.attempt) if gateway else None
    if exchange is None:
        return []
    if event.first >= 0 and event.last <= exchange.last_event:
        return []
    gap = _describe_gap(event, exchange)
    if gap:
        drop = CancelReplicaCall(exchange.attempt)
        return [drop, *_fail_defective_attempt(exchange, gap, state, now)]
    exchange.awaits_next_event = False
    if event.last >= 0:
        exchange.last_event = event.last
    return [
        RelayPiece(exchange.id, event.data),
        *_record_first_piece(exchange, state, now),
    ]


def _record_first_piece(
    exchange: GatewayExchange, state: State, now: float
) -> list[Effect]:
    """Record that the answer of an attempt has begun, if it has just begun."""
    if exchange.has_received_piece or state.gateway is None:
        return []
    exchange.has_received_piece = True
    if not exchange.expected_queue_time:
        delay = now - exchange.sent_at
        state.gateway.speeds.record_delay(
            exchange.service, exchange.speed_deviation, delay
        )
    return record_served_call(exchange.call, state.gateway.crashes, state, now)


def _describe_gap(event: ReplicaAnswerPiece, exchange: GatewayExchange) -> str:
    """Return why a piece does not follow what the caller has, or an empty string."""
    last = exchange.last_event
    if event.first < 0:
        if exchange.awaits_next_event:
            return "the stream goes on with an event that has no number"
        return ""
    is_next = event.first == last + 1 or (last < 0 and not exchange.awaits_next_event)
    return "" if is_next else f"event {event.first} arrived after event {last}"


@reduce.register
def _(event: ReplicaAnswerSkipped, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    exchange = gateway.find_by_attempt(event.attempt) if gateway else None
    if exchange is None or exchange.replica is None:
        return []
    details = (
        ("request", exchange.call.request_id),
        ("replica", exchange.replica.name),
        ("address", exchange.replica.address),
        ("answered", event.request_id),
        ("status", str(event.status)),
    )
    return [LogEvent("GW5118", details)]


@reduce.register
def _(event: ReplicaAnswerEnded, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    exchange = gateway.find_by_attempt(event.attempt) if gateway else None
    if gateway is None or exchange is None:
        return []
    record_duration(exchange.service, now - exchange.sent_at, gateway)
    log = LogEvent("GW5108", describe_call(exchange, gateway, now))
    served = _record_first_piece(exchange, state, now)
    gateway.remove_exchange(exchange)
    return [log, FinishAnswer(exchange.id), *served]


@reduce.register
def _(event: ReplicaCallFailed, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    exchange = gateway.find_by_attempt(event.attempt) if gateway else None
    if gateway is None or exchange is None:
        return []
    if event.failure is ReplicaFailure.MALFORMED:
        return _fail_defective_attempt(exchange, event.detail, state, now)
    if event.failure in BLAMELESS_FAILURES:
        return _fail_blameless_attempt(exchange, event, gateway, now)
    is_unsent = event.failure in UNSENT_FAILURES
    run_state = RunState.NOT_RUN if is_unsent else RunState.UNKNOWN
    lost: list[Effect] = []
    if exchange.replica is not None:
        gateway.backoff.record_failure(exchange.replica.name, now)
        lost += record_lost_connection(exchange.replica, event.failure, gateway, now)
        if event.failure is ReplicaFailure.UNREACHABLE:
            lost += record_outcome(exchange.replica, True, state, now)
        if event.failure is ReplicaFailure.CUT and not exchange.has_received_piece:
            lost += record_lost_call(
                exchange.call,
                exchange.was_lost,
                exchange.replica,
                gateway.crashes,
                now,
            )
            exchange.was_lost = True
            lost += record_outcome(exchange.replica, True, state, now)
    failed = handle_failed_attempt(
        exchange, run_state, event.detail, state, now, is_unsent
    )
    return [*lost, *failed]


def _fail_blameless_attempt(
    exchange: GatewayExchange,
    event: ReplicaCallFailed,
    gateway: GatewayState,
    now: float,
) -> list[Effect]:
    """End a call that would fail at any replica, and blame none of them."""
    details = (
        *describe_call(exchange, gateway, now),
        ("failure", event.failure.value),
        ("cause", event.detail),
    )
    is_unsent = event.failure is ReplicaFailure.UNSENDABLE
    problem = Problem(
        ProblemKind.UNSENDABLE if is_unsent else ProblemKind.ENDPOINT_FAILED,
        f"The router could not send the call: {event.detail}.",
        RunState.NOT_RUN if is_unsent else RunState.UNKNOWN,
    )
    return [
        LogEvent("GW5125", details),
        *fail_call(exchange, problem, gateway, now),
    ]


def handle_failed_attempt(
    exchange: GatewayExchange,
    run_state: RunState,
    detail: str,
    state: State,
    now: float,
    is_unsent: bool = False,
) -> list[Effect]:
    """Send a call to another replica after a failed attempt, or end it.

    `is_unsent` means that the call never reached the replica; such an attempt does not
    count towards the route's maximum.
    """
    gateway = state.gateway
    assert gateway is not None
    assert exchange.replica is not None
    name = exchange.replica.name
    gateway.detach_attempt(exchange)
    exchange.run_state = combine_run_states(run_state, exchange.run_state)
    if is_unsent:
        exchange.attempt_count -= 1
    is_repeated = _may_send_again(exchange, run_state, is_unsent, gateway)
    log = LogEvent(
        "GW5101",
        (
            *describe_call(exchange, gateway, now),
            ("cause", detail),
            ("begun", str(exchange.has_received_piece)),
            ("parts", " ".join(exchange.call.list_shared_parts())),
            ("repeated", str(is_repeated)),
            ("budget", f"{gateway.get_retry_budget(exchange.service).retries:.1f}"),
        ),
    )
    if is_repeated:
        return [log, *send_to_best_replica(exchange, gateway, state, now)]
    return [
        log,
        *fail_call(exchange, _describe_failure(exchange, name, detail), gateway, now),
    ]


def _may_send_again(
    exchange: GatewayExchange,
    run_state: RunState,
    is_unsent: bool,
    gateway: GatewayState,
) -> bool:
    if exchange.has_sent_head and not exchange.can_resume():
        return False
    if is_unsent:
        return (
            len(exchange.tried_replicas)
            < exchange.route.max_attempts + MAX_UNSENT_ATTEMPTS
        )
    if run_state is not RunState.NOT_RUN:
        return _may_repeat(exchange, gateway) and _spend_retry(exchange, gateway)
    has_attempts = exchange.attempt_count < exchange.route.max_attempts
    return has_attempts and _spend_retry(exchange, gateway)


def _may_repeat(exchange: GatewayExchange, gateway: GatewayState) -> bool:
    """Return whether a call that may have run can be sent to another replica."""
    route = exchange.route
    if (
        route.retry_policy is RetryPolicy.AT_MOST_ONCE
        or exchange.attempt_count >= route.max_attempts
    ):
        return False
    if exchange.has_sent_head and not exchange.can_resume():
        return False
    return gateway.get_retry_budget(exchange.service).retries >= 1


def _spend_retry(exchange: GatewayExchange, gateway: GatewayState) -> bool:
    return gateway.get_retry_budget(exchange.service).try_withdraw()


def _describe_failure(exchange: GatewayExchange, replica: str, detail: str) -> Problem:
    kind = ProblemKind.ENDPOINT_FAILED
    if exchange.run_state is RunState.NOT_RUN:
        kind = ProblemKind.OVERLOADED
    return Problem(
        kind,
        f"Replica {replica!r} of {exchange.service!r} did not serve the call: "
        f"{detail}; retry later if the call is safe to repeat.",
        exchange.run_state,
        RETRY_AFTER,
    )
