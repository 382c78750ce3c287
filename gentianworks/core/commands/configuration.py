"""Configuration: changes of the configuration."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.commands.base import Command, Outcome
from gentianworks.core.configuration.change_log import ChangeRecord
from gentianworks.core.configuration.deltas import Delta


@frozen
class ChangeConfiguration(Command):
    """Apply a delta if `expected_revision` is in force.

    `digest` identifies the contents that the operator sent; `faults` are what
    was found wrong with them, and then the change is only put on record.
    """

    operator: str
    change: str
    digest: str
    expected_revision: int
    delta: Delta
    faults: tuple[str, ...] = ()


@frozen
class ConfigurationChanged(Outcome):
    """Give the answer to a change; `delta` is set where it made a revision."""

    record: ChangeRecord
    is_repeated: bool = False
    delta: Delta | None = None
