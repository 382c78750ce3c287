"""Properties of replicas that limit their requests, over random seeds.

A limit holds for all routers together, so routers that each keep to it, or to an even
share with room for one request, send far more between them.
"""

from __future__ import annotations

import pytest

from properties.limited_fleet import LimitedFleet

SEEDS = range(6)
PLAY_TIME = 12.0  # seconds
MAX_ANSWER_TIME = 2.0  # seconds
MIN_SERVED_SHARE = 0.95  # of the calls while other replicas have no limit
MIN_USED_SHARE = 0.5  # of the limits while all replicas have one
RECOVERY_TIME = 3.0  # seconds until a replica without a limit takes part again


def start_fleet(seed: int, **changes: object) -> LimitedFleet:
    """Return a fleet that has served calls for a while."""
    settings: dict[str, object] = {"router_count": 9, "calls_per_second": 60.0}
    settings.update(changes)
    fleet = LimitedFleet(3, seed, seed_host_count=3, **settings)  # type: ignore[arg-type]
    fleet.run(6.0)
    fleet.play(2.0)
    return fleet


def name_limits(fleet: LimitedFleet, count: int) -> list[str]:
    """Let some replicas name a limit, and return them."""
    names = fleet.rng.sample(sorted(fleet.running), count)
    for name in names:
        fleet.name_limit(name, fleet.rng.uniform(0.8, 4.0))
    return names


def assert_kept(fleet: LimitedFleet) -> None:
    """Assert that no replica got more requests than its limit allows."""
    assert fleet.violations == []


@pytest.mark.parametrize("seed", SEEDS)
class TestRequestLimits:
    def test_all_routers_together_keep_to_a_limit(self, seed: int) -> None:
        fleet = start_fleet(seed)
        name_limits(fleet, 4)
        sent, served = fleet.outcomes.sent, fleet.outcomes.served
        fleet.play(PLAY_TIME)
        assert_kept(fleet)
        share = (fleet.outcomes.served - served) / (fleet.outcomes.sent - sent)
        assert share >= MIN_SERVED_SHARE

    def test_many_routers_keep_to_a_limit(self, seed: int) -> None:
        fleet = start_fleet(seed, router_count=60, calls_per_second=200.0)
        name_limits(fleet, 3)
        fleet.play(PLAY_TIME)
        assert_kept(fleet)

    def test_a_lost_leader_raises_no_limit(self, seed: int) -> None:
        fleet = start_fleet(seed)
        name_limits(fleet, 4)
        for _ in range(3):
            fleet.play(4.0)
            leader = fleet.find_leader()
            if leader is not None:
                fleet.crash(leader)
                fleet.play(3.0)
                fleet.start(leader)
        assert_kept(fleet)

    def test_routers_keep_to_a_limit_without_control_hosts(self, seed: int) -> None:
        fleet = start_fleet(seed)
        name_limits(fleet, 6)
        fleet.play(2.0)
        for number in range(fleet.size):
            fleet.crash(number)
        fleet.play(PLAY_TIME)
        for number in range(fleet.size):
            fleet.start(number)
        fleet.play(PLAY_TIME)
        assert_kept(fleet)

    def test_a_limit_named_without_control_hosts_is_kept_and_used(
        self, seed: int
    ) -> None:
        fleet = start_fleet(seed)
        for number in range(fleet.size):
            fleet.crash(number)
        fleet.play(2.0)
        names = name_limits(fleet, 6)
        fleet.play(PLAY_TIME)
        since = fleet.now
        fleet.play(PLAY_TIME)
        assert_kept(fleet)
        used = sum(fleet.count_requests(name, since) for name in names)
        assert used >= MIN_USED_SHARE * PLAY_TIME * sum(fleet.limits.values())

    def test_disturbed_routers_leave_the_others_within_a_limit(self, seed: int) -> None:
        fleet = start_fleet(seed)
        name_limits(fleet, 4)
        for _ in range(4):
            fleet.play(2.0)
            routers = range(fleet.size, fleet.size + fleet.router_count)
            frozen, restarted, cut = fleet.rng.sample(routers, 3)
            for number in (frozen, cut):
                fleet.excuse(number)
            fleet.freeze(frozen)
            fleet.restart_router(restarted)
            fleet.isolate(cut)
            fleet.play(fleet.rng.uniform(0.5, 6.0))
            fleet.thaw(frozen)
            fleet.cut_links.clear()
            for number in (frozen, cut):
                fleet.excuse(number)
        assert_kept(fleet)

    def test_lost_and_late_messages_raise_no_limit(self, seed: int) -> None:
        fleet = start_fleet(seed)
        name_limits(fleet, 4)
        fleet.loss_rate = 0.05
        fleet.play(2 * PLAY_TIME)
        assert_kept(fleet)

    def test_limits_that_come_and_go_are_kept(self, seed: int) -> None:
        fleet = start_fleet(seed)
        for _ in range(5):
            names = name_limits(fleet, 4)
            fleet.play(fleet.rng.uniform(4.0, 8.0))
            for name in names:
                fleet.end_limit(name)
            fleet.play(fleet.rng.uniform(1.0, 4.0))
        assert_kept(fleet)

    def test_a_replica_whose_limit_ended_takes_part_again(self, seed: int) -> None:
        fleet = start_fleet(seed)
        names = name_limits(fleet, 6)
        fleet.play(6.0)
        for name in names:
            fleet.end_limit(name)
        fleet.play(RECOVERY_TIME)
        assert fleet.list_known_limits() == set()
        fleet.run(MAX_ANSWER_TIME)
        sent, served = fleet.outcomes.sent, fleet.outcomes.served
        fleet.play(4.0)
        fleet.run(MAX_ANSWER_TIME)
        share = (fleet.outcomes.served - served) / (fleet.outcomes.sent - sent)
        assert share >= MIN_SERVED_SHARE

    def test_limits_of_all_replicas_are_kept_and_used(self, seed: int) -> None:
        fleet = start_fleet(seed)
        names = name_limits(fleet, 6)
        fleet.play(4.0)
        since = fleet.now
        fleet.play(PLAY_TIME)
        assert_kept(fleet)
        used = sum(fleet.count_requests(name, since) for name in names)
        assert used >= MIN_USED_SHARE * PLAY_TIME * sum(fleet.limits.values())
