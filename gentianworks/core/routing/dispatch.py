"""Dispatch: validates a caller's request and sends it to an endpoint."""

from __future__ import annotations

from attrs import evolve

from gentianworks.core.admission.wait_estimates import is_closed
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.callers import AbortAnswer, RefuseRequest
from gentianworks.core.effects.dispatch import SendDispatch
from gentianworks.core.effects.lifecycle import SetTimer
from gentianworks.core.events.callers import (
    DeadlineReached,
    RequestArrived,
    RoutingRetryDue,
)
from gentianworks.core.events.dispatch import Dispatch
from gentianworks.core.events.ledger import ClaimRequired
from gentianworks.core.ledger.types import Claim
from gentianworks.core.quarantine.enforcement import check_quarantine
from gentianworks.core.reducer import reduce
from gentianworks.core.routing.backoff import choose_endpoint
from gentianworks.core.routing.exchanges import Exchange
from gentianworks.core.routing.placement import order_endpoints
from gentianworks.core.routing.retry import (
    MAX_ATTEMPTS,
    MAX_RESUME_WAITS,
    RESUME_WAIT,
    RETRY_AFTER,
    combine_run_states,
    compute_hop_timeout,
)
from gentianworks.core.state import State
from gentianworks.core.types import (
    Configuration,
    Endpoint,
    Problem,
    ProblemKind,
    Request,
    RunState,
)


@reduce.register
def _(event: RequestArrived, state: State, now: float) -> list[Effect]:
    problem = _check_request(event.request, state.configuration)
    if problem is not None:
        return [RefuseRequest(event.exchange, problem)]
    request = _complete_request(event.request, state.configuration)
    exchange = Exchange(event.exchange, request, deadline=now + request.timeout)
    state.router.exchanges[exchange.id] = exchange
    timer = SetTimer(exchange.deadline, DeadlineReached(exchange.id))
    return [timer, *start_exchange(exchange, state, now)]


def _complete_request(request: Request, configuration: Configuration) -> Request:
    service = configuration.find_service(request.service)
    if request.rank or service is None:
        return request
    return evolve(request, rank=service.default_rank)


def _check_request(request: Request, configuration: Configuration) -> Problem | None:
    if configuration.revision == 0:
        return Problem(
            ProblemKind.NOT_READY,
            "This router has not received a configuration yet; send the request again.",
            retry_after=RETRY_AFTER,
        )
    service = configuration.find_service(request.service)
    if service is None:
        return Problem(
            ProblemKind.NO_SUCH_SERVICE,
            f"Unknown service {request.service!r}; use a configured name.",
        )
    if configuration.find_workspace(request.workspace) is None:
        return Problem(
            ProblemKind.NO_SUCH_WORKSPACE,
            f"Unknown workspace {request.workspace!r}; use a configured name.",
        )
    rank = request.rank or service.default_rank
    if configuration.find_rank(rank) is None:
        return Problem(
            ProblemKind.NO_SUCH_RANK,
            f"Unknown rank {rank!r}; use a configured name, or have the "
            f"operators set default_rank for {request.service!r}.",
        )
    return None


def start_exchange(exchange: Exchange, state: State, now: float) -> list[Effect]:
    """Start serving an exchange.

    A request that isn't repeatable is claimed in the ledger before it is dispatched.
    """
    if not exchange.request.is_repeatable:
        return reduce(ClaimRequired(exchange.id), state, now)
    problem = check_quarantine(exchange.request, state, now)
    if problem is not None:
        return fail_exchange(exchange, problem, state)
    state.router.get_budget(exchange.request.service).deposit()
    return dispatch_next(exchange, state, now)


