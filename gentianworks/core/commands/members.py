"""Members: changes of the control group, and the start of a leader's term."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.commands.base import Command, Outcome
from gentianworks.core.replication.members import Membership


@frozen
class BeginTerm(Command):
    """First entry of a leader's term, which commits the entries of earlier terms."""


@frozen
class TermBegun(Outcome):
    """Confirmation that a leader's term has begun."""


@frozen
class ChangeMembers(Command):
    """Replacement of the membership, effective as soon as it is in the log."""

    membership: Membership


@frozen
class MembersChanged(Outcome):
    """Confirmation that the membership has changed."""
