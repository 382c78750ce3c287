"""Operators: what a control host holds of operators' requests."""

from __future__ import annotations

from attrs import define, field

from gentianworks.core.events.operators import OperatorRequest
from gentianworks.core.types import ExchangeId


@define
class OperatorsState:
    """Hold who waits for an answer."""

    pending_requests: dict[ExchangeId, OperatorRequest] = field(factory=dict)
