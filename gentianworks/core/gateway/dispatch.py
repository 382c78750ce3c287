"""Dispatch: accepts calls and sends each to a replica, or refuses it."""

from __future__ import annotations

from attrs import evolve

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.callers import AbortAnswer, RefuseRequest
from gentianworks.core.effects.gateway import CallReplica, CancelReplicaCall
from gentianworks.core.effects.lifecycle import LogEvent, SetTimer
from gentianworks.core.events.gateway import (
    AnswerStartOverdue,
    CallAbandoned,
    CallArrived,
    CallExpired,
    CallWaitExpired,
    GraceEnding,
)
from gentianworks.core.gateway.admission import (
    DEFAULT_DURATION,
    compute_retry_after,
    expect_delay,
)
from gentianworks.core.gateway.calls import Call
from gentianworks.core.gateway.crashes import check_call
from gentianworks.core.gateway.log_details import describe_call
from gentianworks.core.gateway.replicas import Replica
from gentianworks.core.gateway.route_table import RetryPolicy, Route, WorkspaceKeys
from gentianworks.core.gateway.startup_queue import (
    MAX_QUEUED_CALLS,
    QueuedCall,
    compute_queue_deadline,
)
from gentianworks.core.gateway.state import GatewayExchange, GatewayState
from gentianworks.core.hashing import hash_to_fraction
from gentianworks.core.placement.choice import choose_replica
from gentianworks.core.placement.prompt_sources import find_prompt_source
from gentianworks.core.reducer import reduce
from gentianworks.core.request_limits.checks import (
    check_limits,
    record_arrived_call,
    record_sent_call,
)
from gentianworks.core.routing.retry import combine_run_states
from gentianworks.core.state import State
from gentianworks.core.types import ExchangeId, Problem, ProblemKind, RunState

RETRY_AFTER = 0.3  # seconds; about the time to discover a replica or receive a table
EVACUATION_RETRY_AFTER = 2.0  # seconds; an operator decides when a zone reopens
MAX_STARTUP_TIME = 1.5  # seconds; the longest election and a heartbeat
GRACE_DURATION_MULTIPLE = 2.0  # of the mean; covers most calls of a service
ANSWER_MARGIN = 0.02  # seconds; lets an answer at the deadline still reach the caller


