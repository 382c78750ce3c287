"""Routing: a router's way from a caller's request to an attempt at an endpoint."""

from __future__ import annotations

from attrs import evolve

from gentianworks.core.admission.admission import is_closed
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.callers import AbortAnswer, RefuseRequest
from gentianworks.core.effects.dispatch import SendDispatch
from gentianworks.core.effects.lifecycle import SetTimer
from gentianworks.core.events.callers import (
    DeadlineReached,
    RequestArrived,
    ResumeDue,
)
from gentianworks.core.events.dispatch import Dispatch
from gentianworks.core.events.ledger import ClaimDue
from gentianworks.core.ledger.types import Claim
from gentianworks.core.quarantine.enforcement import check_quarantine
from gentianworks.core.reducer import reduce
from gentianworks.core.routing.avoidance import choose_endpoint
from gentianworks.core.routing.exchanges import Exchange
from gentianworks.core.routing.placement import place_request
from gentianworks.core.routing.retry import (
    MAX_ATTEMPTS,
    MAX_RESUME_WAITS,
    RESUME_WAIT,
    RETRY_AFTER,
    combine_run_states,
    shrink_deadline,
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
            "This router has no configuration yet; send the request again.",
            retry_after=RETRY_AFTER,
        )
    service = configuration.find_service(request.service)
    if service is None:
        return Problem(
            ProblemKind.NO_SUCH_SERVICE,
            f"No service is called {request.service!r}; use a configured name.",
        )
    if configuration.find_workspace(request.workspace) is None:
        return Problem(
            ProblemKind.NO_SUCH_WORKSPACE,
            f"No workspace is called {request.workspace!r}; use a configured name.",
        )
    rank = request.rank or service.default_rank
    if configuration.find_rank(rank) is None:
        return Problem(
            ProblemKind.NO_SUCH_RANK,
            f"No rank is called {rank!r}; name a configured one, or have the "
            f"operators set default_rank for {request.service!r}.",
        )
    return None


def start_exchange(exchange: Exchange, state: State, now: float) -> list[Effect]:
    """Begin to serve an exchange.

    Work that is not to be repeated branches off here.
    """
    if not exchange.request.is_repeatable:
        return reduce(ClaimDue(exchange.id), state, now)
    problem = check_quarantine(exchange.request, state, now)
    if problem is not None:
        return refuse(exchange, problem, state)
    state.router.find_budget(exchange.request.service).earn()
    return dispatch_next(exchange, state, now)


def dispatch_next(exchange: Exchange, state: State, now: float) -> list[Effect]:
    """Send an exchange to the next endpoint in its order, or refuse it."""
    endpoint = find_endpoint(exchange, state, now)
    if endpoint is None or exchange.attempts >= MAX_ATTEMPTS + exchange.resumes:
        if exchange.resumes and exchange.waits < MAX_RESUME_WAITS:
            return _wait_for_endpoint(exchange, state, now)
        problem = exchange.last_refusal or _describe_refusal(exchange, state, now)
        return refuse(exchange, problem, state)
    return send_attempt(exchange, endpoint, state, now)


def _describe_refusal(exchange: Exchange, state: State, now: float) -> Problem:
    request = exchange.request
    pool = state.configuration.list_endpoints(request.service)
    levels = [state.router.avoidance.find_level(item.name, now) for item in pool]
    closed = [level for level in levels if is_closed(level, request)]
    return Problem(
        ProblemKind.OVERLOADED if closed else ProblemKind.NO_ENDPOINT,
        f"No endpoint of {request.service!r} can take the request now; "
        f"send it again later.",
        retry_after=min((level.retry_after for level in closed), default=RETRY_AFTER),
    )


def _wait_for_endpoint(exchange: Exchange, state: State, now: float) -> list[Effect]:
    state.router.drop_attempt(exchange)
    exchange.waits += 1
    exchange.attempts = 0
    exchange.tried.clear()
    return [SetTimer(now + RESUME_WAIT, ResumeDue(exchange.id))]


@reduce.register
def _(event: ResumeDue, state: State, now: float) -> list[Effect]:
    exchange = state.router.exchanges.get(event.exchange)
    if exchange is None or exchange.attempt:
        return []
    return dispatch_next(exchange, state, now)


def find_endpoint(exchange: Exchange, state: State, now: float) -> Endpoint | None:
    """Return the endpoint that an exchange is to try next, or None."""
    request = exchange.request
    avoidance = state.router.avoidance
    pool = state.configuration.list_endpoints(request.service)
    present = [item for item in pool if not avoidance.is_gone(item.name, now)]
    usable = state.fleet.select_endpoints(present)
    order = [
        endpoint
        for endpoint in place_request(request, exchange.id, usable)
        if endpoint.name not in exchange.tried
    ]
    return choose_endpoint(order, request, avoidance, now)


def send_attempt(
    exchange: Exchange,
    endpoint: Endpoint,
    state: State,
    now: float,
    claim: Claim | None = None,
) -> list[Effect]:
    """Make a new attempt of an exchange at `endpoint`, or the one it has claimed."""
    state.router.drop_attempt(exchange)
    exchange.attempt = claim.attempt if claim else state.create_id()
    exchange.attempts += 1
    exchange.endpoint = endpoint.name
    exchange.heard_at = now
    exchange.tried.add(endpoint.name)
    exchange.progress.begin_attempt()
    state.router.exchange_of_attempt[exchange.attempt] = exchange.id
    dispatch = Dispatch(
        sender=state.node.name,
        attempt=exchange.attempt,
        endpoint=endpoint.name,
        incarnation=claim.incarnation if claim else 0,
        deadline=shrink_deadline(exchange.deadline - now),
        revision=state.configuration.revision,
        request=exchange.request,
        resume_after=exchange.progress.last_event,
        claim=claim,
        crashes=exchange.failures,
    )
    return [SendDispatch(exchange.id, endpoint.http_address, dispatch)]


def refuse(exchange: Exchange, problem: Problem, state: State) -> list[Effect]:
    """End an exchange with a problem, cutting its answer off if it has begun."""
    state.router.forget(exchange)
    if exchange.has_started:
        return [AbortAnswer(exchange.id, evolve(problem, run_state=RunState.RAN))]
    run_state = combine_run_states(problem.run_state, exchange.run_state)
    return [RefuseRequest(exchange.id, evolve(problem, run_state=run_state))]
