"""Volatile: the journal of a control host without a disk, which stores nothing.

Such a host forgets its log when it ends. It is a learner for that reason: it neither
votes nor sends snapshots, which would need what it stored.
"""

from __future__ import annotations

from pathlib import Path

from expression import Ok, Result

from gentianworks.core.events.replication import JournalContents
from gentianworks.core.replication.log import Entry, Position, Snapshot, Vote
from gentianworks.core.replication.members import HostId
from gentianworks.storage.errors import StorageError
from gentianworks.storage.journal import EncodedSnapshot, Journal


class VolatileJournal(Journal):
    """Journal that is empty at each start and drops what is written to it."""

    def __init__(self) -> None:
        super().__init__(Path())

    def load(self, new_host: HostId) -> Result[JournalContents, StorageError]:
        """Return the contents of an empty journal of `new_host`."""
        return Ok(JournalContents(new_host, Vote(), Position()))

    def append(self, vote: Vote, entries: tuple[Entry, ...]) -> None:
        """Drop entries and the current vote."""

    def rewrite(
        self, host: HostId, vote: Vote, base: Position, entries: tuple[Entry, ...]
    ) -> None:
        """Drop a new journal."""

    def encode_snapshot(self, snapshot: Snapshot) -> EncodedSnapshot:
        """Return a snapshot without its contents."""
        return EncodedSnapshot(snapshot.position, b"")

    def save_snapshot(self, snapshot: EncodedSnapshot) -> None:
        """Drop a snapshot."""
