"""Tests of evacuations of availability zones."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import msgpack
import pytest
from attrs import evolve

from gentianworks.codecs.commands import create_converter
from gentianworks.core.commands.base import apply_command
from gentianworks.core.commands.evacuations import EvacuationSet, SetEvacuation
from gentianworks.core.effects.callers import RefuseRequest
from gentianworks.core.effects.gateway import CallReplica, DecodeRoutes
from gentianworks.core.effects.lifecycle import LogEvent
from gentianworks.core.evacuations.registry import (
    LIST_LAG,
    MAX_EVACUATED_ZONES,
    MAX_KNOWN_CHANGES,
)
from gentianworks.core.events.configuration import RevisionConfirmed
from gentianworks.core.events.evacuations import EvacuationsChanged, ZoneReopeningDue
from gentianworks.core.events.gateway import ReplicaListFetched
from gentianworks.core.gateway.replicas import Replica
from gentianworks.core.handlers import reduce
from gentianworks.core.replication.replicated_state import ReplicatedState
from gentianworks.core.state import State
from gentianworks.core.types import Configuration, RunState
from gentianworks.tests.control_groups import get_leader
from gentianworks.tests.gateways import (
    NOW,
    TABLE,
    build_gateway,
    get_effect,
    get_gateway,
    send_call,
)
from properties.control_group import SNAPSHOT_INTERVAL
from properties.evacuating_fleet import EvacuatingFleet, form_fleet

EVACUATION_TIME = 5.0  # seconds; `evacMs` of the deployments
RESPONSE_TIME = 1.0  # seconds; then operators go on to the next host

COLD_TABLE = evolve(
    TABLE,
    services=tuple(
        evolve(item, cold_rate=12.0, cold_time=3.0) for item in TABLE.services
    ),
)


def set_evacuation(
    replicated: ReplicatedState,
    zone: str,
    is_evacuated: bool,
    known_revision: int | None = None,
) -> EvacuationSet:
    """Apply an order, of a host that is up to date by default; return its outcome."""
    if known_revision is None:
        known_revision = replicated.evacuations.revision
    command = SetEvacuation("p", NOW, "olwen", zone, is_evacuated, known_revision, "x")
    outcome = apply_command(command, replicated)
    assert isinstance(outcome, EvacuationSet)
    return outcome


def build_zones() -> State:
    """Return a router whose engines are in the zones a and b."""
    state = build_gateway()
    listed = [
        Replica(f"{zone}-{n}", "engines", f"10.0.{n}.{len(zone)}:{port}", zone, 64)
        for port, zone in ((80, "a"), (81, "b"))
        for n in range(3)
    ]
    reduce(ReplicaListFetched(tuple(listed)), state, NOW)
    return state


def list_zones(state: State, now: float, calls: int = 40) -> set[str]:
    """Return the zones to which some calls are sent."""
    zones = set()
    for number in range(calls):
        effects = send_call(
            state, now, f"x{now}-{number}", request_id=f"r{number}", prompt=()
        )
        sent = [item for item in effects if isinstance(item, CallReplica)]
        zones |= {item.replica.availability_zone for item in sent}
    return zones


class TestOrders:
    def test_an_order_that_is_sent_again_changes_nothing(self) -> None:
        replicated = ReplicatedState()
        assert set_evacuation(replicated, "a", True) == EvacuationSet(1, True)
        assert set_evacuation(replicated, "a", True) == EvacuationSet(1, False)
        assert replicated.evacuations.zones == ["a"]
        (entry,) = replicated.audit.entries
        assert entry.detail == ("zone a: evacuated",)

    def test_a_repeated_command_does_not_undo_a_later_order(self) -> None:
        replicated = ReplicatedState()
        set_evacuation(replicated, "a", True, 0)
        set_evacuation(replicated, "a", False)
        assert set_evacuation(replicated, "a", True, 0).is_stale
        assert replicated.evacuations.zones == []

    def test_a_late_order_is_stale_although_its_last_change_is_forgotten(self) -> None:
        replicated = ReplicatedState()
        evacuations = replicated.evacuations
        set_evacuation(replicated, "a", True)
        set_evacuation(replicated, "a", False)
        for number in range(MAX_KNOWN_CHANGES):
            set_evacuation(replicated, f"z{number}", True)
            set_evacuation(replicated, f"z{number}", False)
        assert len(evacuations.changed_in) == MAX_KNOWN_CHANGES
        assert set_evacuation(replicated, "a", True, 0).is_stale
        assert set_evacuation(replicated, "a", True).is_changed

    def test_the_number_of_evacuated_zones_is_bounded(self) -> None:
        replicated = ReplicatedState()
        for number in range(MAX_EVACUATED_ZONES):
            set_evacuation(replicated, f"z{number}", True)
        assert not set_evacuation(replicated, "more", True).has_room
        assert set_evacuation(replicated, "z7", True).has_room
        assert len(replicated.evacuations.zones) == MAX_EVACUATED_ZONES


class TestLoadBound:
    def test_a_hot_prefix_stays_below_the_bound_with_the_idle_replicas(self) -> None:
        """A zone's idle replicas lower the mean; LIMIT broke 1.5 s after an order."""
        state = build_zones()
        reduce(EvacuationsChanged("c", 1, ("a",)), state, NOW)
        counts: Counter[str] = Counter()
        for number in range(12):  # with more, the zone that is left exceeds any bound
            sent = get_effect(CallReplica, send_call(state, NOW, f"x{number}"))
            name = sent.replica.name
            mean = sum(counts.values()) / 6
            counts[name] += 1
            assert counts[name] <= 1.6 * mean + 2


