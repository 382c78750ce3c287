"""Serving: a gateway's way from a call to an attempt at a replica."""

from __future__ import annotations

from attrs import evolve

from gentianworks.core.draws import draw_fraction
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.callers import AbortAnswer, RefuseRequest
from gentianworks.core.effects.gateway import CallReplica, DropCall
from gentianworks.core.effects.lifecycle import LogEvent, SetTimer
from gentianworks.core.events.gateway import (
    CallArrived,
    CallExpired,
    CallLeft,
    CallWaited,
    SilenceDue,
)
from gentianworks.core.gateway.admission import find_retry_after
from gentianworks.core.gateway.calls import Call
from gentianworks.core.gateway.details import describe_call
from gentianworks.core.gateway.placing import choose_replica
from gentianworks.core.gateway.replicas import Replica
from gentianworks.core.gateway.sources import find_source
from gentianworks.core.gateway.state import GatewayExchange, GatewayState
from gentianworks.core.gateway.tables import KeyHolder, Route
from gentianworks.core.gateway.waiting import (
    MAX_WAITING,
    WaitingCall,
    find_wait_end,
)
from gentianworks.core.reducer import reduce
from gentianworks.core.routing.retry import combine_run_states
from gentianworks.core.state import State
from gentianworks.core.types import ExchangeId, Problem, ProblemKind, RunState

RETRY_AFTER = 0.3  # seconds; about the time in which a replica or table is found
READY_TIME = 1.5  # seconds; an election at its longest, and a heartbeat
ANSWER_MARGIN = 0.02  # seconds; lets an answer at the deadline still reach the caller


