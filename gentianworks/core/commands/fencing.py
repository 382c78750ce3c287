"""Fencing: orders to engines and what became of them."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.commands.base import Command, Outcome
from gentianworks.core.orders.fencing import OrderKind, OrderStatus
from gentianworks.core.orders.records import OrderRecord
from gentianworks.core.types import EndpointName


@frozen
class IssueOrder(Command):
    """Number an operator's order; `load_time` is in seconds of the store's rate.

    `request` identifies it across resends; older journals hold none.
    """

    operator: str
    endpoint: EndpointName
    kind: OrderKind
    value: str
    load_time: float
    request: str = ""


@frozen
class OrderIssued(Outcome):
    """Carry the first answer to the request for an order."""

    record: OrderRecord
    is_repeated: bool = False


@frozen
class SettleOrder(Command):
    """Record what became of an order."""

    number: int
    status: OrderStatus


@frozen
class OrderSettled(Outcome):
    """Say that an order is settled."""
