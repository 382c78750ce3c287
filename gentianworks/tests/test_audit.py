"""Tests of the chained audit trail."""

from __future__ import annotations

from pathlib import Path

from attrs import evolve

from gentianworks.commandline.archive import extend_archive, read_archive
from gentianworks.core.operators import audit
from gentianworks.core.operators.audit import (
    AuditAction,
    AuditEntry,
    AuditTrail,
    find_broken_link,
)


def build_trail(count: int) -> AuditTrail:
    trail = AuditTrail()
    for number in range(count):
        entry = AuditEntry(
            0, 1.5, "olwen", AuditAction.CHANGED, "c", number, number + 1
        )
        trail.record(entry)
    return trail


class TestAuditTrail:
    def test_detects_an_altered_and_a_missing_entry(self) -> None:
        entries = build_trail(4).entries
        assert find_broken_link(entries) is None
        altered = evolve(entries[1], operator="mair")
        assert find_broken_link([entries[0], altered, *entries[2:]]) == altered
        relinked = evolve(altered, digest=audit.compute_digest(altered))
        assert find_broken_link([entries[0], relinked, *entries[2:]]) == entries[2]
        assert find_broken_link([entries[0], *entries[2:]]) == entries[2]

    def test_pages_are_correct_after_the_oldest_are_removed(self) -> None:
        trail = build_trail(6)
        del trail.entries[:2]
        assert [entry.index for entry in trail.list_after(0, 2)] == [3, 4]
        assert [entry.index for entry in trail.list_after(4, 9)] == [5, 6]


class TestArchive:
    def test_accepts_only_entries_that_continue_it(self, tmp_path: Path) -> None:
        file, entries = tmp_path / "audit.jsonl", build_trail(5).entries
        assert extend_archive(file, [], entries[:2]).ok == 2
        kept = read_archive(file).ok
        assert "does not follow" in str(extend_archive(file, kept, entries[3:]).error)
        assert extend_archive(file, kept, entries[2:]).ok == 3
        assert read_archive(file).ok == entries
        file.write_text(file.read_text().replace("olwen", "mair", 1))
        assert "entry 1 breaks the chain" in str(read_archive(file).error)
