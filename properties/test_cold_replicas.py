"""Properties of cold replicas, over random seeds.

A cold replica crashes under more requests than its cold rate allows, in any second and
from all routers together, whether or not these reach a leader.
"""

from __future__ import annotations

import pytest

from properties.cold_fleet import ALLOWED, COLD_RATE, ColdFleet

CASES = [(0, 0.5), (1, 1.0)]  # seed, and share of the replicas that turn cold
ALONE_TIME = 8.0  # seconds; the leader counts as silent, and routers fetch the list
# Of the cold rates while a leader lends shares, by the share of cold replicas. While
# others are warm, a router without a share sends its calls there.
MIN_USED = {0.5: 0.15, 1.0: 0.5}


def start_fleet(seed: int) -> ColdFleet:
    """Return a fleet with a leader that has heard all routers."""
    fleet = ColdFleet(3, seed, seed_host_count=3)
    fleet.run(5.0)
    return fleet


def choose_cold(fleet: ColdFleet, share: float) -> list[str]:
    """Return a share of the replicas."""
    count = int(share * fleet.replica_count)
    return fleet.rng.sample(sorted(fleet.running), count)


def assert_kept(fleet: ColdFleet) -> None:
    """Assert that cold replicas were used, and never beyond what they tolerate."""
    assert 0 < fleet.highest <= ALLOWED


def lose_leader(fleet: ColdFleet) -> None:
    """Stop all control hosts."""
    for number in range(fleet.size):
        fleet.crash(number)


@pytest.mark.parametrize(("seed", "share"), CASES)
class TestColdReplicas:
    def test_shares_of_a_leader_keep_to_the_bound_and_are_used(
        self, seed: int, share: float
    ) -> None:
        fleet = start_fleet(seed)
        names = choose_cold(fleet, share)
        fleet.turn_cold(names, 20.0)
        fleet.play(4.3)
        assert_kept(fleet)
        assert fleet.counted >= MIN_USED[share] * COLD_RATE * 2.0 * len(names)

    def test_the_bound_holds_without_a_leader(self, seed: int, share: float) -> None:
        fleet = start_fleet(seed)
        lose_leader(fleet)
        fleet.turn_cold(choose_cold(fleet, share), 30.0, ALONE_TIME)
        fleet.run(ALONE_TIME - 0.5)
        fleet.play(3.0)
        assert_kept(fleet)

    def test_the_bound_holds_while_leaders_come_and_go(
        self, seed: int, share: float
    ) -> None:
        fleet = start_fleet(seed)
        fleet.turn_cold(choose_cold(fleet, share), 40.0)
        fleet.run(2.0)
        fleet.play(2.0)
        lose_leader(fleet)
        fleet.run(4.0)
        fleet.play(2.5)
        for number in range(fleet.size):
            fleet.start(number)
        fleet.play(3.0)
        assert_kept(fleet)

    def test_the_bound_holds_when_half_of_the_routers_stop(
        self, seed: int, share: float
    ) -> None:
        fleet = start_fleet(seed)
        fleet.turn_cold(choose_cold(fleet, share), 30.0)
        fleet.run(2.0)
        fleet.play(2.0)
        for number in fleet.rng.sample(range(fleet.size, len(fleet.hosts)), 14):
            fleet.stop_router(number)
        fleet.play(1.0)
        fleet.run(4.0)
        fleet.play(2.0)
        assert_kept(fleet)

    def test_the_bound_holds_when_half_of_the_routers_are_cut_off(
        self, seed: int, share: float
    ) -> None:
        fleet = start_fleet(seed)
        fleet.turn_cold(choose_cold(fleet, share), 30.0, ALONE_TIME)
        for number in fleet.rng.sample(range(fleet.size, len(fleet.hosts)), 14):
            fleet.cut_router(number, range(fleet.size))
        fleet.run(ALONE_TIME - 0.5)
        fleet.play(3.0)
        assert_kept(fleet)

    def test_the_bound_holds_for_routers_that_start_together(
        self, seed: int, share: float
    ) -> None:
        fleet = start_fleet(seed)
        fleet.turn_cold(choose_cold(fleet, share), 30.0)
        fleet.run(3.0)
        for number in range(fleet.size, len(fleet.hosts)):
            fleet.restart_router(number)
        fleet.play(3.0)
        assert_kept(fleet)


class TestZones:
    def test_the_bound_holds_for_a_zone_that_turns_cold_at_once(self) -> None:
        fleet = start_fleet(2)
        fleet.play(1.0)
        for zone in ("z0", "z1"):
            fleet.turn_cold(fleet.list_zone(zone), 3.0)
            fleet.play(3.0)
        fleet.turn_cold([*fleet.list_zone("z0"), *fleet.list_zone("z2")], 6.0)
        fleet.play(4.0)
        assert_kept(fleet)

    def test_the_bound_holds_for_a_zone_that_restarts_under_its_names(self) -> None:
        fleet = start_fleet(0)
        fleet.play(1.0)
        for name in fleet.list_zone("z1"):
            fleet.restart_replica(name, 3.0)
        fleet.play(3.0)
        assert_kept(fleet)
