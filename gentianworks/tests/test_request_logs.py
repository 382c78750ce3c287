"""Tests of the command that collects the log lines of one request."""

from __future__ import annotations

import json
from pathlib import Path

from typer.testing import CliRunner

from gentianworks.cli import app


def write_log(path: Path, *lines: tuple[float, str, str]) -> None:
    """Write a log that ends in a truncated line."""
    texts = [
        json.dumps(
            {"time": time, "event": code, "text": f"{code} It was.", "request": request}
        )
        for time, code, request in lines
    ]
    path.write_text("\n".join([*texts, '{"time": 1, "request": "r1']))


class TestFollow:
    def test_prints_the_lines_of_all_processes_by_time(self, tmp_path: Path) -> None:
        first, second = tmp_path / "router-1.log", tmp_path / "router-2.log"
        write_log(first, (2.0, "GW5107", "r1"), (1.5, "GW5108", "r2"))
        write_log(second, (1.0, "GW5101", "r1"))
        result = CliRunner().invoke(app, ["follow", "r1", str(first), str(second)])
        assert result.exit_code == 0
        assert [line.split()[:3] for line in result.stdout.splitlines()] == [
            ["1.000", "router-2", "GW5101"],
            ["2.000", "router-1", "GW5107"],
        ]

    def test_error_gives_a_remedy_if_no_line_matches(self, tmp_path: Path) -> None:
        path = tmp_path / "router-1.log"
        write_log(path, (2.0, "GW5107", "r1"))
        result = CliRunner().invoke(app, ["follow", "r9", str(path)])
        assert result.exit_code == 2
        assert "other routers" in result.output