@reduce.register
def _(event: CallArrived, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    assert gateway is not None
    queued = QueuedCall(event.call, now)
    if gateway.is_ready():
        return _dispatch(event.exchange, queued, state, now)
    if len(gateway.startup_queue) >= MAX_QUEUED_CALLS:
        return _refuse_not_ready(event.exchange, event.call, gateway, now)
    gateway.startup_queue[event.exchange] = queued
    due = compute_queue_deadline(event.call, now)
    details = (("request", event.call.request_id), ("seconds", f"{due - now:.2f}"))
    return [LogEvent("GW5112", details), SetTimer(due, CallWaitExpired(event.exchange))]


@reduce.register
def _(event: CallWaitExpired, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    queued = gateway.startup_queue.pop(event.exchange, None) if gateway else None
    if gateway is None or queued is None:
        return []
    return _refuse_not_ready(event.exchange, queued.call, gateway, now)


def dispatch_queued_calls(state: State, now: float) -> list[Effect]:
    """Dispatch the calls of the startup queue once routes and replicas are known."""
    gateway = state.gateway
    if gateway is None or not gateway.is_ready():
        return []
    queue, gateway.startup_queue = gateway.startup_queue, {}
    effects: list[Effect] = []
    for exchange, queued in queue.items():
        effects += _dispatch(exchange, queued, state, now)
    return effects


def _dispatch(
    exchange_id: ExchangeId, queued: QueuedCall, state: State, now: float
) -> list[Effect]:
    """Look up a call's route and workspace, and send the call to a replica."""
    gateway, call = state.gateway, queued.call
    assert gateway is not None
    assert gateway.table is not None
    route = gateway.table.find_route(call.host, call.path)
    if route is None:
        problem = _describe_no_route(call)
        return _refuse_unrouted(exchange_id, call, problem, gateway)
    workspace = gateway.table.find_workspace(call.api_key) if call.api_key else None
    if workspace is None and gateway.table.needs_key(route):
        problem = _describe_unauthenticated(call)
        return _refuse_unrouted(exchange_id, call, problem, gateway)
    timeout = min(call.timeout, route.timeout)
    exchange = GatewayExchange(
        id=exchange_id,
        call=call,
        route=route,
        service=choose_service(route, call),
        workspace=workspace.name if workspace else "",
        rank=choose_rank(route, workspace),
        arrived_at=queued.arrived_at,
        deadline=queued.arrived_at + timeout - ANSWER_MARGIN,
        last_event=call.last_event,
    )
    gateway.exchanges[exchange.id] = exchange
    gateway.get_retry_budget(exchange.service).deposit()
    record_arrived_call(exchange, gateway, now)
    timer = SetTimer(exchange.deadline, CallExpired(exchange.id))
    if would_outlast_grace(exchange, gateway, state, now):
        problem = _describe_departure(state, RunState.NOT_RUN)
        return fail_call(exchange, problem, gateway, now)
    return [timer, *send_to_best_replica(exchange, gateway, state, now)]


def would_outlast_grace(
    exchange: GatewayExchange, gateway: GatewayState, state: State, now: float
) -> bool:
    """Return whether this process may be killed before a call is answered.

    A call that must not be repeated is taken only if its deadline comes first.
    """
    if exchange.route.retry_policy is RetryPolicy.AT_MOST_ONCE:
        return exchange.deadline > state.last_answer_at
    duration = gateway.mean_durations.get(exchange.service, DEFAULT_DURATION)
    return now + GRACE_DURATION_MULTIPLE * duration > state.last_answer_at


@reduce.register
def _(event: GraceEnding, state: State, now: float) -> list[Effect]:
    """Answer the calls that are still open, before they are cut without an answer."""
    gateway = state.gateway
    if gateway is None:
        return []
    effects: list[Effect] = []
    for exchange in list(gateway.exchanges.values()):
        run_state = RunState.UNKNOWN if exchange.attempt else RunState.NOT_RUN
        problem = _describe_departure(state, run_state)
        effects += fail_call(exchange, problem, gateway, now)
    queue, gateway.startup_queue = gateway.startup_queue, {}
    for exchange_id, queued in queue.items():
        effects += _refuse_not_ready(exchange_id, queued.call, gateway, now)
    return effects


def choose_rank(route: Route, workspace: WorkspaceKeys | None) -> int:
    """Return the rank of a call; the workspace's rank overrides the route's."""
    if workspace is None or workspace.rank is None:
        return route.rank
    return workspace.rank


def choose_service(route: Route, call: Call) -> str:
    """Return the service of a call, drawn by the weights of the route's shares.

    The draw depends on the request's id alone, so repeats go to the same service.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    drawn = hash_to_fraction(f"share/{call.request_id}")
    remaining = drawn * sum(share.weight for share in route.shares)
    for share in route.shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return route.shares[-1].service


def send_to_best_replica(
    exchange: GatewayExchange, gateway: GatewayState, state: State, now: float
) -> list[Effect]:
    """Send a call to the replica that placement chooses, or refuse the call."""
    check = check_call(exchange, gateway.crashes, state, now)
    if check.problem is not None:
        return fail_call(exchange, check.problem, gateway, now)
    if check.is_held:
        return list(check.effects)
    return [*check.effects, *_place_call(exchange, gateway, state, now)]


def _place_call(
    exchange: GatewayExchange, gateway: GatewayState, state: State, now: float
) -> list[Effect]:
    limitation = check_limits(exchange, gateway, state, now)
    if limitation is not None:
        return fail_call(exchange, limitation, gateway, now)
    replica = choose_replica(
        exchange.service,
        exchange.call,
        exchange.tried_replicas,
        gateway,
        now,
        has_further_attempt(exchange),
    )
    if replica is None:
        problem = _describe_no_replica(exchange, gateway)
        return fail_call(exchange, problem, gateway, now)
    retry_after = compute_retry_after(exchange, replica, gateway, now)
    if retry_after:
        problem = _describe_overload(exchange, retry_after)
        return fail_call(exchange, problem, gateway, now)
    return send_attempt(exchange, replica, gateway, state, now)


def has_further_attempt(exchange: GatewayExchange) -> bool:
    """Return whether a call may be sent again after its next attempt."""
    route = exchange.route
    if route.retry_policy is RetryPolicy.AT_MOST_ONCE:
        return False
    return exchange.attempt_count + 1 < route.max_attempts


def send_attempt(
    exchange: GatewayExchange,
    replica: Replica,
    gateway: GatewayState,
    state: State,
    now: float,
) -> list[Effect]:
    """Return the effects that send a call to a replica and time its silence."""
    gateway.detach_attempt(exchange)
    exchange.attempt = state.create_id()
    exchange.attempt_count += 1
    exchange.replica = replica
    exchange.sent_at = now
    exchange.has_received_head = False
    exchange.has_received_piece = False
    exchange.awaits_next_event = exchange.has_sent_head
    expected_delay = expect_delay(exchange, replica, gateway, now)
    exchange.tried_replicas.add(replica.name)
    gateway.registry.get_load(replica.name).own_calls += 1
    record_sent_call(exchange, replica, gateway, now)
    gateway.exchange_of_attempt[exchange.attempt] = exchange.id
    silence_timeout = gateway.health.compute_silence_timeout(
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
        retry_policy=exchange.route.retry_policy,
        source=find_prompt_source(exchange.call, replica, gateway, now),
        expected_delay=expected_delay,
    )
    return [sent, SetTimer(now + silence_timeout, AnswerStartOverdue(exchange.attempt))]


def fail_call(
    exchange: GatewayExchange, problem: Problem, gateway: GatewayState, now: float
) -> list[Effect]:
    """End a call with a problem, or abort its answer if it has begun."""
    exchange.run_state = combine_run_states(problem.run_state, exchange.run_state)
    details = (
        *describe_call(exchange, gateway, now),
        ("problem", problem.kind.value),
        ("started", str(exchange.has_sent_head)),
        ("retry_after", f"{problem.retry_after:.2f}"),
        ("detail", problem.detail),
    )
    effects: list[Effect] = [LogEvent("GW5107", details)]
    if exchange.attempt:
        effects.append(CancelReplicaCall(exchange.attempt))
    gateway.remove_exchange(exchange)
    if exchange.has_sent_head:
        return [*effects, AbortAnswer(exchange.id, problem)]
    reported = evolve(problem, run_state=exchange.run_state)
    return [*effects, RefuseRequest(exchange.id, reported)]


def _refuse_not_ready(
    exchange_id: ExchangeId, call: Call, gateway: GatewayState, now: float
) -> list[Effect]:
    problem = _describe_not_ready(gateway, now)
    return _refuse_unrouted(exchange_id, call, problem, gateway)


def _refuse_unrouted(
    exchange_id: ExchangeId, call: Call, problem: Problem, gateway: GatewayState
) -> list[Effect]:
    table = gateway.table
    details = (
        ("request", call.request_id),
        ("host", call.host),
        ("path", call.path),
        ("problem", problem.kind.value),
        ("table", str(table.revision if table else 0)),
        ("replicas", str(len(gateway.registry.replicas))),
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
        f"Route {exchange.route.name!r} did not answer before the call's deadline; "
        f"retry with a longer timeout or when the service is less busy.",
        RunState.UNKNOWN,
    )
    return fail_call(exchange, problem, gateway, now)


@reduce.register
def _(event: CallAbandoned, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    if gateway is None:
        return []
    queued = gateway.startup_queue.pop(event.exchange, None)
    if queued is not None:
        return [LogEvent("GW5109", (("request", queued.call.request_id),))]
    exchange = gateway.exchanges.get(event.exchange)
    if exchange is None:
        return []
    attempt = exchange.attempt
    log = LogEvent("GW5109", describe_call(exchange, gateway, now))
    gateway.remove_exchange(exchange)
    return [log, CancelReplicaCall(attempt)] if attempt else [log]


def _describe_not_ready(gateway: GatewayState, now: float) -> Problem:
    missing = "list of replicas" if gateway.table else "route table"
    return Problem(
        ProblemKind.NOT_READY,
        f"This router has not received a {missing} yet; retry the call.",
        retry_after=max(RETRY_AFTER, gateway.started_at + MAX_STARTUP_TIME - now),
    )


def _describe_departure(state: State, run_state: RunState) -> Problem:
    return Problem(
        ProblemKind.NOT_READY,
        f"Router {state.node.name!r} stops before it could answer the call; "
        f"send it to another router.",
        run_state,
        RETRY_AFTER,
    )


def _describe_no_route(call: Call) -> Problem:
    return Problem(
        ProblemKind.NO_SUCH_ROUTE,
        f"No route of host {call.host!r} has a prefix of the path {call.path!r}; "
        f"use a declared host and path.",
    )


def _describe_unauthenticated(call: Call) -> Problem:
    got = "an unknown API key" if call.api_key else "no API key"
    return Problem(
        ProblemKind.UNAUTHENTICATED,
        f"The call has {got}; send the API key of a workspace.",
    )


def _describe_no_replica(exchange: GatewayExchange, gateway: GatewayState) -> Problem:
    registry = gateway.registry
    if not registry.list_usable(exchange.service) and registry.count_evacuated(
        exchange.service
    ):
        return Problem(
            ProblemKind.NO_ENDPOINT,
            f"The availability zones of all replicas of {exchange.service!r} are "
            f"evacuated; retry when one is open again.",
            retry_after=EVACUATION_RETRY_AFTER,
        )
    return Problem(
        ProblemKind.NO_ENDPOINT,
        f"No replica of {exchange.service!r} is available for the call; retry later.",
        retry_after=RETRY_AFTER,
    )


def _describe_overload(exchange: GatewayExchange, retry_after: float) -> Problem:
    return Problem(
        ProblemKind.OVERLOADED,
        f"All replicas of {exchange.service!r} are busy for longer than the call "
        f"can wait; retry after {retry_after:.1f} s.",
        retry_after=retry_after,
    )
