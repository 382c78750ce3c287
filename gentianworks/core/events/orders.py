"""Orders: the delivery of orders from operators to engines."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.events.base import Event, Message
from gentianworks.core.events.operators import OperatorRequest
from gentianworks.core.orders.fencing import Order, OrderKind, OrderStatus
from gentianworks.core.types import EndpointName


@frozen
class OrderRequested(OperatorRequest):
    """Operator's request to issue an order; `size` is that of the weights in bytes.

    `request` identifies the order across resends.
    """

    request: str
    endpoint: EndpointName
    kind: OrderKind
    value: str
    size: int = 0


@frozen
class OrderGiven(Message):
    """Order from the log, sent to an agent."""

    order: Order


@frozen
class OrderReported(Message):
    """Report to a control host of the outcome of an order."""

    number: int
    status: OrderStatus


@frozen
class FencingWanted(Message):
    """Request for the last settled order of an endpoint, confirmed by a quorum."""

    peer_address: str
    endpoint: EndpointName
    incarnation: int


@frozen
class FencingConfirmed(Event):
    """Occurs when a quorum has confirmed this host's state for a `FencingWanted`."""

    request: FencingWanted


@frozen
class FencingAnswered(Message):
    """Number of the last settled order of an agent's endpoint.

    It is valid only for the incarnation that requested it; a later one may have seen
    higher numbers.
    """

    endpoint: EndpointName
    number: int
    incarnation: int


@frozen
class OrderAnswered(Event):
    """Occurs when the engine has responded to an order or could not be reached.

    If it was not reached, `status` is PENDING.
    """

    number: int
    status: OrderStatus
