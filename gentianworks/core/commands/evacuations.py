"""Evacuations: orders to evacuate an availability zone or to reopen it."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.commands.base import Command, Outcome


@frozen
class SetEvacuation(Command):
    """Order that calls avoid a zone, or that they may go there again."""

    operator: str
    zone: str
    is_evacuated: bool


@frozen
class EvacuationSet(Outcome):
    """Revision of the evacuations after an order; `has_room` is False if refused."""

    revision: int
    is_changed: bool
    has_room: bool = True