@reduce.register
def _(event: CallArrived, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    assert gateway is not None
    waiting = WaitingCall(event.call, now)
    if gateway.is_ready():
        return _take(event.exchange, waiting, state, now)
    if len(gateway.waiting) >= MAX_WAITING:
        return _refuse_unready(event.exchange, event.call, gateway, now)
    gateway.waiting[event.exchange] = waiting
    due = find_wait_end(event.call, now)
    details = (("request", event.call.request_id), ("seconds", f"{due - now:.2f}"))
    return [LogEvent("GW5112", details), SetTimer(due, CallWaited(event.exchange))]


@reduce.register
def _(event: CallWaited, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    waiting = gateway.waiting.pop(event.exchange, None) if gateway else None
    if gateway is None or waiting is None:
        return []
    return _refuse_unready(event.exchange, waiting.call, gateway, now)


def take_waiting(state: State, now: float) -> list[Effect]:
    """Serve the calls that waited, once the routes and the replicas are known."""
    gateway = state.gateway
    if gateway is None or not gateway.is_ready():
        return []
    waiting, gateway.waiting = gateway.waiting, {}
    effects: list[Effect] = []
    for exchange, item in waiting.items():
        effects += _take(exchange, item, state, now)
    return effects


def _take(
    exchange_id: ExchangeId, waiting: WaitingCall, state: State, now: float
) -> list[Effect]:
    """Find a call's route and workspace, and send it to a replica."""
    gateway, call = state.gateway, waiting.call
    assert gateway is not None
    assert gateway.table is not None
    route = gateway.table.find_route(call.host, call.path)
    if route is None:
        problem = _describe_unknown(call)
        return _refuse_unplaced(exchange_id, call, problem, gateway)
    holder = gateway.table.find_holder(call.key) if call.key else None
    if holder is None and gateway.table.workspaces and not route.is_open:
        problem = _describe_key(call)
        return _refuse_unplaced(exchange_id, call, problem, gateway)
    time = min(call.timeout, route.timeout)
    exchange = GatewayExchange(
        id=exchange_id,
        call=call,
        route=route,
        service=choose_service(route, call),
        workspace=holder.name if holder else "",
        rank=choose_rank(route, holder),
        arrived_at=waiting.arrived_at,
        deadline=waiting.arrived_at + time - ANSWER_MARGIN,
        last_event=call.last_event,
    )
    gateway.exchanges[exchange.id] = exchange
    gateway.find_budget(exchange.service).deposit()
    timer = SetTimer(exchange.deadline, CallExpired(exchange.id))
    return [timer, *send_next(exchange, gateway, state, now)]


def choose_rank(route: Route, holder: KeyHolder | None) -> int:
    """Return the rank of a call: that of its workspace before that of its route."""
    if holder is None or holder.rank is None:
        return route.rank
    return holder.rank


def choose_service(route: Route, call: Call) -> str:
    """Return the service of a call, drawn by the weights of its route's shares."""
    if len(route.shares) == 1:
        return route.shares[0].service
    drawn = draw_fraction(f"share/{call.request_id}")
    left = drawn * sum(share.weight for share in route.shares)
    for share in route.shares:
        left -= share.weight
        if left < 0:
            return share.service
    return route.shares[-1].service


def send_next(
    exchange: GatewayExchange, gateway: GatewayState, state: State, now: float
) -> list[Effect]:
    """Send a call to the replica that is best for it, or refuse it."""
    replica = choose_replica(
        exchange.service, exchange.call, exchange.tried, gateway, now
    )
    if replica is None:
        return refuse(exchange, _describe_none(exchange), gateway, now)
    retry_after = find_retry_after(exchange, replica, gateway, now)
    if retry_after:
        problem = _describe_full(exchange, retry_after)
        return refuse(exchange, problem, gateway, now)
    return send_attempt(exchange, replica, gateway, state, now)


def send_attempt(
    exchange: GatewayExchange,
    replica: Replica,
    gateway: GatewayState,
    state: State,
    now: float,
) -> list[Effect]:
    """Return the effects that send a call to a replica and watch for its answer."""
    gateway.drop_attempt(exchange)
    exchange.attempt = state.create_id()
    exchange.attempts += 1
    exchange.replica = replica
    exchange.sent_at = now
    exchange.has_head = False
    exchange.tried.add(replica.name)
    gateway.book.get_load(replica.name).own += 1
    gateway.exchange_of_attempt[exchange.attempt] = exchange.id
    silence = gateway.health.find_silence(
        exchange.service, exchange.route.latency_objective
    )
    sent = CallReplica(
        exchange=exchange.id,
        attempt=exchange.attempt,
        replica=replica,
        call=exchange.call,
        timeout=max(0.0, exchange.deadline - now),
        workspace=exchange.workspace,
        urgency=exchange.rank,
        resume_after=exchange.last_event,
        repetition=exchange.route.repetition,
        source=find_source(exchange.call, replica, gateway, now),
    )
    return [sent, SetTimer(now + silence, SilenceDue(exchange.attempt))]


def refuse(
    exchange: GatewayExchange, problem: Problem, gateway: GatewayState, now: float
) -> list[Effect]:
    """End a call with a problem, cutting its answer off if it has begun."""
    exchange.run_state = combine_run_states(problem.run_state, exchange.run_state)
    details = (
        *describe_call(exchange, gateway, now),
        ("problem", problem.kind.value),
        ("started", str(exchange.has_started)),
        ("retry_after", f"{problem.retry_after:.2f}"),
        ("detail", problem.detail),
    )
    effects: list[Effect] = [LogEvent("GW5107", details)]
    if exchange.attempt:
        effects.append(DropCall(exchange.attempt))
    gateway.forget(exchange)
    if exchange.has_started:
        return [*effects, AbortAnswer(exchange.id, problem)]
    told = evolve(problem, run_state=exchange.run_state)
    return [*effects, RefuseRequest(exchange.id, told)]


def _refuse_unready(
    exchange_id: ExchangeId, call: Call, gateway: GatewayState, now: float
) -> list[Effect]:
    problem = _describe_unready(gateway, now)
    return _refuse_unplaced(exchange_id, call, problem, gateway)


def _refuse_unplaced(
    exchange_id: ExchangeId, call: Call, problem: Problem, gateway: GatewayState
) -> list[Effect]:
    table = gateway.table
    details = (
        ("request", call.request_id),
        ("host", call.host),
        ("path", call.path),
        ("problem", problem.kind.value),
        ("table", str(table.revision if table else 0)),
        ("replicas", str(len(gateway.book.replicas))),
    )
    return [LogEvent("GW5111", details), RefuseRequest(exchange_id, problem)]


@reduce.register
def _(event: CallExpired, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    exchange = gateway.exchanges.get(event.exchange) if gateway else None
    if gateway is None or exchange is None:
        return []
    problem = Problem(
        ProblemKind.DEADLINE_PASSED,
        f"Route {exchange.route.name!r} did not answer in time; send the call again "
        f"with more time, or when the service is less busy.",
        RunState.UNKNOWN,
    )
    return refuse(exchange, problem, gateway, now)


@reduce.register
def _(event: CallLeft, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    if gateway is None:
        return []
    waiting = gateway.waiting.pop(event.exchange, None)
    if waiting is not None:
        return [LogEvent("GW5109", (("request", waiting.call.request_id),))]
    exchange = gateway.exchanges.get(event.exchange)
    if exchange is None:
        return []
    attempt = exchange.attempt
    log = LogEvent("GW5109", describe_call(exchange, gateway, now))
    gateway.forget(exchange)
    return [log, DropCall(attempt)] if attempt else [log]


def _describe_unready(gateway: GatewayState, now: float) -> Problem:
    lacks = "list of replicas" if gateway.table else "table of routes"
    return Problem(
        ProblemKind.NOT_READY,
        f"This router has no {lacks} yet; send the call again.",
        retry_after=max(RETRY_AFTER, gateway.started_at + READY_TIME - now),
    )


def _describe_unknown(call: Call) -> Problem:
    return Problem(
        ProblemKind.NO_SUCH_ROUTE,
        f"No route of host {call.host!r} begins the path {call.path!r}; "
        f"use a declared one.",
    )


def _describe_key(call: Call) -> Problem:
    got = "an unknown API key" if call.key else "no API key"
    return Problem(
        ProblemKind.UNAUTHENTICATED, f"The call has {got}; send one of a workspace."
    )


def _describe_none(exchange: GatewayExchange) -> Problem:
    return Problem(
        ProblemKind.NO_ENDPOINT,
        f"No replica of {exchange.service!r} can take the call now; "
        f"send it again later.",
        retry_after=RETRY_AFTER,
    )


def _describe_full(exchange: GatewayExchange, retry_after: float) -> Problem:
    return Problem(
        ProblemKind.OVERLOADED,
        f"All replicas of {exchange.service!r} are busy for longer than the call "
        f"can wait; send it again after {retry_after:.1f} s.",
        retry_after=retry_after,
    )
