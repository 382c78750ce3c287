"""Tests of the program built as a single executable file."""

from __future__ import annotations

import os
import subprocess
from pathlib import Path

import psutil
import pytest

from standins.fleet import Fleet, wait_for_status

ROOT = Path(__file__).parents[2]


class TestBinary:
    @pytest.fixture
    def binary(self) -> Path:
        subprocess.run([ROOT / "scripts" / "build"], check=True)
        return ROOT / "dist" / "gentianworks"

    def test_serves_without_a_child_process(self, binary: Path, tmp_path: Path) -> None:
        with Fleet(tmp_path / "fleet") as fleet:
            member = fleet.start_role("control", "control-1", "a")
            member.kill()
            member.process = subprocess.Popen(
                [binary, *member.arguments[2:]],
                env={**os.environ, "SHIV_ROOT": str(tmp_path / "shiv")},
            )
            wait_for_status(member.http_address, "/livez")
            assert psutil.Process(member.process.pid).children(recursive=True) == []
