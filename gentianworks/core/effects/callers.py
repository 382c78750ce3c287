"""Callers: the parts of a response to a caller."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.effects.base import Effect
from gentianworks.core.types import (
    EndpointName,
    ExchangeId,
    Header,
    Problem,
)


@frozen
class StartAnswer(Effect):
    """Send the status and headers of a response to a caller.

    `endpoint` is the one that the response comes from.
    """

    exchange: ExchangeId
    status: int
    headers: tuple[Header, ...]
    endpoint: EndpointName


@frozen
class RelayPiece(Effect):
    """Send a piece of a response to a caller."""

    exchange: ExchangeId
    data: bytes


@frozen
class FinishAnswer(Effect):
    """End a complete response to a caller."""

    exchange: ExchangeId


@frozen
class AbortAnswer(Effect):
    """Abort a response so that the caller can't mistake it for a complete one."""

    exchange: ExchangeId
    problem: Problem


@frozen
class RefuseRequest(Effect):
    """Respond to a caller with a problem only."""

    exchange: ExchangeId
    problem: Problem
