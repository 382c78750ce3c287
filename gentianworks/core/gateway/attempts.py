"""Attempts: what becomes of a call at a replica, and whether it is sent again."""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.callers import FinishAnswer, RelayPiece, StartAnswer
from gentianworks.core.effects.gateway import DropCall
from gentianworks.core.effects.lifecycle import LogEvent
from gentianworks.core.events.gateway import (
    ReplicaAnswer,
    ReplicaAnswered,
    ReplicaEnded,
    ReplicaFailed,
    ReplicaFailure,
    ReplicaPiece,
    SilenceDue,
)
from gentianworks.core.gateway.admission import note_duration
from gentianworks.core.gateway.details import describe_call
from gentianworks.core.gateway.serving import RETRY_AFTER, refuse, send_next
from gentianworks.core.gateway.state import GatewayExchange, GatewayState
from gentianworks.core.gateway.tables import Repetition
from gentianworks.core.reducer import reduce
from gentianworks.core.routing.retry import combine_run_states
from gentianworks.core.state import State
from gentianworks.core.types import Problem, ProblemKind, RunState

MAX_UNSENT = 3  # replicas that a call may fail to reach, besides its attempts
MIN_STATUS_FAILURE = 500
UNRUN_STATUSES = frozenset({408, 421, 429, 503})  # a caller takes them for not run


