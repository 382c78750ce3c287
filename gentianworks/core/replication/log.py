"""Log: the entries that the control hosts agree on, from the last compaction on."""

from __future__ import annotations

from collections.abc import Sequence

from attrs import define, field, frozen

from gentianworks.core.commands.base import Command
from gentianworks.core.commands.members import ChangeMembers
from gentianworks.core.replication.members import HostId, Membership
from gentianworks.core.replication.replicated import Replicated


@frozen(order=True)
class Position:
    """Name a place in the log; entries are counted from 1."""

    term: int = 0
    index: int = 0


@frozen
class Vote:
    """Hold the highest term that a host has seen and its vote in that term."""

    term: int = 0
    candidate: HostId = ""


@frozen
class Entry:
    """Hold one command and its place in the log."""

    position: Position
    command: Command


@frozen
class Snapshot:
    """Hold the replicated state as of a place in the log."""

    position: Position
    replicated: Replicated


@define
class Log:
    """Hold the entries after `base`; `synced_index` is the last one on disk."""

    base: Position = field(factory=Position)
    entries: list[Entry] = field(factory=list)
    synced_index: int = 0
    _proposals: set[str] = field(factory=set, init=False)
    _changes: list[Entry] = field(factory=list, init=False)

    def __attrs_post_init__(self) -> None:
        """Note the proposals and changes of members that the log holds."""
        self._note(self.entries)

    @property
    def last(self) -> Position:
        """Return the place of the last entry."""
        return self.entries[-1].position if self.entries else self.base

    def find_term(self, index: int) -> int | None:
        """Return the term at an index, or None where the log doesn't hold it."""
        if index == self.base.index:
            return self.base.term
        if self.base.index < index <= self.last.index:
            return self.get(index).position.term
        return None

    def get(self, index: int) -> Entry:
        """Return the entry at an index that the log holds."""
        return self.entries[index - self.base.index - 1]

    def list_entries(self, first: int, count: int) -> tuple[Entry, ...]:
        """Return up to `count` entries from the index `first` on."""
        start = first - self.base.index - 1
        return tuple(self.entries[start : start + count])

    def holds(self, proposal: str) -> bool:
        """Tell whether an entry came from a proposal."""
        return proposal in self._proposals

    def append(self, entries: Sequence[Entry]) -> None:
        """Add entries that follow the last one."""
        self.entries.extend(entries)
        self._note(entries)

    def truncate(self, first: int) -> None:
        """Drop the entries from the index `first` on."""
        keep = first - self.base.index - 1
        self._forget(self.entries[keep:])
        del self.entries[keep:]
        self.synced_index = min(self.synced_index, first - 1)

    def compact(self, index: int) -> None:
        """Drop the entries up to `index`, which a snapshot covers."""
        base = self.get(index).position
        count = index - self.base.index
        self._forget(self.entries[:count])
        del self.entries[:count]
        self.base = base

    def find_membership(self) -> Membership | None:
        """Return the last membership among the entries, or None."""
        command = self._changes[-1].command if self._changes else None
        return command.membership if isinstance(command, ChangeMembers) else None

    def _note(self, entries: Sequence[Entry]) -> None:
        self._proposals.update(entry.command.proposal for entry in entries)
        self._changes.extend(
            entry for entry in entries if isinstance(entry.command, ChangeMembers)
        )

    def _forget(self, entries: Sequence[Entry]) -> None:
        self._proposals.difference_update(entry.command.proposal for entry in entries)
        dropped = {entry.position for entry in entries}
        self._changes = [item for item in self._changes if item.position not in dropped]
