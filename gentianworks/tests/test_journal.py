"""Tests of a control host's journal on disk."""

from __future__ import annotations

from pathlib import Path

import pytest

from gentianworks.core.commands.members import BeginTerm
from gentianworks.core.events.replication import JournalContents
from gentianworks.core.replication.log import Entry, Position, Snapshot, Vote
from gentianworks.core.replication.replicated_state import ReplicatedState
from gentianworks.storage.journal import Journal


def create_entry(term: int, index: int) -> Entry:
    """Return an entry with a term and an index."""
    return Entry(Position(term, index), BeginTerm(f"p-{term}-{index}", 1.0))


def load(folder: Path) -> JournalContents:
    """Return the journal contents of a folder."""
    loaded = Journal(folder).load("host-new")
    assert loaded.is_ok(), loaded
    return loaded.ok


@pytest.fixture
def journal(tmp_path: Path) -> Journal:
    """Return a closed journal with three synced entries."""
    journal = Journal(tmp_path)
    assert journal.load("host-1").is_ok()
    for index in (1, 2, 3):
        journal.append(Vote(1, "host-1"), (create_entry(1, index),))
    journal.close()
    return journal


class TestJournal:
    def test_load_returns_host_last_vote_and_entries(
        self, journal: Journal, tmp_path: Path
    ) -> None:
        journal.append(Vote(2, "host-2"), (create_entry(2, 2),))
        contents = load(tmp_path)
        assert contents.host == "host-1"
        assert contents.vote == Vote(2, "host-2")
        assert contents.entries == (create_entry(1, 1), create_entry(2, 2))

    def test_load_truncates_a_torn_record_at_the_end(
        self, journal: Journal, tmp_path: Path
    ) -> None:
        file = tmp_path / "journal"
        intact = file.read_bytes()
        journal.append(Vote(1, "host-1"), (create_entry(1, 4),))
        torn = file.read_bytes()[:-3]
        file.write_bytes(torn)
        assert load(tmp_path).entries[-1] == create_entry(1, 3)
        assert file.read_bytes() == intact

    def test_load_rejects_damage_in_the_middle(
        self, journal: Journal, tmp_path: Path
    ) -> None:
        file = tmp_path / "journal"
        data = bytearray(file.read_bytes())
        data[len(data) // 2] ^= 1
        file.write_bytes(data)
        loaded = Journal(tmp_path).load("host-new")
        assert "is damaged at byte" in str(loaded.error)
        assert "Empty the data folder" in str(loaded.error)
        assert file.read_bytes() == data

    def test_load_rejects_a_damaged_snapshot_and_a_missing_journal(
        self, journal: Journal, tmp_path: Path
    ) -> None:
        snapshot = Snapshot(Position(1, 2), ReplicatedState())
        journal.save_snapshot(journal.encode_snapshot(snapshot))
        file = tmp_path / "snapshot"
        data = bytearray(file.read_bytes())
        data[-1] ^= 1
        file.write_bytes(data)
        assert "checksum" in str(Journal(tmp_path).load("host-new").error)
        (tmp_path / "journal").unlink()
        assert "missing" in str(Journal(tmp_path).load("host-new").error)

    def test_load_discards_entries_behind_a_newer_snapshot_after_a_crash(
        self, journal: Journal, tmp_path: Path
    ) -> None:
        snapshot = Snapshot(Position(2, 9), ReplicatedState())
        journal.save_snapshot(journal.encode_snapshot(snapshot))
        contents = load(tmp_path)
        assert (contents.base, contents.entries) == (Position(2, 9), ())
        journal.append(Vote(2, ""), (create_entry(2, 10),))
        assert load(tmp_path).entries == (create_entry(2, 10),)