@reduce.register
def _(event: ReplicaAnswered, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    exchange = gateway.find_by_attempt(event.attempt) if gateway else None
    if gateway is None or exchange is None or exchange.replica is None:
        return []
    answer = event.answer
    exchange.has_head = True
    _note_health(exchange, answer, gateway, now)
    _note_load(exchange, answer, gateway, now)
    if answer.is_other:
        gateway.book.mark_stranger(exchange.replica.name)
    if answer.is_unrun:
        detail = f"the replica refused it with status {answer.status}"
        drop = DropCall(exchange.attempt)
        # The replica that was meant never got a call that another one turned away.
        is_unsent = answer.is_other
        lost = lose(exchange, RunState.NOT_RUN, detail, state, now, is_unsent)
        return [drop, *lost]
    fault = _find_fault(exchange, answer, gateway)
    if fault:
        drop = DropCall(exchange.attempt)
        return [drop, *lose(exchange, RunState.RAN, fault, state, now)]
    return _start(exchange, answer, gateway, now)


def _find_fault(
    exchange: GatewayExchange, answer: ReplicaAnswer, gateway: GatewayState
) -> str:
    """Return why an answer can't be passed on, or an empty text."""
    status = answer.status
    if not answer.is_signed and status < MIN_STATUS_FAILURE:
        return f"the answer with status {status} is not signed"
    if status in UNRUN_STATUSES:
        return f"the replica gave status {status} without saying that it did not run"
    is_failure = status >= MIN_STATUS_FAILURE
    if is_failure and (exchange.has_started or _may_repeat(exchange, gateway)):
        return f"the replica failed with status {status}"
    return ""


def _start(
    exchange: GatewayExchange,
    answer: ReplicaAnswer,
    gateway: GatewayState,
    now: float,
) -> list[Effect]:
    assert exchange.replica is not None
    gateway.avoidance.record_contact(exchange.replica.name)
    if exchange.has_started:
        return []
    exchange.has_started = True
    name = exchange.replica.name
    return [StartAnswer(exchange.id, answer.status, answer.headers, name)]


def _note_health(
    exchange: GatewayExchange, answer: ReplicaAnswer, gateway: GatewayState, now: float
) -> None:
    if exchange.replica is None or answer.is_other:
        return
    gateway.health.note(
        exchange.replica.name,
        exchange.service,
        now - exchange.sent_at,
        answer.status >= MIN_STATUS_FAILURE,
        now,
    )


@reduce.register
def _(event: SilenceDue, state: State, now: float) -> list[Effect]:
    """Leave a replica that has answered nobody since the call was sent to it."""
    gateway = state.gateway
    exchange = gateway.find_by_attempt(event.attempt) if gateway else None
    if gateway is None or exchange is None or exchange.replica is None:
        return []
    name = exchange.replica.name
    if exchange.has_head or gateway.health.has_answered_since(name, exchange.sent_at):
        return []
    gateway.avoidance.record_failure(name, now)
    if not _may_repeat(exchange, gateway):
        return [LogEvent("GW5110", describe_call(exchange, gateway, now))]
    detail = f"the replica was silent for {now - exchange.sent_at:.2f} s"
    drop = DropCall(exchange.attempt)
    return [drop, *lose(exchange, RunState.UNKNOWN, detail, state, now)]


def _note_load(
    exchange: GatewayExchange, answer: ReplicaAnswer, gateway: GatewayState, now: float
) -> None:
    if answer.running < 0 or exchange.replica is None:
        return
    load = gateway.book.get_load(exchange.replica.name)
    load.take(answer.running + max(0, answer.waiting), now)


@reduce.register
def _(event: ReplicaPiece, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    exchange = gateway.find_by_attempt(event.attempt) if gateway else None
    if exchange is None:
        return []
    if event.first >= 0 and event.first <= exchange.last_event:
        return []
    if event.first > exchange.last_event + 1 and exchange.last_event >= 0:
        detail = f"event {event.first} came after {exchange.last_event}"
        drop = DropCall(exchange.attempt)
        return [drop, *lose(exchange, RunState.RAN, detail, state, now)]
    if event.last >= 0:
        exchange.last_event = event.last
    return [RelayPiece(exchange.id, event.data)]


@reduce.register
def _(event: ReplicaEnded, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    exchange = gateway.find_by_attempt(event.attempt) if gateway else None
    if gateway is None or exchange is None:
        return []
    note_duration(exchange.service, now - exchange.sent_at, gateway)
    log = LogEvent("GW5108", describe_call(exchange, gateway, now))
    gateway.forget(exchange)
    return [log, FinishAnswer(exchange.id)]


@reduce.register
def _(event: ReplicaFailed, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    exchange = gateway.find_by_attempt(event.attempt) if gateway else None
    if gateway is None or exchange is None:
        return []
    is_unsent = event.failure is ReplicaFailure.NOT_SENT
    run_state = RunState.NOT_RUN if is_unsent else RunState.UNKNOWN
    if exchange.replica is not None:
        gateway.avoidance.record_failure(exchange.replica.name, now)
    return lose(exchange, run_state, event.detail, state, now, is_unsent)


def lose(
    exchange: GatewayExchange,
    run_state: RunState,
    detail: str,
    state: State,
    now: float,
    is_unsent: bool = False,
) -> list[Effect]:
    """Go on after a failed attempt: send the call again, or end it."""
    gateway = state.gateway
    assert gateway is not None
    assert exchange.replica is not None
    name = exchange.replica.name
    gateway.drop_attempt(exchange)
    exchange.run_state = combine_run_states(run_state, exchange.run_state)
    if is_unsent:
        exchange.attempts -= 1
    is_repeated = _may_send_again(exchange, run_state, is_unsent, gateway)
    log = LogEvent(
        "GW5101",
        (
            *describe_call(exchange, gateway, now),
            ("cause", detail),
            ("repeated", str(is_repeated)),
            ("budget", f"{gateway.find_budget(exchange.service).retries:.1f}"),
        ),
    )
    if is_repeated:
        return [log, *send_next(exchange, gateway, state, now)]
    return [log, *refuse(exchange, _describe(exchange, name, detail), gateway, now)]


def _may_send_again(
    exchange: GatewayExchange,
    run_state: RunState,
    is_unsent: bool,
    gateway: GatewayState,
) -> bool:
    if is_unsent:
        return len(exchange.tried) < exchange.route.max_attempts + MAX_UNSENT
    if run_state is not RunState.NOT_RUN:
        return _may_repeat(exchange, gateway) and _spend(exchange, gateway)
    if exchange.has_started and exchange.route.repetition is Repetition.ONCE:
        return False
    has_attempts = exchange.attempts < exchange.route.max_attempts
    return has_attempts and _spend(exchange, gateway)


def _may_repeat(exchange: GatewayExchange, gateway: GatewayState) -> bool:
    """Tell whether a call that may have run can be sent to another replica."""
    route = exchange.route
    if route.repetition is Repetition.ONCE or exchange.attempts >= route.max_attempts:
        return False
    if exchange.has_started and route.repetition is not Repetition.RESUMABLE:
        return False
    return gateway.find_budget(exchange.service).retries >= 1


def _spend(exchange: GatewayExchange, gateway: GatewayState) -> bool:
    return gateway.find_budget(exchange.service).try_withdraw()


def _describe(exchange: GatewayExchange, replica: str, detail: str) -> Problem:
    kind = ProblemKind.ENDPOINT_FAILED
    if exchange.run_state is RunState.NOT_RUN:
        kind = ProblemKind.OVERLOADED
    return Problem(
        kind,
        f"Replica {replica!r} of {exchange.service!r} did not serve the call: "
        f"{detail}; send it again later if it may be repeated.",
        exchange.run_state,
        RETRY_AFTER,
    )
