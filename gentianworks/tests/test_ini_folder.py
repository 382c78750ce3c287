"""Tests of merging INI files and locating their keys."""

from __future__ import annotations

from pathlib import Path

from gentianworks.ini_folder import read_folder


class TestReadFolder:
    def test_later_files_override_earlier_ones(self, tmp_path: Path) -> None:
        (tmp_path / "20-b.ini").write_text("[one]\n\nkey = late\n")
        (tmp_path / "10-a.ini").write_text("[one]\nkey = early\nother = kept\n")
        (section,) = read_folder(tmp_path).ok
        assert section.values["key"].text == "late"
        assert section.values["other"].text == "kept"
        assert str(section.get_location("key").file) == "20-b.ini"
        assert section.get_location("key").line == 3

    def test_reports_the_line_of_a_duplicate_key(self, tmp_path: Path) -> None:
        (tmp_path / "10-a.ini").write_text("[one]\nkey = 1\nkey = 2\n")
        message = str(read_folder(tmp_path).error)
        assert "10-a.ini" in message
        assert "line  3" in message or "line 3" in message
