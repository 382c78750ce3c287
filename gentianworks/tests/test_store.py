"""Tests of the store on a full or failing disk."""

from __future__ import annotations

import errno
from io import FileIO
from pathlib import Path
from types import SimpleNamespace
from typing import cast

import anyio
import pytest
from anyio.abc import TaskGroup

from gentianworks.core.commands.members import BeginTerm
from gentianworks.core.effects.replication import (
    ReadSnapshotChunk,
    SaveSnapshot,
    WriteJournal,
)
from gentianworks.core.events.replication import SnapshotChunkRead
from gentianworks.core.replication.log import Entry, Position, Snapshot, Vote
from gentianworks.core.replication.replicated_state import ReplicatedState
from gentianworks.core.types import Role
from gentianworks.process import Process, perform
from gentianworks.storage import journal as journal_module
from gentianworks.storage.errors import STORAGE_EXIT_STATUS
from gentianworks.storage.journal import EncodedSnapshot, Journal
from gentianworks.storage.startup import open_volatile_store
from gentianworks.storage.store import DISK_FULL_RETRY_INTERVAL, Store, open_store
from gentianworks.tests.fixtures import build_state


class FullDisk:
    """Disk that is full for a number of writes and stores half of each of them."""

    def __init__(self, failures: int, monkeypatch: pytest.MonkeyPatch) -> None:
        self.failures = failures
        self._write = journal_module._write_all
        monkeypatch.setattr(journal_module, "_write_all", self.write)

    def write(self, file: FileIO, data: bytes) -> None:
        """Write the data, or half of it and fail."""
        if not self.failures:
            self._write(file, data)
            return
        self.failures -= 1
        file.write(data[: len(data) // 2])
        raise OSError(errno.ENOSPC, "No space is left.")


async def write_entries(folder: Path, count: int, wait: float) -> list[int]:
    """Enqueue writes one by one and return the sequences reported as synced."""
    journal = Journal(folder)
    journal.load("host")
    store = Store(journal)
    synced: list[int] = []
    process = SimpleNamespace(
        handle=lambda event: synced.append(event.sequence),
        fail=lambda *details: pytest.fail(f"the process ended: {details}"),
    )
    for number in range(1, count + 1):
        entry = Entry(Position(1, number), BeginTerm(f"p{number}", 0.0))
        effect = WriteJournal(number, Vote(1, "host"), (entry,))
        store.enqueue_write(effect, cast(Process, process))
        await anyio.sleep(0.01)
    await anyio.sleep(wait)
    return synced


async def save_snapshot(folder: Path, failures: int) -> list[int]:
    """Save a snapshot on a disk that is full for a number of attempts."""
    journal = Journal(folder)
    journal.load("host")
    store = Store(journal)
    synced: list[int] = []
    save = journal.save_snapshot
    remaining = [failures]

    def fail(snapshot: EncodedSnapshot) -> None:
        if remaining[0]:
            remaining[0] -= 1
            raise OSError(errno.ENOSPC, "No space is left.")
        save(snapshot)

    journal.save_snapshot = fail  # type: ignore[method-assign]
    process = SimpleNamespace(handle=lambda event: synced.append(event.sequence))
    base, replicated = Position(1, 1), ReplicatedState()
    snapshot = Snapshot(base, replicated)
    effect = SaveSnapshot(1, "host", Vote(1, "host"), snapshot, base)
    store.save_snapshot(effect, cast(Process, process))
    # Commands that are applied later change the state in place.
    replicated.replica_suspects.version += 1
    entry = Entry(Position(1, 2), BeginTerm("p2", 0.0))
    store.enqueue_write(
        WriteJournal(2, Vote(1, "host"), (entry,)), cast(Process, process)
    )
    await anyio.sleep(3 * DISK_FULL_RETRY_INTERVAL)
    return synced


class TestFullDisk:
    def test_a_snapshot_is_saved_once_the_disk_has_space(self, tmp_path: Path) -> None:
        assert anyio.run(save_snapshot, tmp_path, 2) == [2]
        contents = Journal(tmp_path).load("other").ok
        assert contents.snapshot is not None
        assert contents.snapshot.position == Position(1, 1)
        assert [entry.position.index for entry in contents.entries] == [2]

    def test_a_snapshot_that_waits_for_space_has_no_later_commands(
        self, tmp_path: Path
    ) -> None:
        anyio.run(save_snapshot, tmp_path, 2)
        contents = Journal(tmp_path).load("other").ok
        assert contents.snapshot is not None
        assert contents.snapshot.replicated.replica_suspects.version == 0

    def test_no_write_is_reported_as_synced_while_the_disk_is_full(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        FullDisk(1000, monkeypatch)
        assert anyio.run(write_entries, tmp_path, 3, DISK_FULL_RETRY_INTERVAL) == []

    def test_queued_writes_are_synced_once_the_disk_has_space(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        FullDisk(2, monkeypatch)
        assert anyio.run(write_entries, tmp_path, 4, 3 * DISK_FULL_RETRY_INTERVAL) == [
            4
        ]
        contents = Journal(tmp_path).load("other").ok
        assert contents.host == "host"
        assert [entry.position.index for entry in contents.entries] == [1, 2, 3, 4]

    def test_a_crash_on_a_full_disk_preserves_the_synced_entries(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        assert anyio.run(write_entries, tmp_path, 2, 0.0) == [1, 2]
        journal = Journal(tmp_path)
        journal.load("host")
        FullDisk(1, monkeypatch)
        entry = Entry(Position(1, 3), BeginTerm("p3", 0.0))
        with pytest.raises(OSError, match="space"):
            journal.append(Vote(1, "host"), (entry,))
        contents = Journal(tmp_path).load("host").ok
        assert [entry.position.index for entry in contents.entries] == [1, 2]


class TestStart:
    def test_on_a_full_disk_tells_folder_and_remedy(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def fail(path: Path, data: bytes) -> None:
            raise OSError(errno.ENOSPC, "No space is left.")

        monkeypatch.setattr(journal_module, "replace_file", fail)
        opened = open_store(str(tmp_path))
        assert opened.is_error()
        assert str(tmp_path) in str(opened.error)
        assert "free space" in str(opened.error)


class TestSnapshotChunks:
    """A host that catches up is sent the snapshot while it waits for space."""

    def test_are_read_from_a_snapshot_that_is_not_on_the_disk_yet(
        self, tmp_path: Path
    ) -> None:
        async def read() -> list[SnapshotChunkRead]:
            store = Store(Journal(tmp_path))
            store.journal.load("host")
            events: list[SnapshotChunkRead] = []
            process = cast(
                Process,
                SimpleNamespace(handle=events.append, get_adapter=lambda kind: store),
            )
            store.is_disk_full = True
            position = Position(1, 9)
            snapshot = Snapshot(position, ReplicatedState())
            effect = SaveSnapshot(1, "host", Vote(1, "host"), snapshot, position)
            perform(effect, process)
            perform(ReadSnapshotChunk("other", 0), process)
            return events

        (event,) = anyio.run(read)
        assert event.position == Position(1, 9)
        assert event.is_last
        decoded = Journal(tmp_path).decode_snapshot(event.data)
        assert decoded.ok.position == Position(1, 9)


class TestStore:
    def test_a_failed_write_ends_the_process_with_an_error(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def fail(journal: Journal, snapshot: Snapshot) -> None:
            raise OSError("No space is left.")

        monkeypatch.setattr(Journal, "save_snapshot", fail)
        exits: list[int] = []
        process = Process(
            build_state(Role.CONTROL), cast(TaskGroup, None), exit=exits.append
        )
        store = Store(Journal(tmp_path))
        base = Position(1, 1)
        snapshot = Snapshot(base, ReplicatedState())
        effect = SaveSnapshot(1, "host", Vote(1, "host"), snapshot, base)
        with pytest.raises(OSError, match="space"):
            store.save_snapshot(effect, process)
        assert exits == [STORAGE_EXIT_STATUS]


class TestVolatileStore:
    """Machines without a disk may have no folder in which a file can be replaced."""

    def test_writes_are_reported_and_no_file_is_touched(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def refuse(*_: object, **__: object) -> None:
            raise OSError(errno.EROFS, "Read-only file system")

        monkeypatch.setattr("os.open", refuse)
        monkeypatch.setattr("os.replace", refuse)
        monkeypatch.setattr("os.mkdir", refuse)
        monkeypatch.setattr("io.open", refuse)
        opened = open_volatile_store()
        assert not opened.contents.entries
        synced: list[int] = []
        process = SimpleNamespace(
            handle=lambda event: synced.append(event.sequence),
            fail=lambda *details: pytest.fail(f"the process ended: {details}"),
        )
        position = Position(1, 1)
        entry = Entry(position, BeginTerm("p1", 0.0))
        snapshot = Snapshot(position, ReplicatedState())

        async def write() -> None:
            store = opened.store
            effect = WriteJournal(1, Vote(1), (entry,))
            store.enqueue_write(effect, cast(Process, process))
            await anyio.sleep(0.01)
            save = SaveSnapshot(2, "host", Vote(1), snapshot, position, ())
            store.save_snapshot(save, cast(Process, process))

        anyio.run(write)
        assert synced == [1, 2]

    def test_each_start_is_that_of_a_new_host(self) -> None:
        first, second = open_volatile_store(), open_volatile_store()
        assert first.contents.host != second.contents.host
