"""Routes: replacements of the route table."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.commands.base import Command, Outcome
from gentianworks.core.configuration.deltas import Delta
from gentianworks.core.gateway.documents import RouteDocument


@frozen
class ReplaceRoutes(Command):
    """Route table that takes effect if its revision is the highest so far."""

    document: RouteDocument
    operator: str


@frozen
class RoutesReplaced(Outcome):
    """Revision now in force; `delta` is set if the table took effect."""

    revision: int
    delta: Delta | None = None
