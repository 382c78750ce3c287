"""Tests of control hosts in separate processes, with injected faults."""

from __future__ import annotations

import shutil
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.control import (
    OperatorClient,
    isolate_leader,
    read_confirmed_revision,
    request_status,
    start_proxied_controls,
    wait_for_leader,
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
        start_proxied_controls(fleet)
        yield fleet


def empty_disk(fleet: Fleet, member: Member) -> None:
    """Kill a host, delete its data folder and restart it."""
    member.kill()
    shutil.rmtree(fleet.folder / member.name / "data")
    fleet.restart(member.name)


def wait_for_repair(fleet: Fleet, previous: set[str]) -> set[str]:
    """Wait until one voter has a new identity and return the voters' identities."""

    def is_repaired() -> bool:
        report = request_status(wait_for_leader(fleet))
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
        leader = wait_for_leader(fleet)
        operator = OperatorClient(fleet.controls)
        for _ in range(5):
            operator.apply_next_change()
        leader.kill()
        for _ in range(5):
            operator.apply_next_change()
        fleet.restart(leader.name)
        wait_for_revision(fleet.controls, 10)

    def test_a_stopped_leader_hands_over_and_exits(self, fleet: Fleet) -> None:
        leader = wait_for_leader(fleet)
        OperatorClient(fleet.controls).apply_next_change()
        assert leader.stop() == 0
        others = [item for item in fleet.controls if item is not leader]
        elected = [
            (fleet.folder / f"{item.name}.log").read_text().count("GW2001")
            for item in others
        ]
        assert sum(elected) == 1, "no other host led when the leader exited"
        OperatorClient(others, revision=1).apply_next_change()

    def test_a_frozen_leader_returns_no_stale_read(self, fleet: Fleet) -> None:
        leader = wait_for_leader(fleet)
        others = [item for item in fleet.controls if item is not leader]
        OperatorClient(fleet.controls).apply_next_change()
        leader.freeze()
        operator = OperatorClient(others, revision=1)
        wait_until(lambda: all(read_confirmed_revision(item) == 1 for item in others))
        for _ in range(5):
            operator.apply_next_change()
        leader.thaw()
        assert read_confirmed_revision(leader) in {None, 6}
        wait_for_revision(fleet.controls, 6)

    def test_a_leader_without_incoming_messages_refuses_reads_and_catches_up(
        self, fleet: Fleet
    ) -> None:
        leader = wait_for_leader(fleet)
        others = [item for item in fleet.controls if item is not leader]
        OperatorClient(fleet.controls).apply_next_change()
        proxy = fleet.members[f"proxy-{leader.name[-1]}"]
        proxy.set_fault(Fault.CUT)
        operator = OperatorClient(others, revision=1)
        wait_until(lambda: all(read_confirmed_revision(item) == 1 for item in others))
        operator.apply_next_change()
        assert read_confirmed_revision(leader) is None
        proxy.set_fault(Fault.NONE)
        wait_for_revision(fleet.controls, 2)

    def test_a_leader_isolated_in_both_directions_answers_no_read(
        self, fleet: Fleet
    ) -> None:
        isolated = isolate_leader(fleet, ISOLATION_TIME)
        assert isolated.revisions == set()
        assert isolated.change_count > 0


class TestDisks:
    def test_a_second_lost_disk_after_a_repair_loses_no_changes(
        self, fleet: Fleet
    ) -> None:
        leader = wait_for_leader(fleet)
        operator = OperatorClient(fleet.controls)
        for _ in range(5):
            operator.apply_next_change()
        report = request_status(leader)
        assert report is not None
        previous = {item.host for item in report.controls}
        first = next(item for item in fleet.controls if item is not leader)
        empty_disk(fleet, first)
        repaired = wait_for_repair(fleet, previous)
        leader.kill()
        operator.apply_next_change()
        shutil.rmtree(fleet.folder / leader.name / "data")
        fleet.restart(leader.name)
        wait_for_repair(fleet, repaired)
        wait_for_revision(fleet.controls, 6)

    def test_a_group_restarted_after_many_changes_recovers(self, fleet: Fleet) -> None:
        wait_for_leader(fleet)
        operator = OperatorClient(fleet.controls)
        for _ in range(CHANGES):
            operator.apply_next_change()
        for member in fleet.controls:
            member.kill()
        for member in fleet.controls:
            fleet.restart(member.name)
        wait_for_revision(fleet.controls, CHANGES)
        repeated = operator.send_change("change-1", 0)
        assert (repeated.revision, repeated.is_repeated) == (1, True)
