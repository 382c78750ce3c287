"""Orders: the calls that pass orders to an engine over HTTP."""

from __future__ import annotations

import json

import cattrs
import httpcore
from attrs import define, field, frozen

from gentianworks.core.effects.orders import SendOrder
from gentianworks.core.events.orders import OrderAnswered
from gentianworks.core.orders.fencing import Order, OrderStatus
from gentianworks.process import Process, perform
from gentianworks.web.loads import FAILURES
from gentianworks.web.pools import create_pool, limit_silence

ORDER_TIMEOUT = 60.0  # seconds
FIRST_REFUSAL = 300  # HTTP status
FIRST_FAILURE = 500  # HTTP status


@frozen
class TakenOrder:
    """Hold one order that an engine says it has taken."""

    fencing: int
    kind: str
    value: str


@frozen
class TakenOrders:
    """Hold the orders that an engine says it has taken."""

    orders: tuple[TakenOrder, ...] = ()


def encode_order(order: Order) -> bytes:
    """Return an order as the engine takes it."""
    document = {
        "kind": order.kind.value,
        "value": order.value,
        "fencing": order.number,
    }
    return json.dumps(document).encode()


@define
class OrderClient:
    """Pass orders to an engine and report what it answered."""

    address: str
    pool: httpcore.AsyncConnectionPool = field(factory=create_pool)

    async def run(self, order: Order, process: Process) -> None:
        """Pass one order on; an engine that was not reached is asked again later.

        An engine that has taken it, from a former incarnation of the agent or before
        its answer was lost, is not given it again.
        """
        try:
            status = await self._pass(order)
        except FAILURES:
            status = OrderStatus.PENDING
        process.handle(OrderAnswered(order.number, status))

    async def _pass(self, order: Order) -> OrderStatus:
        if TakenOrder(order.number, order.kind.value, order.value) in (
            await self._list_taken()
        ):
            return OrderStatus.TAKEN
        response = await self._post(order)
        return _read_status(response.status)

    async def _list_taken(self) -> tuple[TakenOrder, ...]:
        """Return what the engine says it has taken; one that can't tell has nothing."""
        response = await self.pool.request(
            "GET",
            f"http://{self.address}/orders",
            headers=[(b"host", self.address.encode())],
            extensions=limit_silence(ORDER_TIMEOUT),
        )
        try:
            return cattrs.structure(json.loads(response.content), TakenOrders).orders
        except (ValueError, TypeError, RecursionError, cattrs.BaseValidationError):
            return ()

    async def _post(self, order: Order) -> httpcore.Response:
        return await self.pool.request(
            "POST",
            f"http://{self.address}/orders",
            headers=[(b"host", self.address.encode())],
            content=encode_order(order),
            extensions=limit_silence(ORDER_TIMEOUT),
        )


def _read_status(status: int) -> OrderStatus:
    if status < FIRST_REFUSAL:
        return OrderStatus.TAKEN
    if status >= FIRST_FAILURE:
        return OrderStatus.PENDING
    return OrderStatus.REFUSED


@perform.register
def _(effect: SendOrder, process: Process) -> None:
    client = process.get_adapter(OrderClient)

    async def run() -> None:
        await client.run(effect.order, process)

    failure = OrderAnswered(effect.order.number, OrderStatus.PENDING)
    process.start_call(f"order-{effect.order.number}", run, failure)
