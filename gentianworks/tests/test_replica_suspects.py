"""Tests of the registry of what crashes replicas.

Calls with one part in common crash each replica that begins to answer them. Whatever
else is at such a replica is lost with them and must not be refused afterwards.
"""

from __future__ import annotations

from attrs import evolve

from gentianworks.core.quarantine.replica_suspects import (
    INCIDENT_TIME,
    MIN_CRASHES_OF_SERVED,
    MIN_EVIDENCE_TIME,
    QUARANTINE_LIFETIME,
    SIMULTANEOUS_TIME,
    SUSPECT_LIFETIME,
    TRIAL_DELAY,
    TRIAL_DELAY_GROWTH,
    TRIAL_LIFETIME,
    WEAK_TRIAL_DELAY,
    LostCall,
    ReplicaSuspectRegistry,
)

NOW = 1000.0
ROUTER = "tcp://router-1"


def lose_call(name: str, *parts: str) -> LostCall:
    """Return a call that was lost in a crash."""
    return LostCall(f"call/{name}", tuple(f"part/{part}" for part in parts))


def crash(
    registry: ReplicaSuspectRegistry, replica: int, now: float, *calls: LostCall
) -> list[str]:
    """Count the crash of a replica and return the fingerprints quarantined by it."""
    found = registry.record_crash(f"i-{replica}", "engines", calls, now)
    return [item.fingerprint for item in found]


def quarantine_part(registry: ReplicaSuspectRegistry) -> None:
    """Quarantine the part `d` by three crashes, the last at the time `NOW`."""
    crash(registry, 1, NOW - 2.0, lose_call("a", "d"))
    crash(registry, 2, NOW - 1.0, lose_call("a", "d"))
    assert crash(registry, 3, NOW, lose_call("b", "d")) == ["part/d"]


class TestParts:
    def test_a_part_of_two_calls_lost_in_two_crashes_is_quarantined(self) -> None:
        registry = ReplicaSuspectRegistry()
        assert crash(registry, 1, NOW, lose_call("a", "f", "d")) == []
        registry.record_served(("part/f",), is_since_crash=True, now=NOW)
        found = crash(registry, 2, NOW + 1, lose_call("b", "f", "d"))
        assert found == ["part/d"]

    def test_one_call_that_is_lost_twice_does_not_accuse_its_parts(self) -> None:
        registry = ReplicaSuspectRegistry()
        crash(registry, 1, NOW, lose_call("a", "f", "d"))
        assert crash(registry, 2, NOW + 1, lose_call("a", "f", "d")) == ["call/a"]

    def test_a_part_whose_calls_were_served_before_takes_more_crashes(self) -> None:
        registry = ReplicaSuspectRegistry()
        crash(registry, 0, NOW, lose_call("0", "x"))
        registry.record_served(("part/x",), is_since_crash=False, now=NOW)
        for number in range(1, MIN_CRASHES_OF_SERVED - 1):
            assert not crash(
                registry, number, NOW + number, lose_call(f"{number}", "x")
            )
        last = MIN_CRASHES_OF_SERVED
        assert crash(registry, last, NOW + last, lose_call("z", "x")) == ["part/x"]

    def test_crashes_at_once_do_not_accuse_a_part_that_was_served_before(self) -> None:
        registry = ReplicaSuspectRegistry()
        crash(registry, 0, NOW, lose_call("0", "x"))
        registry.record_served(("part/x",), is_since_crash=False, now=NOW)
        gap = MIN_EVIDENCE_TIME / 8
        for number in range(1, MIN_CRASHES_OF_SERVED + 2):
            at = NOW + number * gap
            assert crash(registry, number, at, lose_call(f"{number}", "x")) == []

    def test_a_part_that_proves_to_be_served_before_is_released(self) -> None:
        registry = ReplicaSuspectRegistry()
        quarantine_part(registry)
        served = registry.record_served(("part/d",), is_since_crash=False, now=NOW)
        assert [item.fingerprint for item in served] == ["part/d"]
        assert not registry.suspects["part/d"].is_quarantined

    def test_a_part_that_is_served_since_is_no_suspect(self) -> None:
        registry = ReplicaSuspectRegistry()
        crash(registry, 1, NOW, lose_call("a", "x"))
        registry.record_served(("part/x",), is_since_crash=True, now=NOW)
        assert "part/x" not in registry.list_unproven()
        assert crash(registry, 2, NOW + 1, lose_call("b", "x")) == []

    def test_a_part_that_was_cleared_still_counts_as_served(self) -> None:
        registry = ReplicaSuspectRegistry()
        crash(registry, 1, NOW, lose_call("a", "x"))
        registry.record_served(("part/x",), is_since_crash=True, now=NOW)
        for number in range(2, MIN_CRASHES_OF_SERVED + 1):
            at = NOW + number
            assert crash(registry, number, at, lose_call(f"{number}", "x")) == []


class TestCalls:
    def test_a_call_that_was_served_before_takes_more_crashes(self) -> None:
        registry = ReplicaSuspectRegistry()
        crash(registry, 0, NOW, lose_call("a"))
        registry.record_served(("call/a",), is_since_crash=False, now=NOW)
        for number in range(1, MIN_CRASHES_OF_SERVED - 1):
            assert crash(registry, number, NOW + number, lose_call("a")) == []
        assert crash(registry, 9, NOW + 9, lose_call("a")) == ["call/a"]


class TestClocks:
    def test_crashes_count_where_the_next_leaders_clock_is_behind(self) -> None:
        registry = ReplicaSuspectRegistry()
        crash(registry, 1, NOW, lose_call("a"))
        assert crash(registry, 1, NOW - 2400.0, lose_call("a")) == ["call/a"]


