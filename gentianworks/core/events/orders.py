"""Orders: the way of an order from an operator to an engine."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.events.base import Event, Message
from gentianworks.core.events.operators import OperatorRequest
from gentianworks.core.orders.fencing import Order, OrderKind, OrderStatus
from gentianworks.core.types import EndpointName


@frozen
class OrderRequested(OperatorRequest):
    """Report an operator's order; `size` is that of the weights in bytes.

    `request` identifies the order across resends.
    """

    request: str
    endpoint: EndpointName
    kind: OrderKind
    value: str
    size: int = 0


@frozen
class OrderGiven(Message):
    """Give an agent an order from the log."""

    order: Order


@frozen
class OrderReported(Message):
    """Tell a control host what became of an order."""

    number: int
    status: OrderStatus


@frozen
class FencingWanted(Message):
    """Ask which order of an endpoint was settled last, confirmed by a quorum."""

    peer_address: str
    endpoint: EndpointName
    incarnation: int


@frozen
class FencingConfirmed(Event):
    """Report that a quorum has confirmed this host for a FencingWanted."""

    wanted: FencingWanted


@frozen
class FencingAnswered(Message):
    """Tell an agent the number of the last settled order of its endpoint.

    It is meant for the incarnation that asked; a later one may have seen more.
    """

    endpoint: EndpointName
    number: int
    incarnation: int


@frozen
class OrderPassed(Event):
    """Report what an engine answered to an order, PENDING where it was not reached."""

    number: int
    status: OrderStatus
