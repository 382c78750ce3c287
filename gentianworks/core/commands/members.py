"""Members: changes of the control group, and the start of a leader's term."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.commands.base import Command, Outcome
from gentianworks.core.replication.members import Membership


@frozen
class BeginTerm(Command):
    """Commit, under a new leader, what earlier terms left uncommitted."""


@frozen
class TermBegun(Outcome):
    """Say that a leader's term has begun."""


@frozen
class ChangeMembers(Command):
    """Replace the membership; it counts from the moment that it is in the log."""

    membership: Membership


@frozen
class MembersChanged(Outcome):
    """Say that the membership has changed."""