def dispatch_next(exchange: Exchange, state: State, now: float) -> list[Effect]:
    """Send an exchange to the next endpoint in its order, or end it with a problem."""
    endpoint = find_endpoint(exchange, state, now)
    if endpoint is None or exchange.attempts >= MAX_ATTEMPTS + exchange.resumes:
        if exchange.resumes and exchange.resume_waits < MAX_RESUME_WAITS:
            return _wait_for_endpoint(exchange, state, now)
        problem = exchange.last_refusal or _describe_refusal(exchange, state, now)
        return fail_exchange(exchange, problem, state)
    return send_attempt(exchange, endpoint, state, now)


def _describe_refusal(exchange: Exchange, state: State, now: float) -> Problem:
    request = exchange.request
    pool = state.configuration.list_endpoints(request.service)
    levels = [state.router.backoff.get_level(item.name, now) for item in pool]
    closed = [level for level in levels if is_closed(level, request)]
    return Problem(
        ProblemKind.OVERLOADED if closed else ProblemKind.NO_ENDPOINT,
        f"No endpoint of {request.service!r} can accept the request now; "
        f"send it again later.",
        retry_after=min((level.retry_after for level in closed), default=RETRY_AFTER),
    )


def _wait_for_endpoint(exchange: Exchange, state: State, now: float) -> list[Effect]:
    state.router.drop_attempt(exchange)
    exchange.resume_waits += 1
    exchange.attempts = 0
    exchange.tried_endpoints.clear()
    return [SetTimer(now + RESUME_WAIT, RoutingRetryDue(exchange.id))]


@reduce.register
def _(event: RoutingRetryDue, state: State, now: float) -> list[Effect]:
    exchange = state.router.exchanges.get(event.exchange)
    if exchange is None or exchange.attempt:
        return []
    return dispatch_next(exchange, state, now)


def find_endpoint(exchange: Exchange, state: State, now: float) -> Endpoint | None:
    """Return the next endpoint to try for an exchange, or None."""
    request = exchange.request
    backoff = state.router.backoff
    pool = [
        item
        for item in state.configuration.list_endpoints(request.service)
        if item.availability_zone not in state.evacuations.zones
    ]
    available = [item for item in pool if not backoff.is_unavailable(item.name, now)]
    usable = state.fleet.select_endpoints(available)
    order = [
        endpoint
        for endpoint in order_endpoints(request, exchange.id, usable)
        if endpoint.name not in exchange.tried_endpoints
    ]
    return choose_endpoint(order, request, backoff, now)


def send_attempt(
    exchange: Exchange,
    endpoint: Endpoint,
    state: State,
    now: float,
    claim: Claim | None = None,
) -> list[Effect]:
    """Send a new attempt of an exchange to `endpoint`, or the attempt of `claim`."""
    state.router.drop_attempt(exchange)
    exchange.attempt = claim.attempt if claim else state.create_id()
    exchange.attempts += 1
    exchange.endpoint = endpoint.name
    exchange.last_activity_at = now
    exchange.tried_endpoints.add(endpoint.name)
    exchange.progress.begin_attempt()
    state.router.exchange_of_attempt[exchange.attempt] = exchange.id
    dispatch = Dispatch(
        sender=state.node.name,
        attempt=exchange.attempt,
        endpoint=endpoint.name,
        incarnation=claim.incarnation if claim else 0,
        deadline=compute_hop_timeout(exchange.deadline - now),
        revision=state.configuration.revision,
        request=exchange.request,
        resume_after=exchange.progress.last_event,
        claim=claim,
        crashes=exchange.failures,
    )
    return [SendDispatch(exchange.id, endpoint.http_address, dispatch)]


def fail_exchange(exchange: Exchange, problem: Problem, state: State) -> list[Effect]:
    """End an exchange with a problem, and abort its answer if that has started."""
    state.router.remove_exchange(exchange)
    if exchange.has_started:
        return [AbortAnswer(exchange.id, evolve(problem, run_state=RunState.RAN))]
    run_state = combine_run_states(problem.run_state, exchange.run_state)
    return [RefuseRequest(exchange.id, evolve(problem, run_state=run_state))]
