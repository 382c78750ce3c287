"""Tests of control hosts in separate processes, with injected faults."""

from __future__ import annotations

import shutil
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.control import (
    Operator,
    ask_status,
    find_leader,
    isolate_leader,
    read_revision,
    start_behind_proxies,
    wait_for_revision,
)
from standins.fleet import Fleet, wait_until
from standins.members import Member
from standins.proxy import Fault

CHANGES = 500
ISOLATION_TIME = 8.0  # seconds


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    """Return three control hosts, each behind a proxy for its peers' messages."""
    with Fleet(tmp_path / "fleet") as fleet:
        start_behind_proxies(fleet)
        yield fleet


def empty_disk(fleet: Fleet, member: Member) -> None:
    """Kill a host, delete its data folder and restart it."""
    member.kill()
    shutil.rmtree(fleet.folder / member.name / "data")
    fleet.restart(member.name)


def wait_for_repair(fleet: Fleet, previous: set[str]) -> set[str]:
    """Wait until one voter has a new identity and return the voters' identities."""

    def is_repaired() -> bool:
        report = ask_status(find_leader(fleet))
        if report is None or any(item.is_learner for item in report.controls):
            return False
        current.clear()
        current.update(item.host for item in report.controls)
        return len(current) == 3 and len(current & previous) == 2

    current: set[str] = set()
    wait_until(is_repaired)
    return current


class TestLeader:
    def test_a_killed_leader_loses_no_changes(self, fleet: Fleet) -> None:
        leader = find_leader(fleet)
        operator = Operator(fleet.controls)
        for _ in range(5):
            operator.apply()
        leader.kill()
        for _ in range(5):
            operator.apply()
        fleet.restart(leader.name)
        wait_for_revision(fleet.controls, 10)

    def test_a_stopped_leader_hands_over_and_exits(self, fleet: Fleet) -> None:
        leader = find_leader(fleet)
        Operator(fleet.controls).apply()
        assert leader.stop() == 0
        others = [item for item in fleet.controls if item is not leader]
        elected = [
            (fleet.folder / f"{item.name}.log").read_text().count("GW2001")
            for item in others
        ]
        assert sum(elected) == 1, "no other host led when the leader exited"
        Operator(others, revision=1).apply()

    def test_a_frozen_leader_returns_no_stale_read(self, fleet: Fleet) -> None:
        leader = find_leader(fleet)
        others = [item for item in fleet.controls if item is not leader]
        Operator(fleet.controls).apply()
        leader.freeze()
        operator = Operator(others, revision=1)
        wait_until(lambda: all(read_revision(item) == 1 for item in others))
        for _ in range(5):
            operator.apply()
        leader.thaw()
        assert read_revision(leader) in {None, 6}
        wait_for_revision(fleet.controls, 6)

    def test_a_leader_without_incoming_messages_refuses_reads_and_catches_up(
        self, fleet: Fleet
    ) -> None:
        leader = find_leader(fleet)
        others = [item for item in fleet.controls if item is not leader]
        Operator(fleet.controls).apply()
        proxy = fleet.members[f"proxy-{leader.name[-1]}"]
        proxy.set_fault(Fault.CUT)
        operator = Operator(others, revision=1)
        wait_until(lambda: all(read_revision(item) == 1 for item in others))
        operator.apply()
        assert read_revision(leader) is None
        proxy.set_fault(Fault.NONE)
        wait_for_revision(fleet.controls, 2)

    def test_a_leader_isolated_in_both_directions_answers_no_read(
        self, fleet: Fleet
    ) -> None:
        isolated = isolate_leader(fleet, ISOLATION_TIME)
        assert isolated.answers == set()
        assert isolated.changes > 0


class TestDisks:
    def test_a_second_lost_disk_after_a_repair_loses_no_changes(
        self, fleet: Fleet
    ) -> None:
        leader = find_leader(fleet)
        operator = Operator(fleet.controls)
        for _ in range(5):
            operator.apply()
        report = ask_status(leader)
        assert report is not None
        previous = {item.host for item in report.controls}
        first = next(item for item in fleet.controls if item is not leader)
        empty_disk(fleet, first)
        repaired = wait_for_repair(fleet, previous)
        leader.kill()
        operator.apply()
        shutil.rmtree(fleet.folder / leader.name / "data")
        fleet.restart(leader.name)
        wait_for_repair(fleet, repaired)
        wait_for_revision(fleet.controls, 6)

    def test_a_group_restarted_after_many_changes_recovers(self, fleet: Fleet) -> None:
        find_leader(fleet)
        operator = Operator(fleet.controls)
        for _ in range(CHANGES):
            operator.apply()
        for member in fleet.controls:
            member.kill()
        for member in fleet.controls:
            fleet.restart(member.name)
        wait_for_revision(fleet.controls, CHANGES)
        repeated = operator.send("change-1", 0)
        assert (repeated.revision, repeated.is_repeated) == (1, True)
