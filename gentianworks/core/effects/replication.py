"""Replication: writes and reads of a control host's storage."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.effects.base import Effect
from gentianworks.core.replication.log import Entry, Position, Snapshot, Vote
from gentianworks.core.replication.members import HostId


@frozen
class WriteJournal(Effect):
    """Write entries and the vote to disk and report `JournalSynced`.

    An entry replaces the one at its index and all entries after it.
    """

    sequence: int
    vote: Vote
    entries: tuple[Entry, ...] = ()


@frozen
class SaveSnapshot(Effect):
    """Replace the snapshot and the journal on disk and report `JournalSynced`.

    The new journal begins after `base` and contains `entries`.
    """

    sequence: int
    host: HostId
    vote: Vote
    snapshot: Snapshot
    base: Position
    entries: tuple[Entry, ...] = ()


@frozen
class ReadSnapshotChunk(Effect):
    """Read a chunk of the saved snapshot and report `SnapshotChunkRead`."""

    target: HostId
    offset: int


@frozen
class DecodeSnapshot(Effect):
    """Decode a snapshot received from a peer and report `SnapshotDecoded`."""

    source: HostId
    data: bytes
