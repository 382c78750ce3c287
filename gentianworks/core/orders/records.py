"""Order records: the first answers to operators' requests for orders.

A request is identified by the id that its operator chose. If its answer is lost and it
is sent again, it gets the same answer and issues no second order.
"""

from __future__ import annotations

from attrs import define, field, frozen

from gentianworks.core.orders.fencing import Order, OrderKind
from gentianworks.core.types import EndpointName, Problem

MAX_ORDER_RECORDS = 4_200


@frozen
class OrderRecord:
    """Request and its first answer: an order or a problem."""

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
        """Return whether another request has the same contents as this one."""
        contents = (self.operator, self.endpoint, self.kind, self.value)
        return contents == (operator, endpoint, kind, value)


@define
class OrderRecords:
    """Answers to the latest requests, by request id."""

    records: dict[str, OrderRecord] = field(factory=dict)

    def find(self, request: str) -> OrderRecord | None:
        """Return the record of a request, or None."""
        return self.records.get(request)

    def add(self, record: OrderRecord) -> None:
        """Add an answer and remove the oldest ones beyond the limit."""
        self.records[record.request] = record
        while len(self.records) > MAX_ORDER_RECORDS:
            del self.records[next(iter(self.records))]
