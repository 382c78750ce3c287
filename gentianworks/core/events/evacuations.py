"""Evacuations: operators' orders, and the zones that routers are told of."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.events.base import Event, Message
from gentianworks.core.events.operators import OperatorRequest


@frozen
class EvacuationRequested(OperatorRequest):
    """Operator's order to evacuate an availability zone, or to reopen it."""

    zone: str
    is_evacuated: bool


@frozen
class EvacuationsChanged(Message):
    """The evacuated zones as of `revision`, sent to a router."""

    revision: int
    zones: tuple[str, ...]


@frozen
class ZoneReopeningDue(Event):
    """Occurs when a reopened zone has waited long enough for a newer list."""

    zone: str
    withdrawn_at: float
