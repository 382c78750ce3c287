"""Log: the entries that the control hosts replicate, from the last compaction on."""

from __future__ import annotations

from collections.abc import Sequence

from attrs import define, field, frozen

from gentianworks.core.commands.base import Command
from gentianworks.core.commands.members import ChangeMembers
from gentianworks.core.replication.members import HostId, Membership
from gentianworks.core.replication.replicated_state import ReplicatedState


@frozen(order=True)
class Position:
    """Term and index of a log entry; entries are counted from 1."""

    term: int = 0
    index: int = 0


@frozen
class Vote:
    """Highest term that a host has seen, and its vote in that term."""

    term: int = 0
    candidate: HostId = ""


@frozen
class Entry:
    """Command at a position in the log."""

    position: Position
    command: Command


@frozen
class Snapshot:
    """Replicated state as of a position in the log."""

    position: Position
    replicated: ReplicatedState


@define
class Log:
    """Log entries after `base`; `synced_index` is the last one on disk."""

    base: Position = field(factory=Position)
    entries: list[Entry] = field(factory=list)
    synced_index: int = 0
    _proposals: set[str] = field(factory=set, init=False)
    _membership_entries: list[Entry] = field(factory=list, init=False)

    def __attrs_post_init__(self) -> None:
        """Index the initial entries by proposal and collect the membership changes."""
        self._index(self.entries)

    @property
    def last(self) -> Position:
        """Return the position of the last entry."""
        return self.entries[-1].position if self.entries else self.base

    def find_term(self, index: int) -> int | None:
        """Return the term at an index, or None if the log does not contain it."""
        if index == self.base.index:
            return self.base.term
        if self.base.index < index <= self.last.index:
            return self.get(index).position.term
        return None

    def get(self, index: int) -> Entry:
        """Return the entry at an index, which must be in the log."""
        return self.entries[index - self.base.index - 1]

    def list_entries(self, first: int, count: int) -> tuple[Entry, ...]:
        """Return up to `count` entries from the index `first` on."""
        start = first - self.base.index - 1
        return tuple(self.entries[start : start + count])

    def has_proposal(self, proposal: str) -> bool:
        """Return whether the log contains the entry of a proposal."""
        return proposal in self._proposals

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries that directly follow the last one."""
        self.entries.extend(entries)
        self._index(entries)

    def truncate(self, first: int) -> None:
        """Remove the entries from the index `first` on."""
        kept_count = first - self.base.index - 1
        self._unindex(self.entries[kept_count:])
        del self.entries[kept_count:]
        self.synced_index = min(self.synced_index, first - 1)

    def compact(self, index: int) -> None:
        """Remove the entries up to `index`, which a snapshot covers."""
        base = self.get(index).position
        count = index - self.base.index
        self._unindex(self.entries[:count])
        del self.entries[:count]
        self.base = base

    def find_membership(self) -> Membership | None:
        """Return the latest membership among the entries, or None."""
        command = (
            self._membership_entries[-1].command if self._membership_entries else None
        )
        return command.membership if isinstance(command, ChangeMembers) else None

    def _index(self, entries: Sequence[Entry]) -> None:
        self._proposals.update(entry.command.proposal for entry in entries)
        self._membership_entries.extend(
            entry for entry in entries if isinstance(entry.command, ChangeMembers)
        )

    def _unindex(self, entries: Sequence[Entry]) -> None:
        self._proposals.difference_update(entry.command.proposal for entry in entries)
        dropped = {entry.position for entry in entries}
        self._membership_entries = [
            item for item in self._membership_entries if item.position not in dropped
        ]
