"""Metrics: counts and durations to record, as data."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from gentianworks.core.effects.base import Effect
from gentianworks.core.types import EndpointName, RankName, ServiceName, WorkspaceName


class Stage(Enum):
    """Stages of a request whose duration is measured."""

    FIRST_PIECE = "first-piece"
    WHOLE_ANSWER = "whole-answer"
    QUEUE = "queue"


@frozen
class CountRequest(Effect):
    """Count a caller's request by its outcome."""

    service: ServiceName
    workspace: WorkspaceName
    rank: RankName
    outcome: str


@frozen
class CountAttempt(Effect):
    """Count an attempt at an endpoint by its outcome."""

    endpoint: EndpointName
    rank: RankName
    outcome: str


@frozen
class ObserveLatency(Effect):
    """Record the duration of one stage of a request, in seconds."""

    stage: Stage
    service: ServiceName
    rank: RankName
    seconds: float


@frozen
class ObserveDelayError(Effect):
    """Record by how many seconds a first event missed its expected time."""

    service: ServiceName
    seconds: float


@frozen
class CountTokens(Effect):
    """Count the tokens that a piece of an engine's response reports, if any."""

    service: ServiceName
    workspace: WorkspaceName
    data: bytes
