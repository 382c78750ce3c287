"""Disks: the synced and unsynced writes of a simulated control host."""

from __future__ import annotations

from functools import singledispatch

from attrs import define, evolve, field

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.replication import (
    SaveSnapshot,
    WriteJournal,
)
from gentianworks.core.events.replication import (
    JournalContents,
)
from gentianworks.storage.journal import merge_entries


@define
class Disk:
    """Disk of one host: its synced contents and the writes that a crash loses."""

    contents: JournalContents
    unsynced: list[WriteJournal | SaveSnapshot] = field(factory=list)

    def sync(self, sequence: int) -> None:
        """Apply the unsynced writes up to a sequence number to the contents."""
        while self.unsynced and self.unsynced[0].sequence <= sequence:
            apply_write(self.unsynced.pop(0), self)


@singledispatch
def apply_write(effect: Effect, disk: Disk) -> None:
    """Apply a write to the contents of a disk."""
    raise NotImplementedError


@apply_write.register
def _(effect: WriteJournal, disk: Disk) -> None:
    entries = list(disk.contents.entries)
    merge_entries(entries, effect.entries)
    disk.contents = evolve(disk.contents, vote=effect.vote, entries=tuple(entries))


@apply_write.register
def _(effect: SaveSnapshot, disk: Disk) -> None:
    disk.contents = JournalContents(
        effect.host, effect.vote, effect.base, effect.entries, effect.snapshot
    )
