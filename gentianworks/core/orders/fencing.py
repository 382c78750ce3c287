"""Fencing: the orders to engines, each under a number from the log.

Numbers rise over all orders. The orders of one endpoint are passed on one after the
other, in the order of their numbers. Loads of weights start no faster than the store
that the weights come from can serve them.
"""

from __future__ import annotations

from enum import Enum

from attrs import define, evolve, field, frozen

from gentianworks.core.types import EndpointName

MAX_SETTLED_ORDERS = 256
MAX_REPORTED_ORDERS = 16
MAX_PENDING_ORDERS = 16


class OrderKind(Enum):
    """Name what an engine is ordered to do."""

    LOAD_MODEL = "load-model"
    LOAD_ADAPTER = "load-adapter"
    LOAD_VERSION = "load-version"
    CHANGE_ROLE = "change-role"


class OrderStatus(Enum):
    """Tell what became of an order."""

    PENDING = "pending"
    TAKEN = "taken"
    REFUSED = "refused"


@frozen
class Order:
    """Hold one order; `starts_at` is in seconds since the epoch."""

    number: int
    endpoint: EndpointName
    kind: OrderKind
    value: str
    starts_at: float
    status: OrderStatus = OrderStatus.PENDING


@define
class OrderRegistry:
    """Hold the orders of the fleet and when the store of weights is free again."""

    last_number: int = 0
    store_free_at: float = 0.0
    pending: list[Order] = field(factory=list)
    settled: list[Order] = field(factory=list)
    floors: dict[EndpointName, int] = field(factory=dict)

    def issue(
        self,
        endpoint: EndpointName,
        kind: OrderKind,
        value: str,
        load_time: float,
        now: float,
    ) -> Order:
        """Number an order and set its start; `load_time` is in seconds."""
        starts_at = now
        if kind is not OrderKind.CHANGE_ROLE:
            starts_at = max(now, self.store_free_at)
            self.store_free_at = starts_at + load_time
        self.last_number += 1
        order = Order(self.last_number, endpoint, kind, value, starts_at)
        self.pending.append(order)
        return order

    def has_full_queue(self, endpoint: EndpointName) -> bool:
        """Tell whether an endpoint has as many pending orders as it may have."""
        count = sum(item.endpoint == endpoint for item in self.pending)
        return count >= MAX_PENDING_ORDERS

    def settle(self, number: int, status: OrderStatus) -> None:
        """Record what became of an order, once."""
        order = next((item for item in self.pending if item.number == number), None)
        if order is None:
            return
        self.pending.remove(order)
        self.floors[order.endpoint] = number
        self.settled.append(evolve(order, status=status))
        del self.settled[:-MAX_SETTLED_ORDERS]

    def list_latest(self) -> tuple[Order, ...]:
        """Return the pending orders and the latest settled ones, in their order."""
        latest = self.settled[-MAX_REPORTED_ORDERS:]
        return tuple(sorted([*latest, *self.pending], key=lambda item: item.number))

    def find_due(self, endpoint: EndpointName, now: float) -> Order | None:
        """Return the order that an endpoint is to be given next, or None."""
        first = next((item for item in self.pending if item.endpoint == endpoint), None)
        return first if first is not None and first.starts_at <= now else None

    def get_floor(self, endpoint: EndpointName) -> int:
        """Return the number of the endpoint's latest order that is settled."""
        return self.floors.get(endpoint, 0)


@define
class FencingGuard:
    """Hold which orders an agent may still pass to its engine.

    Orders below `floor` are superseded, the one at it has come to `status`;
    `is_confirmed` tells that a quorum has told this incarnation what was settled
    before it started.
    """

    floor: int = 0
    status: OrderStatus = OrderStatus.PENDING
    is_confirmed: bool = False
    is_in_flight: bool = False
    send_count: int = 0

    def raise_floor(self, number: int) -> None:
        """Refuse from now on the orders below a number."""
        if number > self.floor:
            self.floor = number
            self.status = OrderStatus.PENDING