class TestCrashes:
    def test_reports_of_several_routers_count_as_one_crash(self) -> None:
        registry = ReplicaSuspectRegistry()
        for number in range(8):
            found = crash(registry, 1, NOW + number / 100, lose_call(f"{number}", "x"))
            assert found == []
        assert registry.suspects["part/x"].crashes == 1

    def test_replicas_that_crash_at_the_same_time_count_once(self) -> None:
        registry = ReplicaSuspectRegistry()
        for number in range(5):
            at = NOW + number * SIMULTANEOUS_TIME / 10
            assert crash(registry, number, at, lose_call("a", "x")) == []

    def test_a_call_that_crashes_replicas_in_quick_succession_counts_each_time(
        self,
    ) -> None:
        registry = ReplicaSuspectRegistry()
        crash(registry, 1, NOW, lose_call("a", "x"))
        again = evolve(lose_call("a", "x"), was_lost_before=True)
        soon = NOW + SIMULTANEOUS_TIME / 4
        assert crash(registry, 2, soon, again) == ["call/a"]

    def test_a_replica_that_is_back_under_its_name_can_crash_again(self) -> None:
        registry = ReplicaSuspectRegistry()
        crash(registry, 1, NOW, lose_call("a"))
        later = NOW + INCIDENT_TIME + 0.1
        assert crash(registry, 1, later, lose_call("a")) == ["call/a"]

    def test_suspects_are_forgotten_in_time(self) -> None:
        registry = ReplicaSuspectRegistry()
        crash(registry, 1, NOW, lose_call("a", "x"))
        crash(registry, 2, NOW + SUSPECT_LIFETIME + 1, lose_call("b"))
        assert set(registry.suspects) == {"call/b"}
        registry = ReplicaSuspectRegistry()
        quarantine_part(registry)
        crash(registry, 4, NOW + QUARANTINE_LIFETIME + 1, lose_call("c"))
        assert "part/d" not in registry.suspects


def offer_trials(registry: ReplicaSuspectRegistry, now: float) -> bool:
    """Offer the trials that are due and return whether there is a new offer."""
    return registry.offer_trials(registry.list_due_trials(now))


class TestTrials:
    def test_a_trial_is_offered_after_a_delay_and_given_to_one_router(self) -> None:
        registry = ReplicaSuspectRegistry()
        quarantine_part(registry)
        assert not offer_trials(registry, NOW + TRIAL_DELAY - 2)
        assert not registry.begin_trial("part/d", ROUTER, NOW)
        assert offer_trials(registry, NOW + TRIAL_DELAY)
        assert registry.begin_trial("part/d", ROUTER, NOW + TRIAL_DELAY)
        assert not registry.begin_trial("part/d", "tcp://other", NOW + TRIAL_DELAY)
        assert registry.suspects["part/d"].trial_router == ROUTER

    def test_a_trial_without_a_call_passes_to_another_router(self) -> None:
        registry = ReplicaSuspectRegistry()
        quarantine_part(registry)
        offer_trials(registry, NOW + TRIAL_DELAY)
        registry.begin_trial("part/d", ROUTER, NOW + TRIAL_DELAY)
        later = NOW + TRIAL_DELAY + TRIAL_LIFETIME
        assert offer_trials(registry, later)
        assert registry.begin_trial("part/d", "tcp://other", later)

    def test_a_trial_that_crashes_a_replica_delays_the_next_one(self) -> None:
        registry = ReplicaSuspectRegistry()
        quarantine_part(registry)
        tried_at = NOW + TRIAL_DELAY
        offer_trials(registry, tried_at)
        registry.begin_trial("part/d", ROUTER, tried_at)
        crash(registry, 4, tried_at, lose_call("c", "d"))
        next_at = tried_at + TRIAL_DELAY * TRIAL_DELAY_GROWTH
        assert registry.suspects["part/d"].trial_router == ""
        assert not offer_trials(registry, next_at - 1)
        assert offer_trials(registry, next_at)

    def test_a_part_that_two_crashes_accuse_is_tried_soon(self) -> None:
        registry = ReplicaSuspectRegistry()
        crash(registry, 1, NOW - 1.0, lose_call("a", "x"))
        crash(registry, 2, NOW, lose_call("b", "x"))
        assert registry.list_due_trials(NOW + WEAK_TRIAL_DELAY) == ("part/x",)

    def test_parts_that_the_same_crashes_accuse_are_tried_soon(self) -> None:
        registry = ReplicaSuspectRegistry()
        for number in range(3):
            at = NOW - 2.0 + number
            crash(registry, number, at, lose_call(f"{number}", "x", "d"))
        soon = NOW + WEAK_TRIAL_DELAY
        assert registry.list_due_trials(soon) == ("part/x", "part/d")
        offer_trials(registry, soon)
        registry.record_served(("part/x",), is_since_crash=True, now=soon)
        assert not registry.begin_trial("part/d", ROUTER, soon)
        assert registry.list_due_trials(soon) == ()
        assert registry.list_due_trials(NOW + TRIAL_DELAY) == ("part/d",)

    def test_a_trial_that_is_served_releases_the_part(self) -> None:
        registry = ReplicaSuspectRegistry()
        quarantine_part(registry)
        version = registry.version
        (released,) = registry.record_served(("part/d",), is_since_crash=True, now=NOW)
        assert released.fingerprint == "part/d"
        assert registry.version > version
        assert not registry.suspects["part/d"].is_quarantined