class TestRouters:
    def test_calls_avoid_an_evacuated_zone(self) -> None:
        state = build_zones()
        assert list_zones(state, NOW) == {"a", "b"}
        reduce(EvacuationsChanged("c", 1, ("a",)), state, NOW)
        assert list_zones(state, NOW + 1) == {"b"}

    def test_an_older_revision_does_not_reopen_a_zone(self) -> None:
        state = build_zones()
        reduce(EvacuationsChanged("c", 2, ("a",)), state, NOW)
        reduce(EvacuationsChanged("c", 1, ()), state, NOW)
        assert list_zones(state, NOW + 1) == {"b"}

    def test_calls_are_refused_as_not_run_if_all_zones_are_evacuated(self) -> None:
        state = build_zones()
        reduce(EvacuationsChanged("c", 1, ("a", "b")), state, NOW)
        problem = get_effect(RefuseRequest, send_call(state)).problem
        assert (problem.run_state, problem.retry_after) == (RunState.NOT_RUN, 2.0)

    def test_a_reopened_zone_waits_for_a_list_that_tells_what_is_cold(self) -> None:
        state = build_zones()
        gateway = get_gateway(state)
        gateway.table = COLD_TABLE
        reduce(EvacuationsChanged("c", 1, ("a",)), state, NOW)
        reduce(EvacuationsChanged("c", 2, ()), state, NOW + 5)
        assert list_zones(state, NOW + 5.5) == {"b"}
        gateway.registry.current_at = NOW + 5 + LIST_LAG
        assert list_zones(state, NOW + 7) == {"a", "b"}
        # GW5131 would send its reader to look for a missing leader.
        assert reduce(ZoneReopeningDue("a", NOW + 5), state, NOW + 9) == []

    def test_a_reopened_zone_does_not_wait_longer_than_a_replica_is_cold(self) -> None:
        state = build_zones()
        get_gateway(state).table = COLD_TABLE
        reduce(EvacuationsChanged("c", 1, ("a",)), state, NOW)
        reduce(EvacuationsChanged("c", 2, ()), state, NOW + 5)
        (log,) = reduce(ZoneReopeningDue("a", NOW + 5), state, NOW + 9)
        assert get_effect(LogEvent, [log]).code == "GW5131"
        assert list_zones(state, NOW + 9) == {"a", "b"}

    def test_a_wait_that_ends_late_does_not_reopen_a_zone_evacuated_again(self) -> None:
        state = build_zones()
        get_gateway(state).table = COLD_TABLE
        for revision, zones in ((1, ("a",)), (2, ()), (3, ("a",))):
            reduce(EvacuationsChanged("c", revision, zones), state, NOW)
        reduce(ZoneReopeningDue("a", NOW), state, NOW + 4)
        assert list_zones(state, NOW + 4) == {"b"}


def follow(fleet: EvacuatingFleet, index: int, zones: set[str]) -> None:
    """Assert that a router knows the zones within the bound of the requirement."""
    fleet.run(EVACUATION_TIME)
    assert fleet.list_known_zones(index) == zones


def run_until(fleet: EvacuatingFleet, is_reached: Callable[[], bool]) -> None:
    """Advance virtual time in steps that are shorter than a sync to disk."""
    end = fleet.now + EVACUATION_TIME
    while not is_reached():
        assert fleet.now < end, "the state was not reached in time"
        fleet.run(0.0005)


def restart_all(fleet: EvacuatingFleet, wiped: int) -> None:
    """Stop all hosts at the same moment, empty one disk and start all hosts."""
    for number in range(fleet.size):
        fleet.crash(number)
    fleet.wipe_disk(wiped)
    for number in set(range(fleet.size)) - {wiped}:
        fleet.start(number)


