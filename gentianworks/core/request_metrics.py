"""Request metrics: the metrics of requests, derived from events and effects.

They are derived here from everything that passes through the reducer, so that the
modules that make decisions contain no instrumentation.
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
    CountTokens,
    ObserveDelayError,
    ObserveLatency,
    Stage,
)
from gentianworks.core.events.base import Event, Message
from gentianworks.core.events.callers import CallerDisconnected, RequestArrived
from gentianworks.core.events.dispatch import (
    AnswerEnd,
    AttemptRefused,
    Dispatch,
    RouterDisconnected,
)
from gentianworks.core.events.engines import EngineAnswerPiece
from gentianworks.core.events.gateway import CallAbandoned, CallArrived
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
class MetricLabels:
    """Labels under which a call of a gateway is counted."""

    service: ServiceName = ""
    workspace: WorkspaceName = ""
    rank: RankName = ""


@define
class Span:
    """Request or attempt that has not ended yet; `started_at` is in seconds."""

    request: Request | MetricLabels
    started_at: float
    endpoint: str = ""
    is_stage_recorded: bool = False
    expected_first_piece_at: float = -1.0  # seconds; -1 if unknown


@define
class OpenSpans:
    """Requests of a router and attempts of an agent that have not ended yet."""

    requests: dict[ExchangeId, Span] = field(factory=dict)
    attempts: dict[AttemptId, Span] = field(factory=dict)


def derive_metrics(
    event: Event, effects: Iterable[Effect], spans: OpenSpans, now: float
) -> list[Effect]:
    """Return the metrics to record for an event and its effects."""
    metrics = derive(event, spans, now)
    for effect in effects:
        metrics += derive(effect, spans, now)
    return metrics


@singledispatch
def derive(item: Event | Effect, spans: OpenSpans, now: float) -> list[Effect]:
    """Return the metrics to record for one event or effect."""
    return []


@derive.register
def _(event: RequestArrived, spans: OpenSpans, now: float) -> list[Effect]:
    spans.requests[event.exchange] = Span(event.request, now)
    return []


@derive.register
def _(event: CallArrived, spans: OpenSpans, now: float) -> list[Effect]:
    spans.requests[event.exchange] = Span(MetricLabels(), now)
    return []


@derive.register
def _(effect: CallReplica, spans: OpenSpans, now: float) -> list[Effect]:
    span = spans.requests.get(effect.exchange)
    if span is not None:
        service = effect.replica.service
        span.request = MetricLabels(service, effect.workspace, str(effect.urgency))
        is_expected = effect.expected_delay >= 0
        expected_at = now + effect.expected_delay if is_expected else -1.0
        span.expected_first_piece_at = expected_at
    return []


@derive.register
def _(event: CallAbandoned, spans: OpenSpans, now: float) -> list[Effect]:
    return _end_request(event.exchange, CALLER_LEFT, spans)


@derive.register
def _(effect: RelayPiece, spans: OpenSpans, now: float) -> list[Effect]:
    span = spans.requests.get(effect.exchange)
    if span is None or span.is_stage_recorded:
        return []
    span.is_stage_recorded = True
    return [
        _measure_duration(Stage.FIRST_PIECE, span, now),
        *_measure_delay_error(span, now),
    ]


def _measure_delay_error(span: Span, now: float) -> list[Effect]:
    if span.expected_first_piece_at < 0:
        return []
    error = abs(now - span.expected_first_piece_at)
    return [ObserveDelayError(span.request.service, error)]


@derive.register
def _(effect: FinishAnswer, spans: OpenSpans, now: float) -> list[Effect]:
    span = spans.requests.pop(effect.exchange, None)
    if span is None:
        return []
    return [_count(span, SERVED), _measure_duration(Stage.WHOLE_ANSWER, span, now)]


@derive.register
def _(effect: RefuseRequest, spans: OpenSpans, now: float) -> list[Effect]:
    return _end_request(effect.exchange, effect.problem.kind.value, spans)


@derive.register
def _(effect: AbortAnswer, spans: OpenSpans, now: float) -> list[Effect]:
    return _end_request(effect.exchange, effect.problem.kind.value, spans)


@derive.register
def _(event: CallerDisconnected, spans: OpenSpans, now: float) -> list[Effect]:
    return _end_request(event.exchange, CALLER_LEFT, spans)


def _end_request(exchange: ExchangeId, outcome: str, spans: OpenSpans) -> list[Effect]:
    span = spans.requests.pop(exchange, None)
    return [] if span is None else [_count(span, outcome)]


def _count(span: Span, outcome: str) -> Effect:
    request = span.request
    return CountRequest(request.service, request.workspace, request.rank, outcome)


def _measure_duration(stage: Stage, span: Span, now: float) -> Effect:
    request = span.request
    seconds = now - span.started_at
    return ObserveLatency(stage, request.service, request.rank, seconds)


@derive.register
def _(event: Dispatch, spans: OpenSpans, now: float) -> list[Effect]:
    span = Span(event.request, now, event.endpoint)
    spans.attempts.setdefault(event.attempt, span)
    return []


@derive.register
def _(effect: CallEngine, spans: OpenSpans, now: float) -> list[Effect]:
    span = spans.attempts.get(effect.attempt)
    if span is None or span.is_stage_recorded:
        return []
    span.is_stage_recorded = True
    return [_measure_duration(Stage.QUEUE, span, now)]


@derive.register
def _(event: EngineAnswerPiece, spans: OpenSpans, now: float) -> list[Effect]:
    span = spans.attempts.get(event.attempt)
    if span is None:
        return []
    request = span.request
    return [CountTokens(request.service, request.workspace, event.data)]


@derive.register
def _(effect: SendFrame, spans: OpenSpans, now: float) -> list[Effect]:
    outcome = get_attempt_outcome(effect.message)
    return _end_attempt(effect.attempt, outcome, spans) if outcome else []


@derive.register
def _(event: RouterDisconnected, spans: OpenSpans, now: float) -> list[Effect]:
    return _end_attempt(event.attempt, ROUTER_LEFT, spans)


def _end_attempt(attempt: AttemptId, outcome: str, spans: OpenSpans) -> list[Effect]:
    span = spans.attempts.pop(attempt, None)
    if span is None:
        return []
    return [CountAttempt(span.endpoint, span.request.rank, outcome)]


@singledispatch
def get_attempt_outcome(message: Message) -> str:
    """Return the outcome of an attempt that ends with `message`, or an empty string."""
    return ""


@get_attempt_outcome.register
def _(message: AnswerEnd) -> str:
    return SERVED


@get_attempt_outcome.register
def _(message: AttemptRefused) -> str:
    return message.problem.kind.value
