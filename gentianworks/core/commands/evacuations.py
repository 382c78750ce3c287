"""Evacuations: orders to evacuate an availability zone or to reopen it."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.commands.base import Command, Outcome


@frozen
class SetEvacuation(Command):
    """Order that calls avoid a zone, or that they may go there again.

    `known_revision` is that of the evacuations at the host that received the order,
    where `exchange` identifies it. Each proposal of the order has its own identifier.
    """

    operator: str
    zone: str
    is_evacuated: bool
    known_revision: int
    exchange: str


@frozen
class EvacuationSet(Outcome):
    """Revision of the evacuations after an order.

    An order is not carried out if there is no room, or if it is stale.
    """

    revision: int
    is_changed: bool
    has_room: bool = True
    is_stale: bool = False
