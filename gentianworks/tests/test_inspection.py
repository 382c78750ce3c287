"""Tests of reading the data folder of the last remaining control host."""

from __future__ import annotations

import json
import shutil
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from gentianworks.commandline.archive import read_archive
from standins.fleet import Fleet, FleetPlan, plan_endpoints, wait_until
from standins.members import Member
from standins.payments import Payment, read_run_state

PLAN = FleetPlan(controls=3, routers=1, endpoints=plan_endpoints("booking", 2))
BAD_INPUT = 2  # exit code


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    with Fleet(tmp_path / "fleet") as fleet:
        fleet.build(PLAN)
        yield fleet


def read_files(folder: Path) -> dict[str, bytes]:
    """Return the contents of the files in a folder."""
    return {file.name: file.read_bytes() for file in folder.iterdir()}


def inspect(fleet: Fleet, survivor: Member, *options: str) -> dict[str, Any]:
    """Return the report of the command on a host's data folder."""
    folder = str(fleet.folder / survivor.name)
    report: dict[str, Any] = json.loads(
        fleet.run_command("inspect", "--settings", folder, "--json", *options)
    )
    return report


class TestInspection:
    def test_reports_the_data_of_the_survivor_without_changing_it(
        self, fleet: Fleet
    ) -> None:
        assert (
            read_run_state(Payment(fleet.routers[0], "filing").start().wait()) == "ran"
        )
        survivor, *lost = fleet.controls
        key = ("--workspace", "parish", "--key", "filing")
        wait_until(lambda: inspect(fleet, survivor, *key)["outcome"] == "ran")
        for member in lost:
            member.kill()
            shutil.rmtree(fleet.folder / member.name / "data")
        survivor.kill()
        data = fleet.folder / survivor.name / "data"
        with (data / "journal").open("ab") as journal:
            journal.write(b"torn")
        before = read_files(data)
        file = fleet.folder / "audit.jsonl"
        report = inspect(fleet, survivor, "--archive", str(file))
        assert (report["revision"], report["keys"]) == (1, {"ran": 1})
        assert len(report["members"]) == 3
        (entry,) = read_archive(file).ok
        assert (entry.operator, entry.digest) == ("olwen", report["audit_digest"])
        assert inspect(fleet, survivor, *key)["status"] == 200
        assert read_files(data) == before

    def test_rejects_a_folder_without_a_journal(self, fleet: Fleet) -> None:
        folder = str(fleet.folder / fleet.routers[0].name)
        done = fleet.try_command("inspect", "--settings", folder)
        assert done.returncode == BAD_INPUT
        assert b"contains no journal" in done.stderr
