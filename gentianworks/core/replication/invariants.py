"""Invariants: safety checks of a host's log, term and commit index."""

from __future__ import annotations

from gentianworks.core.replication.log import Entry
from gentianworks.core.replication.members import (
    GroupView,
    HostId,
    Membership,
    MembershipPolicy,
    may_change,
)
from gentianworks.core.replication.replication import Replication
from gentianworks.core.state import State


class InvariantError(AssertionError):
    """Raised when a safety rule is broken; stop the host and keep its data folder."""


def check_invariants(state: State) -> None:
    """Raise InvariantError if a host's own state breaks a safety rule."""
    replication = state.control.replication
    if not state.checks_invariants or replication is None:
        return
    log = replication.log
    indexes = [entry.position.index for entry in log.entries]
    terms = [log.base.term, *(entry.position.term for entry in log.entries)]
    first = log.base.index + 1
    _require(indexes == list(range(first, first + len(indexes))), "the log has a gap")
    _require(terms == sorted(terms), "terms decrease within the log")
    _require(
        terms[-1] <= replication.vote.term,
        "the last entry is of a later term than the host",
    )
    _require(
        replication.snapshot.index
        <= replication.applied_index
        <= replication.commit_index
        <= log.last.index,
        "applied, committed and last index are out of order",
    )


def check_truncation(first: int, replication: Replication, state: State) -> None:
    """Raise InvariantError if an entry to remove is committed or the leader's own."""
    if state.checks_invariants:
        is_uncommitted = first > replication.commit_index
        _require(is_uncommitted, f"committed entry {first} would be removed")
        _require(
            not replication.is_leader, f"the leader's entry {first} would be removed"
        )


def check_change(
    current: Membership,
    planned: Membership,
    view: GroupView,
    policy: MembershipPolicy,
    state: State,
) -> None:
    """Raise InvariantError if a membership may not be appended after the current one.

    One voter changes at a time, so that any two successive majorities overlap.
    """
    if not state.checks_invariants:
        return
    before, after = set(current.list_voters()), set(planned.list_voters())
    _require(len(before ^ after) <= 1, "two voters would change at once")
    is_recoverable = before == after or may_change(current, planned, view, policy)
    _require(is_recoverable, "a membership would bear fewer lost disks than before")


def check_match(own: Entry, sent: Entry, state: State) -> None:
    """Raise InvariantError if two logs differ at the same position."""
    if state.checks_invariants:
        _require(own == sent, f"two different entries at {own.position}")


def check_leader(source: HostId, replication: Replication, state: State) -> None:
    """Raise InvariantError if a term has two leaders."""
    if state.checks_invariants:
        is_only = replication.leader in {"", source}
        _require(is_only, f"two leaders in term {replication.vote.term}")


def check_applied(index: int, replication: Replication, state: State) -> None:
    """Raise InvariantError if an entry is applied out of order."""
    if state.checks_invariants:
        is_next = index == replication.applied_index + 1
        _require(is_next, f"entry {index} applied after {replication.applied_index}")


def _require(holds: bool, fault: str) -> None:
    if not holds:
        raise InvariantError(
            f"The replicated log is unsafe: {fault}; "
            f"stop this host, keep its data folder and report it."
        )