@pytest.mark.parametrize("seed", range(4))
class TestFailures:
    """An acknowledged order survives each failure; others may be sent again."""

    def test_a_leader_that_dies_before_the_commit_acknowledges_nothing(
        self, seed: int
    ) -> None:
        fleet = form_fleet(seed=seed)
        leader = get_leader(fleet)
        fleet.isolate(leader)
        order = fleet.order(leader, "a", True)
        fleet.run(0.2)
        fleet.crash(leader)
        assert order not in fleet.answers
        fleet.run(3.0)
        again = fleet.order(get_leader(fleet), "a", True)
        follow(fleet, 0, {"a"})
        assert fleet.is_acknowledged(again)

    def test_a_leader_that_dies_after_the_commit_leaves_the_order_to_the_next(
        self, seed: int
    ) -> None:
        fleet = form_fleet(seed=seed)
        leader = get_leader(fleet)
        order = fleet.order(leader, "a", True)
        fleet.isolate_router(0)  # it misses the push
        run_until(fleet, lambda: fleet.is_acknowledged(order))
        fleet.crash(leader)
        fleet.cut_links.clear()
        follow(fleet, 0, {"a"})

    def test_an_order_survives_a_power_loss_and_a_lost_disk(self, seed: int) -> None:
        fleet = form_fleet(seed=seed)
        order = fleet.order(seed % 3, "a", True)
        run_until(fleet, lambda: fleet.is_acknowledged(order))
        restart_all(fleet, wiped=get_leader(fleet))
        fleet.start_router(0)
        fleet.recover()
        follow(fleet, 0, {"a"})

    def test_a_host_that_lags_does_not_reopen_a_zone(self, seed: int) -> None:
        fleet = form_fleet(seed=seed)
        stale = (get_leader(fleet) + 1) % 3
        fleet.isolate(stale)
        fleet.order(get_leader(fleet), "a", True)
        fleet.run(2.0)
        assert fleet.list_zones(stale) == set()
        fleet.start_router(0)  # a quorum confirms the zones, not the host that lags
        fleet.run(1.0)
        refused = fleet.order(stale, "b", True)
        fleet.run(RESPONSE_TIME)
        problem = fleet.answers[refused].problem
        assert problem is not None
        assert problem.retry_after
        follow(fleet, 0, {"a"})

    def test_an_order_that_is_late_does_not_undo_a_later_one(self, seed: int) -> None:
        fleet = form_fleet(seed=seed)
        leader = get_leader(fleet)
        late = (leader + 1) % 3
        fleet.isolate(late)
        fleet.order(late, "a", True)  # the operator goes on after a second
        fleet.run(1.0)
        for is_evacuated in (True, False):
            fleet.order(leader, "a", is_evacuated)
            fleet.run(0.5)
        fleet.heal()
        follow(fleet, 0, set())

    def test_orders_at_once_through_all_hosts_are_acknowledged(self, seed: int) -> None:
        fleet = form_fleet(seed=seed)
        orders = [fleet.order(n % 3, f"z{n}", True) for n in range(8)]
        fleet.run(1.0)
        withdrawals = [fleet.order(n % 3, f"z{n}", False) for n in range(7)]
        fleet.run(1.0)
        assert all(map(fleet.is_acknowledged, (*orders, *withdrawals)))
        follow(fleet, 0, {"z7"})

    def test_a_withdrawal_through_a_host_that_lags_a_little_is_acknowledged(
        self, seed: int
    ) -> None:
        fleet = form_fleet(seed=seed)
        leader = get_leader(fleet)
        order = fleet.order(leader, "a", True)
        run_until(fleet, lambda: fleet.is_acknowledged(order))
        withdrawal = fleet.order((leader + 1) % 3, "a", False)
        fleet.run(1.0)
        assert fleet.is_acknowledged(withdrawal)
        follow(fleet, 0, set())

    def test_a_joining_host_has_the_zones_of_the_snapshot(self, seed: int) -> None:
        fleet = form_fleet(seed=seed)
        for number in range(2 * SNAPSHOT_INTERVAL):
            fleet.order(get_leader(fleet), f"z{number}", True)
            fleet.run(0.2)
        joining = (get_leader(fleet) + 1) % 3
        fleet.wipe_disk(joining)
        assert fleet.list_zones(joining) == set()
        fleet.recover()
        assert fleet.hosts[joining].replication.log.base.index
        assert len(fleet.list_zones(joining)) == 2 * SNAPSHOT_INTERVAL


class TestStart:
    def test_zones_are_in_force_before_the_table(self) -> None:
        state = build_zones()
        state.incarnation = 7
        state.distribution.confirmed_revision = None
        state.distribution.newest = Configuration(revision=3)
        nonce = f"{state.node.name}-7"
        confirmed = RevisionConfirmed("c", nonce, 3, "tcp://c:1", 4, ("a",))
        effects = reduce(confirmed, state, NOW)
        types = [type(item) for item in effects]
        assert types.index(LogEvent) < types.index(DecodeRoutes)
        assert list_zones(state, NOW) == {"b"}

    def test_a_snapshot_of_an_earlier_release_still_decodes(self) -> None:
        converter = create_converter()
        packed = msgpack.unpackb(converter.dumps(ReplicatedState()))
        del packed["evacuations"]
        decoded = converter.loads(msgpack.packb(packed), ReplicatedState)
        assert decoded == ReplicatedState()

    def test_zones_of_a_snapshot_are_decoded(self) -> None:
        replicated = ReplicatedState()
        set_evacuation(replicated, "Caerdydd ü/1", True)
        converter = create_converter()
        packed = converter.dumps(replicated)
        assert converter.loads(packed, ReplicatedState) == replicated
