"""Order records: the first answers to operators' requests for orders.

A request is known by the id that its operator gave it, so that one whose answer was
lost gets the same answer when it is sent again, and no second order.
"""

from __future__ import annotations

from attrs import define, field, frozen

from gentianworks.core.orders.fencing import Order, OrderKind
from gentianworks.core.types import EndpointName, Problem

MAX_ORDER_RECORDS = 4_200


@frozen
class OrderRecord:
    """Hold a request and its first answer, an order or the problem with it."""

    request: str
    operator: str
    endpoint: EndpointName
    kind: OrderKind
    value: str
    order: Order | None = None
    problem: Problem | None = None

    def has_same_contents(
        self, operator: str, endpoint: EndpointName, kind: OrderKind, value: str
    ) -> bool:
        """Tell whether a request asks for the same as this one."""
        own = (self.operator, self.endpoint, self.kind, self.value)
        return own == (operator, endpoint, kind, value)


@define
class OrderRecords:
    """Hold the answers to the latest requests by their ids."""

    records: dict[str, OrderRecord] = field(factory=dict)

    def find(self, request: str) -> OrderRecord | None:
        """Return the record of a request, or None."""
        return self.records.get(request)

    def add(self, record: OrderRecord) -> None:
        """Keep an answer and drop the oldest beyond the limit."""
        self.records[record.request] = record
        while len(self.records) > MAX_ORDER_RECORDS:
            del self.records[next(iter(self.records))]
