"""Fencing: orders to engines, and their results."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.commands.base import Command, Outcome
from gentianworks.core.orders.fencing import OrderKind, OrderStatus
from gentianworks.core.orders.records import OrderRecord
from gentianworks.core.types import EndpointName


@frozen
class IssueOrder(Command):
    """Operator's order, which gets a number when the command is applied.

    `load_time` is in seconds at the store's rate. `request` identifies the order
    across resends; commands in older journals have none.
    """

    operator: str
    endpoint: EndpointName
    kind: OrderKind
    value: str
    load_time: float
    request: str = ""


@frozen
class OrderIssued(Outcome):
    """First answer to the request for an order."""

    record: OrderRecord
    is_repeated: bool = False


@frozen
class SettleOrder(Command):
    """Result of an order at its engine."""

    number: int
    status: OrderStatus


@frozen
class OrderSettled(Outcome):
    """Confirmation that the result of an order is recorded."""
