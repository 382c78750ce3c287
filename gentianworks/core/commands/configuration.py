"""Configuration: changes of the configuration."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.commands.base import Command, Outcome
from gentianworks.core.configuration.change_log import ChangeRecord
from gentianworks.core.configuration.deltas import Delta


@frozen
class ChangeConfiguration(Command):
    """Change that applies a delta if `expected_revision` is in force.

    `digest` identifies the contents that the operator sent. If `faults` were found
    in them, the change is refused and only recorded.
    """

    operator: str
    change: str
    digest: str
    expected_revision: int
    delta: Delta
    faults: tuple[str, ...] = ()


@frozen
class ConfigurationChanged(Outcome):
    """Answer to a change; `delta` is set if it produced a revision."""

    record: ChangeRecord
    is_repeated: bool = False
    delta: Delta | None = None
