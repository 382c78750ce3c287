"""Orders: calls that send orders to an engine."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.effects.base import Effect
from gentianworks.core.orders.fencing import Order


@frozen
class SendOrder(Effect):
    """Send an order to the engine and report the response as `OrderAnswered`."""

    order: Order
