"""Tests of evacuations of availability zones."""

from __future__ import annotations

from attrs import evolve

from gentianworks.core.commands.base import apply_command
from gentianworks.core.commands.evacuations import EvacuationSet, SetEvacuation
from gentianworks.core.effects.callers import RefuseRequest
from gentianworks.core.effects.gateway import CallReplica
from gentianworks.core.evacuations.registry import LIST_LAG, MAX_EVACUATED_ZONES
from gentianworks.core.events.evacuations import EvacuationsChanged, ZoneReopeningDue
from gentianworks.core.events.gateway import ReplicaListFetched
from gentianworks.core.gateway.replicas import Replica
from gentianworks.core.handlers import reduce
from gentianworks.core.replication.replicated_state import ReplicatedState
from gentianworks.core.state import State
from gentianworks.core.types import RunState
from gentianworks.tests.gateways import (
    NOW,
    TABLE,
    build_gateway,
    get_effect,
    get_gateway,
    send_call,
)

COLD_TABLE = evolve(
    TABLE,
    services=tuple(
        evolve(item, cold_rate=12.0, cold_time=3.0) for item in TABLE.services
    ),
)


def set_evacuation(
    replicated: ReplicatedState, zone: str, is_evacuated: bool, proposal: str
) -> EvacuationSet:
    """Apply an order and return its outcome."""
    command = SetEvacuation(proposal, NOW, "olwen", zone, is_evacuated)
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
        assert set_evacuation(replicated, "a", True, "p1") == EvacuationSet(1, True)
        assert set_evacuation(replicated, "a", True, "p2") == EvacuationSet(1, False)
        assert replicated.evacuations.zones == ["a"]
        (entry,) = replicated.audit.entries
        assert entry.detail == ("zone a: evacuated",)

    def test_a_repeated_command_does_not_undo_a_later_order(self) -> None:
        replicated = ReplicatedState()
        set_evacuation(replicated, "a", True, "p1")
        set_evacuation(replicated, "a", False, "p2")
        set_evacuation(replicated, "a", True, "p1")
        assert replicated.evacuations.zones == []

    def test_the_number_of_evacuated_zones_is_bounded(self) -> None:
        replicated = ReplicatedState()
        for number in range(MAX_EVACUATED_ZONES):
            set_evacuation(replicated, f"z{number}", True, f"p{number}")
        assert not set_evacuation(replicated, "more", True, "q").has_room
        assert set_evacuation(replicated, "z7", True, "r").has_room
        assert len(replicated.evacuations.zones) == MAX_EVACUATED_ZONES


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

    def test_a_reopened_zone_does_not_wait_longer_than_a_replica_is_cold(self) -> None:
        state = build_zones()
        get_gateway(state).table = COLD_TABLE
        reduce(EvacuationsChanged("c", 1, ("a",)), state, NOW)
        reduce(EvacuationsChanged("c", 2, ()), state, NOW + 5)
        reduce(ZoneReopeningDue("a", NOW + 5), state, NOW + 9)
        assert list_zones(state, NOW + 9) == {"a", "b"}

    def test_a_wait_that_ends_late_does_not_reopen_a_zone_evacuated_again(self) -> None:
        state = build_zones()
        get_gateway(state).table = COLD_TABLE
        for revision, zones in ((1, ("a",)), (2, ()), (3, ("a",))):
            reduce(EvacuationsChanged("c", revision, zones), state, NOW)
        reduce(ZoneReopeningDue("a", NOW), state, NOW + 4)
        assert list_zones(state, NOW + 4) == {"b"}
