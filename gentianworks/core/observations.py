"""Observations: the metrics that follow from events and effects.

Every metric of a request is derived here from what passes through the reducer, so
that the modules that decide need not know that they are measured.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import singledispatch

from attrs import define, field, frozen

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.callers import (
    AbortAnswer,
    FinishAnswer,
    RefuseRequest,
    RelayPiece,
)
from gentianworks.core.effects.dispatch import SendFrame
from gentianworks.core.effects.engines import CallEngine
from gentianworks.core.effects.gateway import CallReplica
from gentianworks.core.effects.metrics import (
    CountAttempt,
    CountRequest,
    ObserveLatency,
    ReadUsage,
    Stage,
)
from gentianworks.core.events.base import Event, Message
from gentianworks.core.events.callers import CallerLeft, RequestArrived
from gentianworks.core.events.dispatch import (
    AnswerEnd,
    AttemptRefused,
    Dispatch,
    RouterLeft,
)
from gentianworks.core.events.engines import EnginePiece
from gentianworks.core.events.gateway import CallArrived, CallLeft
from gentianworks.core.types import (
    AttemptId,
    ExchangeId,
    RankName,
    Request,
    ServiceName,
    WorkspaceName,
)

SERVED = "served"
CALLER_LEFT = "caller-left"
ROUTER_LEFT = "router-left"


@frozen
class Measured:
    """Hold what a call of a gateway is counted under."""

    service: ServiceName = ""
    workspace: WorkspaceName = ""
    rank: RankName = ""


@define
class Observed:
    """Hold a request or attempt whose end is not yet seen."""

    request: Request | Measured
    began_at: float
    endpoint: str = ""
    has_begun: bool = False


@define
class Observations:
    """Hold the requests of a router and the attempts of an agent that are open."""

    requests: dict[ExchangeId, Observed] = field(factory=dict)
    attempts: dict[AttemptId, Observed] = field(factory=dict)


def observe_all(
    event: Event, effects: Iterable[Effect], observations: Observations, now: float
) -> list[Effect]:
    """Return what is to be counted for an event and the effects that it had."""
    measures = observe(event, observations, now)
    for effect in effects:
        measures += observe(effect, observations, now)
    return measures


@singledispatch
def observe(
    occurrence: Event | Effect, observations: Observations, now: float
) -> list[Effect]:
    """Return what is to be counted for one event or effect."""
    return []


@observe.register
def _(event: RequestArrived, observations: Observations, now: float) -> list[Effect]:
    observations.requests[event.exchange] = Observed(event.request, now)
    return []


@observe.register
def _(event: CallArrived, observations: Observations, now: float) -> list[Effect]:
    observations.requests[event.exchange] = Observed(Measured(), now)
    return []


@observe.register
def _(effect: CallReplica, observations: Observations, now: float) -> list[Effect]:
    observed = observations.requests.get(effect.exchange)
    if observed is not None:
        service = effect.replica.service
        observed.request = Measured(service, effect.workspace, str(effect.urgency))
    return []


@observe.register
def _(event: CallLeft, observations: Observations, now: float) -> list[Effect]:
    return _end_request(event.exchange, CALLER_LEFT, observations)


@observe.register
def _(effect: RelayPiece, observations: Observations, now: float) -> list[Effect]:
    observed = observations.requests.get(effect.exchange)
    if observed is None or observed.has_begun:
        return []
    observed.has_begun = True
    return [_time(Stage.FIRST_PIECE, observed, now)]


@observe.register
def _(effect: FinishAnswer, observations: Observations, now: float) -> list[Effect]:
    observed = observations.requests.pop(effect.exchange, None)
    if observed is None:
        return []
    return [_count(observed, SERVED), _time(Stage.WHOLE_ANSWER, observed, now)]


@observe.register
def _(effect: RefuseRequest, observations: Observations, now: float) -> list[Effect]:
    return _end_request(effect.exchange, effect.problem.kind.value, observations)


@observe.register
def _(effect: AbortAnswer, observations: Observations, now: float) -> list[Effect]:
    return _end_request(effect.exchange, effect.problem.kind.value, observations)


@observe.register
def _(event: CallerLeft, observations: Observations, now: float) -> list[Effect]:
    return _end_request(event.exchange, CALLER_LEFT, observations)


def _end_request(
    exchange: ExchangeId, outcome: str, observations: Observations
) -> list[Effect]:
    observed = observations.requests.pop(exchange, None)
    return [] if observed is None else [_count(observed, outcome)]


def _count(observed: Observed, outcome: str) -> Effect:
    request = observed.request
    return CountRequest(request.service, request.workspace, request.rank, outcome)


def _time(stage: Stage, observed: Observed, now: float) -> Effect:
    request = observed.request
    seconds = now - observed.began_at
    return ObserveLatency(stage, request.service, request.rank, seconds)


@observe.register
def _(event: Dispatch, observations: Observations, now: float) -> list[Effect]:
    observed = Observed(event.request, now, event.endpoint)
    observations.attempts.setdefault(event.attempt, observed)
    return []


@observe.register
def _(effect: CallEngine, observations: Observations, now: float) -> list[Effect]:
    observed = observations.attempts.get(effect.attempt)
    if observed is None or observed.has_begun:
        return []
    observed.has_begun = True
    return [_time(Stage.QUEUE, observed, now)]


@observe.register
def _(event: EnginePiece, observations: Observations, now: float) -> list[Effect]:
    observed = observations.attempts.get(event.attempt)
    if observed is None:
        return []
    request = observed.request
    return [ReadUsage(request.service, request.workspace, event.data)]


@observe.register
def _(effect: SendFrame, observations: Observations, now: float) -> list[Effect]:
    outcome = name_outcome(effect.message)
    return _end_attempt(effect.attempt, outcome, observations) if outcome else []


@observe.register
def _(event: RouterLeft, observations: Observations, now: float) -> list[Effect]:
    return _end_attempt(event.attempt, ROUTER_LEFT, observations)


def _end_attempt(
    attempt: AttemptId, outcome: str, observations: Observations
) -> list[Effect]:
    observed = observations.attempts.pop(attempt, None)
    if observed is None:
        return []
    return [CountAttempt(observed.endpoint, observed.request.rank, outcome)]


@singledispatch
def name_outcome(message: Message) -> str:
    """Return how an attempt ended, or an empty text where it goes on."""
    return ""


@name_outcome.register
def _(message: AnswerEnd) -> str:
    return SERVED


@name_outcome.register
def _(message: AttemptRefused) -> str:
    return message.problem.kind.value
