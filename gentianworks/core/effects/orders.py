"""Orders: calls that pass orders to an engine."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.effects.base import Effect
from gentianworks.core.orders.fencing import Order


@frozen
class PassOrder(Effect):
    """Pass an order to the engine and report its answer as OrderPassed."""

    order: Order
