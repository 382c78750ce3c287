"""Store: performs the storage effects and batches journal writes into one sync."""

from __future__ import annotations

import asyncio
import errno
import logging
import secrets
from collections.abc import Callable
from pathlib import Path

from attrs import define, field, frozen
from expression import Error, Result

from gentianworks.core.effects.replication import (
    DecodeSnapshot,
    ReadSnapshotChunk,
    SaveSnapshot,
    WriteJournal,
)
from gentianworks.core.events.replication import (
    JournalContents,
    JournalSynced,
    SnapshotChunkRead,
    SnapshotDecoded,
)
from gentianworks.core.replication.log import Entry
from gentianworks.core.replication.members import HostId
from gentianworks.process import Process, perform
from gentianworks.storage.errors import (
    STORAGE_EXIT_STATUS,
    DiskFullError,
    StorageError,
)
from gentianworks.storage.journal import EncodedSnapshot, Journal, merge_entries

DISK_FULL_RETRY_INTERVAL = (
    0.25  # seconds; detects free space soon, at little cost while the disk is full
)
SNAPSHOT_CHUNK_BYTES = 64 * 1024
HOST_ID_BYTES = 8

logger = logging.getLogger("gentianworks")


@frozen
class QueuedSnapshot:
    """Snapshot that waits to be saved, encoded as it was when it was taken."""

    effect: SaveSnapshot
    snapshot: EncodedSnapshot


@define
class Store:
    """Journal with the writes that are queued for its next sync.

    While the disk is full the writes stay queued, and no event that depends on their
    sync is reported.
    """

    journal: Journal
    is_disk_full: bool = False
    _queued_writes: list[WriteJournal] = field(factory=list)
    _queued_snapshot: QueuedSnapshot | None = None

    def enqueue_write(self, effect: WriteJournal, process: Process) -> None:
        """Queue a write; writes of the same iteration of the loop share one sync."""
        if not self._queued_writes and not self.is_disk_full:
            asyncio.get_running_loop().call_soon(self._flush_or_fail, process)
        self._queued_writes.append(effect)

    def save_snapshot(self, effect: SaveSnapshot, process: Process) -> None:
        """Replace snapshot and journal.

        The entries of the effect include the queued writes, so the queue is cleared.
        """
        snapshot = self.journal.encode_snapshot(effect.snapshot)
        self._queued_snapshot = QueuedSnapshot(effect, snapshot)
        self._queued_writes.clear()
        if not self.is_disk_full:
            self._flush(process)

    def read_snapshot_chunk(self, target: HostId, offset: int) -> SnapshotChunkRead:
        """Return a chunk of the newest snapshot, on the disk or waiting for space."""
        queued = self._queued_snapshot
        if queued is None:
            position = self.journal.snapshot_position
            chunk = self.journal.read_snapshot_chunk(offset, SNAPSHOT_CHUNK_BYTES)
        else:
            position = queued.snapshot.position
            chunk = queued.snapshot.read_chunk(offset, SNAPSHOT_CHUNK_BYTES)
        return SnapshotChunkRead(target, position, offset, chunk.data, chunk.is_last)

    def _flush_or_fail(self, process: Process) -> None:
        try:
            self._flush(process)
        except Exception:
            process.fail("GW1006")

    def _flush(self, process: Process) -> None:
        try:
            sequence = self._write(process)
        except DiskFullError as error:
            self._schedule_retry(error, process)
            return
        if self.is_disk_full:
            self.is_disk_full = False
            logger.info("GW2014")
        if sequence is not None:
            process.handle(JournalSynced(sequence))

    def _write(self, process: Process) -> int | None:
        """Perform the queued writes and return the sequence of the last, if any."""
        save, sequence = self._queued_snapshot, None
        if save is not None:
            self._run(lambda: self._replace_files(save), process)
            self._queued_snapshot, sequence = None, save.effect.sequence
        if self._queued_writes:
            entries: list[Entry] = []
            for write in self._queued_writes:
                merge_entries(entries, write.entries)
            last = self._queued_writes[-1]
            self._run(lambda: self.journal.append(last.vote, tuple(entries)), process)
            self._queued_writes, sequence = [], last.sequence
        return sequence

    def _schedule_retry(self, error: DiskFullError, process: Process) -> None:
        if not self.is_disk_full:
            self.is_disk_full = True
            logger.error("GW2013", extra={"details": (("error", str(error)),)})
        loop = asyncio.get_running_loop()
        loop.call_later(DISK_FULL_RETRY_INTERVAL, self._flush_or_fail, process)

    def _replace_files(self, save: QueuedSnapshot) -> None:
        effect = save.effect
        self.journal.save_snapshot(save.snapshot)
        self.journal.rewrite(effect.host, effect.vote, effect.base, effect.entries)

    def _run(self, write: Callable[[], None], process: Process) -> None:
        try:
            write()
        except OSError as error:
            if error.errno == errno.ENOSPC:
                raise DiskFullError(str(error)) from error
            process.fail("GW2010", (("error", str(error)),), STORAGE_EXIT_STATUS)
            raise


@frozen
class OpenedStore:
    """Open store with the contents of its journal."""

    store: Store
    contents: JournalContents


def open_store(folder: str) -> Result[OpenedStore, StorageError]:
    """Open the store of a data folder and load its journal."""
    if not folder:
        detail = "is not set; give each control host a folder on its disk."
        return Error(StorageError("[node] data_folder", detail))
    journal = Journal(Path(folder))
    try:
        loaded = journal.load(secrets.token_hex(HOST_ID_BYTES))
    except OSError as error:
        detail = f"can't be read or written ({error}); free space on its disk."
        return Error(StorageError(folder, detail))
    return loaded.map(lambda contents: OpenedStore(Store(journal), contents))


@perform.register
def _(effect: WriteJournal, process: Process) -> None:
    process.get_adapter(Store).enqueue_write(effect, process)


@perform.register
def _(effect: SaveSnapshot, process: Process) -> None:
    process.get_adapter(Store).save_snapshot(effect, process)


@perform.register
def _(effect: ReadSnapshotChunk, process: Process) -> None:
    store = process.get_adapter(Store)
    process.handle(store.read_snapshot_chunk(effect.target, effect.offset))


@perform.register
def _(effect: DecodeSnapshot, process: Process) -> None:
    journal = process.get_adapter(Store).journal
    match journal.decode_snapshot(effect.data):
        case Result(tag="ok", ok=snapshot):
            process.handle(SnapshotDecoded(effect.source, snapshot))
        case Result(error=error):
            logger.error("GW2011", extra={"details": (("error", str(error)),)})
