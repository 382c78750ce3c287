"""Journal: the log entries, votes and snapshot of one control host on disk."""

from __future__ import annotations

import os
from io import FileIO
from pathlib import Path
from typing import Any

from attrs import evolve, frozen
from expression import Error, Ok, Result

from gentianworks.codecs.journal import (
    JournalBatch,
    JournalHeader,
    RecordCodec,
    RecordError,
)
from gentianworks.core.events.replication import JournalContents
from gentianworks.core.replication.log import Entry, Position, Snapshot, Vote
from gentianworks.core.replication.members import HostId
from gentianworks.storage.errors import StorageError
from gentianworks.storage.files import replace_file

JOURNAL_FILE = "journal"
SNAPSHOT_FILE = "snapshot"
REMEDY = (
    "Empty the data folder, so that this host joins its group again as a new member, "
    "provided that a majority of the other control hosts is up."
)


@frozen
class StoredSnapshotChunk:
    """Chunk of an encoded snapshot."""

    data: bytes
    is_last: bool


@frozen
class EncodedSnapshot:
    """Snapshot as it is stored; later commands don't change it."""

    position: Position
    data: bytes

    def read_chunk(self, offset: int, size: int) -> StoredSnapshotChunk:
        """Return up to `size` bytes, starting at `offset`."""
        data = self.data[offset : offset + size]
        return StoredSnapshotChunk(data, offset + len(data) >= len(self.data))


class Journal:
    """Journal and snapshot files of a data folder."""

    def __init__(self, folder: Path) -> None:
        self._journal = folder / JOURNAL_FILE
        self._snapshot = folder / SNAPSHOT_FILE
        self._codec = RecordCodec()
        self._file: FileIO | None = None
        self._end = 0
        self.snapshot_position = Position()

    def load(self, new_host: HostId) -> Result[JournalContents, StorageError]:
        """Return the contents of the folder; initialize an empty one for `new_host`."""
        self._journal.parent.mkdir(parents=True, exist_ok=True)
        if not self._journal.exists():
            if self._snapshot.exists():
                return self._fail(
                    self._journal, "is missing, although the snapshot exists."
                )
            self.rewrite(new_host, Vote(), Position(), ())
        snapshot: Snapshot | None = None
        if self._snapshot.exists():
            loaded = self._load_snapshot()
            if loaded.is_error():
                return Error(loaded.error)
            snapshot = loaded.ok
        return self._load_journal(snapshot)

    def append(self, vote: Vote, entries: tuple[Entry, ...]) -> None:
        """Append entries and the current vote, and sync them to disk.

        After an OSError the caller may retry: the next call overwrites the partial
        record.
        """
        if self._file is None:
            self._file = self._journal.open("r+b", buffering=0)
            self._end = self._file.seek(0, os.SEEK_END)
        record = self._codec.encode(JournalBatch(vote, entries))
        self._file.seek(self._end)
        _write_all(self._file, record)
        os.fdatasync(self._file.fileno())
        self._end += len(record)

    def rewrite(
        self, host: HostId, vote: Vote, base: Position, entries: tuple[Entry, ...]
    ) -> None:
        """Replace the journal and sync the new one to disk."""
        self.close()
        header = self._codec.encode(JournalHeader(host, base))
        batch = self._codec.encode(JournalBatch(vote, entries))
        replace_file(self._journal, header + batch)

    def encode_snapshot(self, snapshot: Snapshot) -> EncodedSnapshot:
        """Return a snapshot as it is to be stored."""
        return EncodedSnapshot(snapshot.position, self._codec.encode(snapshot))

    def save_snapshot(self, snapshot: EncodedSnapshot) -> None:
        """Replace the snapshot and sync the new one to disk."""
        replace_file(self._snapshot, snapshot.data)
        self.snapshot_position = snapshot.position

    def read_snapshot_chunk(self, offset: int, size: int) -> StoredSnapshotChunk:
        """Return up to `size` bytes of the snapshot file, starting at `offset`."""
        with self._snapshot.open("rb") as file:
            file.seek(offset)
            data = file.read(size)
            end = os.fstat(file.fileno()).st_size
        return StoredSnapshotChunk(data, offset + len(data) >= end)

    def decode_snapshot(self, data: bytes) -> Result[Snapshot, StorageError]:
        """Decode a snapshot received from a peer."""
        try:
            snapshot, _ = self._codec.decode(data, 0, Snapshot)
        except RecordError as error:
            return Error(StorageError("snapshot of a peer", f"{error}."))
        return Ok(snapshot)

    def close(self) -> None:
        """Close the journal file; the next append reopens it."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def _load_snapshot(self) -> Result[Snapshot, StorageError]:
        data = self._snapshot.read_bytes()
        try:
            snapshot, _ = self._codec.decode(data, 0, Snapshot)
        except RecordError as error:
            return self._fail(self._snapshot, f"is damaged: {error}.")
        self.snapshot_position = snapshot.position
        return Ok(snapshot)

    def _load_journal(
        self, snapshot: Snapshot | None
    ) -> Result[JournalContents, StorageError]:
        data = self._journal.read_bytes()
        try:
            header, offset = self._codec.decode(data, 0, JournalHeader)
        except RecordError as error:
            return self._fail(self._journal, f"is damaged at its start: {error}.")
        vote, entries = Vote(), list[Entry]()
        while offset < len(data):
            try:
                batch, offset = self._codec.decode(data, offset, JournalBatch)
            except RecordError as error:
                # A record that a crash left incomplete is the last one in the file.
                if self._codec.find_record(data, offset + 1) is not None:
                    detail = f"is damaged at byte {offset}: {error}."
                    return self._fail(self._journal, detail)
                self._truncate(offset)
                break
            vote = batch.vote
            merge_entries(entries, batch.entries)
        contents = JournalContents(
            header.host, vote, header.base, tuple(entries), snapshot
        )
        return self._reconcile(contents)

    def _reconcile(
        self, contents: JournalContents
    ) -> Result[JournalContents, StorageError]:
        """Discard the entries if a crash left a newer snapshot than the journal.

        The snapshot is saved before the journal is rewritten, so a crash in between
        leaves a journal that doesn't reach the position of the snapshot.
        """
        snapshot = contents.snapshot
        position = snapshot.position if snapshot else Position()
        if contents.base.index > position.index:
            return self._fail(
                self._journal, "begins after the last index of the snapshot."
            )
        positions = {entry.position for entry in contents.entries}
        if position in positions or position == contents.base:
            return Ok(contents)
        self.rewrite(contents.host, contents.vote, position, ())
        return Ok(evolve(contents, base=position, entries=()))

    def _truncate(self, size: int) -> None:
        with self._journal.open("r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def _fail(self, path: Path, detail: str) -> Result[Any, StorageError]:
        return Error(StorageError(str(path), f"{detail} {REMEDY}"))


def _write_all(file: FileIO, data: bytes) -> None:
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[file.write(remaining) or 0 :]


def merge_entries(entries: list[Entry], newer: tuple[Entry, ...]) -> None:
    """Append entries, replacing those at the first new index and above."""
    if newer and entries:
        kept_count = newer[0].position.index - entries[0].position.index
        del entries[max(kept_count, 0) :]
    entries.extend(newer)
