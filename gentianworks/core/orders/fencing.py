"""Fencing: orders to engines, numbered by the replicated log.

Numbers increase over all orders. The orders of one endpoint are sent one at a time, in
the order of their numbers. Loads of weights are spaced so that they do not exceed the
rate of the store that serves the weights.
"""

from __future__ import annotations

from enum import Enum

from attrs import define, evolve, field, frozen

from gentianworks.core.types import EndpointName

MAX_SETTLED_ORDERS = 256
MAX_REPORTED_ORDERS = 16
MAX_PENDING_ORDERS = 16


class OrderKind(Enum):
    """Kind of action that an engine is ordered to take."""

    LOAD_MODEL = "load-model"
    LOAD_ADAPTER = "load-adapter"
    LOAD_VERSION = "load-version"
    CHANGE_ROLE = "change-role"


class OrderStatus(Enum):
    """Status of an order, pending or settled."""

    PENDING = "pending"
    TAKEN = "taken"
    REFUSED = "refused"


@frozen
class Order:
    """Order to an engine; `starts_at` is in seconds since the epoch."""

    number: int
    endpoint: EndpointName
    kind: OrderKind
    value: str
    starts_at: float
    status: OrderStatus = OrderStatus.PENDING


@define
class OrderRegistry:
    """Orders of the fleet, pending and recently settled.

    `store_free_at` is when the store of weights can serve the next load, in seconds
    since the epoch; `floors` maps an endpoint to its last settled order's number.
    """

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
        """Add an order with a number and a start time; `load_time` is in seconds."""
        starts_at = now
        if kind is not OrderKind.CHANGE_ROLE:
            starts_at = max(now, self.store_free_at)
            self.store_free_at = starts_at + load_time
        self.last_number += 1
        order = Order(self.last_number, endpoint, kind, value, starts_at)
        self.pending.append(order)
        return order

    def has_full_queue(self, endpoint: EndpointName) -> bool:
        """Return whether an endpoint has reached the limit of pending orders."""
        count = sum(item.endpoint == endpoint for item in self.pending)
        return count >= MAX_PENDING_ORDERS

    def settle(self, number: int, status: OrderStatus) -> None:
        """Record the outcome of an order; later outcomes are ignored."""
        order = next((item for item in self.pending if item.number == number), None)
        if order is None:
            return
        self.pending.remove(order)
        self.floors[order.endpoint] = number
        self.settled.append(evolve(order, status=status))
        del self.settled[:-MAX_SETTLED_ORDERS]

    def list_latest(self) -> tuple[Order, ...]:
        """Return the pending and the latest settled orders, sorted by number."""
        latest = self.settled[-MAX_REPORTED_ORDERS:]
        return tuple(sorted([*latest, *self.pending], key=lambda item: item.number))

    def find_due(self, endpoint: EndpointName, now: float) -> Order | None:
        """Return the endpoint's first pending order if it may start, or None."""
        first = next((item for item in self.pending if item.endpoint == endpoint), None)
        return first if first is not None and first.starts_at <= now else None

    def get_floor(self, endpoint: EndpointName) -> int:
        """Return the number of the endpoint's last settled order, or 0."""
        return self.floors.get(endpoint, 0)


@define
class FencingGuard:
    """Guard against superseded orders at an agent.

    Orders below `floor` are superseded; `status` is that of the order at `floor`.
    `is_confirmed` is True once a quorum has reported to this incarnation which orders
    were settled before it started.
    """

    floor: int = 0
    status: OrderStatus = OrderStatus.PENDING
    is_confirmed: bool = False
    is_in_flight: bool = False
    send_count: int = 0

    def raise_floor(self, number: int) -> None:
        """Refuse the orders below a number."""
        if number > self.floor:
            self.floor = number
            self.status = OrderStatus.PENDING
