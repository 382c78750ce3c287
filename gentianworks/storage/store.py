"""Store: performs the storage effects, several writes for each sync."""

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
from gentianworks.process import Process, perform
from gentianworks.storage.errors import (
    EXIT_STORAGE,
    DiskFullError,
    StorageError,
)
from gentianworks.storage.journal import Journal, merge_entries

FULL_RETRY_INTERVAL = (
    0.25  # seconds; room is found soon, at little cost while there is none
)
SNAPSHOT_CHUNK_BYTES = 64 * 1024
HOST_ID_BYTES = 8

logger = logging.getLogger("gentianworks")


@define
class Store:
    """Hold the journal and the writes that wait for the next sync.

    While the disk is full they wait for room, and with them whatever rests on them.
    """

    journal: Journal
    is_full: bool = False
    _waiting: list[WriteJournal] = field(factory=list)
    _saving: SaveSnapshot | None = None

    def add(self, effect: WriteJournal, process: Process) -> None:
        """Take a write; all that are taken in one turn of the loop share a sync."""
        if not self._waiting and not self.is_full:
            asyncio.get_running_loop().call_soon(self._sync, process)
        self._waiting.append(effect)

    def save(self, effect: SaveSnapshot, process: Process) -> None:
        """Replace snapshot and journal; the new journal holds what waits as well."""
        self._saving = effect
        self._waiting.clear()
        if not self.is_full:
            self._write_waiting(process)

    def _sync(self, process: Process) -> None:
        try:
            self._write_waiting(process)
        except Exception:
            process.fail("GW1006")

    def _write_waiting(self, process: Process) -> None:
        try:
            sequence = self._write(process)
        except DiskFullError as error:
            self._wait_for_room(error, process)
            return
        if self.is_full:
            self.is_full = False
            logger.info("GW2014")
        if sequence is not None:
            process.handle(JournalSynced(sequence))

    def _write(self, process: Process) -> int | None:
        """Write all that waits and return the number of the last write, if any."""
        saving, sequence = self._saving, None
        if saving is not None:
            self._guard(lambda: self._replace(saving), process)
            self._saving, sequence = None, saving.sequence
        if self._waiting:
            entries: list[Entry] = []
            for write in self._waiting:
                merge_entries(entries, write.entries)
            last = self._waiting[-1]
            self._guard(lambda: self.journal.append(last.vote, tuple(entries)), process)
            self._waiting, sequence = [], last.sequence
        return sequence

    def _wait_for_room(self, error: DiskFullError, process: Process) -> None:
        if not self.is_full:
            self.is_full = True
            logger.error("GW2013", extra={"details": (("error", str(error)),)})
        loop = asyncio.get_running_loop()
        loop.call_later(FULL_RETRY_INTERVAL, self._sync, process)

    def _replace(self, effect: SaveSnapshot) -> None:
        self.journal.save_snapshot(effect.snapshot)
        self.journal.rewrite(effect.host, effect.vote, effect.base, effect.entries)

    def _guard(self, write: Callable[[], None], process: Process) -> None:
        try:
            write()
        except OSError as error:
            if error.errno == errno.ENOSPC:
                raise DiskFullError(str(error)) from error
            process.fail("GW2010", (("error", str(error)),), EXIT_STORAGE)
            raise


@frozen
class StoredLog:
    """Hold an open store and what its data folder held."""

    store: Store
    contents: JournalContents


def open_store(folder: str) -> Result[StoredLog, StorageError]:
    """Return the store of a data folder and what it held."""
    if not folder:
        detail = "is not set; give each control host a folder on its disk."
        return Error(StorageError("[node] data_folder", detail))
    journal = Journal(Path(folder))
    loaded = journal.load(secrets.token_hex(HOST_ID_BYTES))
    return loaded.map(lambda contents: StoredLog(Store(journal), contents))


@perform.register
def _(effect: WriteJournal, process: Process) -> None:
    process.get_adapter(Store).add(effect, process)


@perform.register
def _(effect: SaveSnapshot, process: Process) -> None:
    process.get_adapter(Store).save(effect, process)


@perform.register
def _(effect: ReadSnapshotChunk, process: Process) -> None:
    journal = process.get_adapter(Store).journal
    chunk = journal.read_snapshot(effect.offset, SNAPSHOT_CHUNK_BYTES)
    event = SnapshotChunkRead(
        target=effect.target,
        position=journal.snapshot_position,
        offset=effect.offset,
        data=chunk.data,
        is_last=chunk.is_last,
    )
    process.handle(event)


@perform.register
def _(effect: DecodeSnapshot, process: Process) -> None:
    journal = process.get_adapter(Store).journal
    match journal.decode_snapshot(effect.data):
        case Result(tag="ok", ok=snapshot):
            process.handle(SnapshotDecoded(effect.source, snapshot))
        case Result(error=error):
            logger.error("GW2011", extra={"details": (("error", str(error)),)})
