"""Orders: the HTTP client that sends orders to an engine."""

from __future__ import annotations

import json

import cattrs
import httpcore
from attrs import define, field, frozen

from gentianworks.core.effects.orders import SendOrder
from gentianworks.core.events.orders import OrderAnswered
from gentianworks.core.orders.fencing import Order, OrderStatus
from gentianworks.process import Process, perform
from gentianworks.web.engine_load import TRANSPORT_ERRORS
from gentianworks.web.pools import BufferedResponse, create_pool, send_request

ORDER_TIMEOUT = 60.0  # seconds
MIN_REFUSAL_STATUS = 300  # HTTP status
MIN_FAILURE_STATUS = 500  # HTTP status


@frozen
class AcceptedOrder:
    """Order that an engine reports as accepted."""

    fencing: int
    kind: str
    value: str


@frozen
class AcceptedOrders:
    """Response of an engine that lists its accepted orders."""

    orders: tuple[AcceptedOrder, ...] = ()


def encode_order(order: Order) -> bytes:
    """Return the body of the request that sends an order to an engine."""
    document = {
        "kind": order.kind.value,
        "value": order.value,
        "fencing": order.number,
    }
    return json.dumps(document).encode()


@define
class OrderClient:
    """HTTP client that sends orders to an engine and reports the outcome."""

    address: str  # IP:PORT
    pool: httpcore.AsyncConnectionPool = field(factory=create_pool)

    async def run(self, order: Order, process: Process) -> None:
        """Send one order and report its status, PENDING if the engine was unreachable.

        The order is not sent again if the engine has already accepted it, from an
        earlier incarnation of the agent or before a response that was lost.
        """
        try:
            status = await self._send_once(order)
        except TRANSPORT_ERRORS:
            status = OrderStatus.PENDING
        process.handle(OrderAnswered(order.number, status))

    async def _send_once(self, order: Order) -> OrderStatus:
        if AcceptedOrder(order.number, order.kind.value, order.value) in (
            await self._list_accepted()
        ):
            return OrderStatus.TAKEN
        response = await self._post(order)
        return _convert_status(response.status)

    async def _list_accepted(self) -> tuple[AcceptedOrder, ...]:
        """Return the orders that the engine lists; an invalid list counts as empty."""
        response = await self._call("GET")
        try:
            return cattrs.structure(json.loads(response.content), AcceptedOrders).orders
        except (ValueError, TypeError, RecursionError, cattrs.BaseValidationError):
            return ()

    async def _post(self, order: Order) -> BufferedResponse:
        return await self._call("POST", encode_order(order))

    async def _call(self, method: str, body: bytes | None = None) -> BufferedResponse:
        return await send_request(
            self.pool,
            method,
            f"http://{self.address}/orders",
            headers=[(b"host", self.address.encode())],
            content=body,
            timeout=ORDER_TIMEOUT,
        )


def _convert_status(status: int) -> OrderStatus:
    if status < MIN_REFUSAL_STATUS:
        return OrderStatus.TAKEN
    if status >= MIN_FAILURE_STATUS:
        return OrderStatus.PENDING
    return OrderStatus.REFUSED


@perform.register
def _(effect: SendOrder, process: Process) -> None:
    client = process.get_adapter(OrderClient)

    async def run() -> None:
        await client.run(effect.order, process)

    failure = OrderAnswered(effect.order.number, OrderStatus.PENDING)
    process.start_call(f"order-{effect.order.number}", run, failure)
