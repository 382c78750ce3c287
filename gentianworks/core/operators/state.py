"""Operators state: the pending requests of operators at a control host."""

from __future__ import annotations

from attrs import define, field

from gentianworks.core.events.operators import OperatorRequest
from gentianworks.core.types import ExchangeId


@define
class OperatorsState:
    """Requests of operators that await an answer."""

    pending_requests: dict[ExchangeId, OperatorRequest] = field(factory=dict)
