"""Properties of control groups whose disks are full for a while, over random seeds.

Disks were full one after another, never two at once, and long after the last had room
again changes stayed unanswered, while all processes ran.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from gentianworks.storage.store import DISK_FULL_RETRY_INTERVAL
from properties.full_disks import FullDiskGroup

SEEDS = range(8)
ACKNOWLEDGEMENT_TIME = 4.0  # seconds; the least `ackMs` of the deployments
RECOVERY_TIME = 12.0  # seconds; the least `recoverS` of the deployments
MAX_FULL_TIME = 5.0  # seconds
PROPOSAL_INTERVAL = 0.15  # seconds


def build_group(seed: int, size: int = 3) -> FullDiskGroup:
    """Return a group that has elected a leader."""
    group = FullDiskGroup(size, seed, tolerated_losses=size // 2)
    while group.find_leader() is None:
        group.run(0.1)
    play(group, 2.0)
    return group


def play(group: FullDiskGroup, seconds: float) -> None:
    """Propose items at random hosts for some seconds."""
    end = group.now + seconds
    while group.now < end:
        running = [n for n, host in enumerate(group.hosts) if host.is_up]
        group.propose_item(group.rng.choice(running))
        group.run(PROPOSAL_INTERVAL)


def assert_acknowledged(group: FullDiskGroup) -> None:
    """Assert that changes are acknowledged in time at each host, and none is lost."""
    group.run(ACKNOWLEDGEMENT_TIME)
    items = [group.propose_item(number) for number in range(group.size)]
    group.run(ACKNOWLEDGEMENT_TIME)
    assert set(items) <= set(group.acknowledged_items)
    group.recover()


def wait_until_complete(group: FullDiskGroup) -> None:
    """Let the group run until each host is a member with its present disk."""
    end = group.now + RECOVERY_TIME
    while not group.has_full_membership():
        assert group.now < end, "a host did not catch up in time"
        group.run(0.1)


def fill_in_turn(
    group: FullDiskGroup, disturb: Callable[[int], None] = lambda number: None
) -> None:
    """Let each disk be full for a while, one after another, and disturb its host."""
    for number in range(group.size):
        group.fill_disk(number)
        play(group, group.rng.uniform(1.0, MAX_FULL_TIME))
        disturb(number)
        play(group, group.rng.uniform(0.5, MAX_FULL_TIME))
        group.free_disk(number)
        play(group, group.rng.uniform(0.0, 2.0))


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("size", [3, 5])
class TestFullDisks:
    def test_changes_go_on_after_each_disk_was_full(self, seed: int, size: int) -> None:
        group = build_group(seed, size)
        fill_in_turn(group)
        assert_acknowledged(group)

    def test_changes_go_on_while_one_disk_is_full(self, seed: int, size: int) -> None:
        group = build_group(seed, size)
        for number in range(size):
            group.fill_disk(number)
            group.run(ACKNOWLEDGEMENT_TIME)
            others = [item for item in range(size) if item != number]
            items = [group.propose_item(item) for item in others]
            group.run(ACKNOWLEDGEMENT_TIME)
            assert set(items) <= set(group.acknowledged_items)
            group.free_disk(number)
            group.run(1.0)
        assert_acknowledged(group)

    def test_hosts_that_restart_on_a_full_disk_come_back(
        self, seed: int, size: int
    ) -> None:
        group = build_group(seed, size)

        def restart(number: int) -> None:
            group.crash(number)
            group.start(number)

        fill_in_turn(group, restart)
        assert_acknowledged(group)

    def test_hosts_that_restart_after_their_disk_was_full_agree(
        self, seed: int, size: int
    ) -> None:
        group = build_group(seed, size)
        for number in range(size):
            group.fill_disk(number)
            play(group, group.rng.uniform(2.0, MAX_FULL_TIME))
            group.free_disk(number)
            group.run(2 * DISK_FULL_RETRY_INTERVAL)
            group.crash(number)
            group.start(number)
            play(group, 2.0)
        assert_acknowledged(group)

    def test_another_host_that_lost_its_disk_catches_up(
        self, seed: int, size: int
    ) -> None:
        group = build_group(seed, size)
        for number in range(size):
            group.fill_disk(number)
            play(group, group.rng.uniform(1.0, MAX_FULL_TIME))
            group.wipe_disk((number + 1) % size)
            play(group, group.rng.uniform(0.5, MAX_FULL_TIME))
            group.free_disk(number)
            wait_until_complete(group)
        assert_acknowledged(group)

    def test_a_leader_without_a_saved_snapshot_brings_a_lost_disk_up_to_date(
        self, seed: int, size: int
    ) -> None:
        group = FullDiskGroup(size, seed, tolerated_losses=size // 2)
        while group.find_leader() is None:
            group.run(0.1)
        leader = group.find_leader()
        assert leader is not None
        group.fill_disk(leader)
        play(group, MAX_FULL_TIME)
        group.wipe_disk((leader + 1) % size)
        play(group, MAX_FULL_TIME)
        group.free_disk(leader)
        wait_until_complete(group)
        assert_acknowledged(group)

    def test_a_leader_whose_disk_is_full_for_long_is_no_obstacle(
        self, seed: int, size: int
    ) -> None:
        group = build_group(seed, size)
        for _ in range(4):
            leader = group.find_leader()
            assert leader is not None
            group.fill_disk(leader)
            play(group, 20.0)
            group.free_disk(leader)
            play(group, 1.0)
        assert_acknowledged(group)

    def test_a_full_and_a_stalled_disk_at_once_end(self, seed: int, size: int) -> None:
        group = build_group(seed, size)
        for number in range(size):
            stalled = (number + 1) % size
            group.fill_disk(number)
            group.freeze(stalled)
            play(group, group.rng.uniform(1.0, MAX_FULL_TIME))
            group.thaw(stalled)
            group.free_disk(number)
            play(group, 1.0)
        assert_acknowledged(group)
