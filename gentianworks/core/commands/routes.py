"""Routes: replacements of the table of routes."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.commands.base import Command, Outcome
from gentianworks.core.configuration.deltas import Delta
from gentianworks.core.gateway.documents import RouteDocument


@frozen
class ReplaceRoutes(Command):
    """Put a table of routes in force if its revision is the highest so far."""

    document: RouteDocument
    operator: str


@frozen
class RoutesReplaced(Outcome):
    """Say whether a table came into force, and the revision that is in force now."""

    revision: int
    delta: Delta | None = None
