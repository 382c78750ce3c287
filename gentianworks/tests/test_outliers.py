"""Tests of the replicas that fail more calls than others."""

from __future__ import annotations

import random

import pytest
from attrs import evolve

from gentianworks.core.effects.gateway import CallReplica
from gentianworks.core.effects.lifecycle import SendMessage
from gentianworks.core.events.gateway import (
    ReplicaCallFailed,
    ReplicaFailure,
    ReplicaListFetched,
)
from gentianworks.core.events.outliers import OutliersChanged, ReplicaFailuresReported
from gentianworks.core.handlers import reduce
from gentianworks.core.outliers.known import PROBATION
from gentianworks.core.outliers.outcomes import FailureReport, Outcome, RecentOutcomes
from gentianworks.core.outliers.table import (
    FIRST_EJECTION,
    MAX_EJECTED_SHARE,
    OutlierTable,
)
from gentianworks.core.state import State
from gentianworks.tests.gateways import (
    NOW,
    PAYMENT,
    TABLE,
    answer_call,
    build_gateway,
    build_replicas,
    get_effect,
    get_gateway,
    send_call,
)
from properties.listed_fleet import ListedFleet, Platform

ROUTERS = 28
REPLICAS = 24
ANSWERS_PER_SECOND = 130.0  # of a service, at all routers together


class Fleet:
    """Routers that share a leader's table; each gets calls of one service."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.table = OutlierTable()
        self.routers = [RecentOutcomes() for _ in range(ROUTERS)]
        self.now = 0.0

    def run(self, failure_rates: dict[str, float], seconds: float) -> float | None:
        """Return after how many seconds a replica is ejected, or None."""
        began_at = self.now
        while self.now < began_at + seconds:
            self.now += self.random.expovariate(ANSWERS_PER_SECOND)
            replica = f"i-{self.random.randrange(REPLICAS)}"
            is_failure = self.random.random() < failure_rates.get(replica, 0.0)
            number = self.random.randrange(ROUTERS)
            recent = self.routers[number]
            recent.record("llm", Outcome(replica, is_failure, self.now))
            report = recent.take_report(replica, "llm", REPLICAS, self.now)
            if report is not None and self.table.record(
                f"router-{number}", report, ROUTERS, REPLICAS, self.now
            ):
                return self.now - began_at
        return None


class TestFleetOfManyRouters:
    """A call every five seconds from a router shows no failures to that router."""

    def test_a_replica_that_fails_half_of_its_calls_is_ejected_within_seconds(
        self,
    ) -> None:
        times = [Fleet(seed).run({"i-3": 0.5}, 10.0) for seed in range(20)]
        found = [time for time in times if time is not None]
        assert len(found) == len(times)
        assert sum(found) / len(found) < 1.5

    def test_replicas_that_spoil_a_few_answers_stay_in_use(self) -> None:
        rates = {f"i-{n}": 0.03 for n in range(REPLICAS // 2)}
        ejected = [Fleet(seed).run(rates, 10.0) for seed in range(20)]
        assert ejected.count(None) >= 18

    def test_nothing_is_ejected_if_all_replicas_fail_alike(self) -> None:
        """To avoid some would move calls from their prompts and save none of them."""
        rates = {f"i-{n}": 0.5 for n in range(REPLICAS)}
        ejected = [Fleet(seed).run(rates, 4.0) for seed in range(10)]
        assert ejected.count(None) >= 9

    def test_no_more_than_a_third_of_a_service_is_ejected(self) -> None:
        fleet = Fleet(1)
        rates = {f"i-{n}": 1.0 for n in range(REPLICAS // 3)}
        for _ in range(REPLICAS):
            fleet.run(rates, 1.0)
            ejected = len(fleet.table.list_ejected(fleet.now))
            assert ejected <= MAX_EJECTED_SHARE * REPLICAS


class TestReports:
    def test_one_router_alone_ejects_nothing(self) -> None:
        table = OutlierTable()
        report = FailureReport("i-1", "llm", 5, 5, 1.0)
        assert table.record("a", report, ROUTERS, REPLICAS, 1.0) is None
        assert table.record("a", report, ROUTERS, REPLICAS, 1.1) is None
        assert table.record("b", report, ROUTERS, REPLICAS, 1.2) is not None

    def test_a_report_that_arrives_twice_counts_once(self) -> None:
        """Two failures would eject a replica if each report were doubled."""
        table = OutlierTable()
        report = FailureReport("i-1", "llm", 1, 1, 0.1)
        for router in ("a", "b", "a", "b"):
            assert table.record(router, report, ROUTERS, REPLICAS, 1.0) is None

    def test_failures_of_long_ago_do_not_count(self) -> None:
        table = OutlierTable()
        report = FailureReport("i-1", "llm", 1, 1, 0.1)
        table.record("a", report, ROUTERS, REPLICAS, 1.0)
        assert table.record("b", report, ROUTERS, REPLICAS, 9.0) is None

    def test_failures_from_before_the_window_are_not_reported_as_new(self) -> None:
        """A router without a leader would report minutes of failures to the next."""
        recent = RecentOutcomes()
        for second in range(30):
            recent.record("llm", Outcome("i-1", True, float(second)))
        report = recent.take_report("i-1", "llm", REPLICAS, 29.0)
        assert report is not None
        assert report.failures == report.answers == 3

    def test_each_further_ejection_lasts_longer(self) -> None:
        table = OutlierTable()
        report = FailureReport("i-1", "llm", 5, 5, 0.1)
        ends = []
        for now in (0.0, 5.0):
            table.record("a", report, ROUTERS, REPLICAS, now)
            ejection = table.record("b", report, ROUTERS, REPLICAS, now)
            assert ejection is not None
            ends.append(ejection.until - now)
        assert ends == [FIRST_EJECTION, 2 * FIRST_EJECTION]

    def test_a_router_reports_failed_answers_to_the_leader(self) -> None:
        state = build_enabled_gateway()
        state.fleet.leader_address = "tcp://leader"
        sent = get_effect(CallReplica, send_call(state))
        effects = answer_call(sent, state, status=500, is_event_stream=False)
        messages = [item for item in effects if isinstance(item, SendMessage)]
        reports = [item.message for item in messages]
        assert any(isinstance(item, ReplicaFailuresReported) for item in reports)

    def test_a_failure_of_another_replica_at_the_address_is_not_reported(self) -> None:
        """The listed replica would be ejected for what it has not answered."""
        state = build_enabled_gateway()
        state.fleet.leader_address = "tcp://leader"
        sent = get_effect(CallReplica, send_call(state))
        effects = answer_call(
            sent, state, status=500, is_event_stream=False, is_other_replica=True
        )
        assert not [item for item in effects if isinstance(item, SendMessage)]

    @pytest.mark.parametrize(
        ("failure", "is_reported"),
        [(ReplicaFailure.UNREACHABLE, True), (ReplicaFailure.NOT_SENT, False)],
    )
    def test_a_silent_host_is_reported_but_not_a_refused_connection(
        self, failure: ReplicaFailure, is_reported: bool
    ) -> None:
        """Each router waited for a silent host itself; a full replica refuses too."""
        state = build_enabled_gateway()
        state.fleet.leader_address = "tcp://leader"
        sent = get_effect(CallReplica, send_call(state))
        effects = reduce(ReplicaCallFailed(sent.attempt, failure), state, NOW)
        messages = [x.message for x in effects if isinstance(x, SendMessage)]
        reports = [x for x in messages if isinstance(x, ReplicaFailuresReported)]
        assert bool(reports) == is_reported

    def test_nothing_is_reported_where_the_settings_do_not_ask_for_it(self) -> None:
        state = build_gateway()
        state.fleet.leader_address = "tcp://leader"
        sent = get_effect(CallReplica, send_call(state))
        effects = answer_call(sent, state, status=500, is_event_stream=False)
        assert not [item for item in effects if isinstance(item, SendMessage)]


class TestLeader:
    def test_a_leader_that_has_not_heard_the_routers_ejects_nothing(self) -> None:
        """It would take the only router that it knows for the whole fleet."""
        fleet = build_listed_fleet()
        fleet.crash(get_leader(fleet))
        while fleet.find_leader() is None:
            fleet.run(0.01)
        leader = fleet.hosts[get_leader(fleet)].state
        assert report_failures(fleet, "i-1", 1) == []
        assert not leader.outlier_table.ejections

    def test_replicas_that_left_the_list_take_no_room(self) -> None:
        """After a zone restarts under new names, its successors must be ejected."""
        fleet = build_listed_fleet()
        assert report_failures(fleet, "i-1")
        assert report_failures(fleet, "i-2")
        assert report_failures(fleet, "i-3") == []
        for name in ("i-1", "i-2"):
            del fleet.platform.replicas[name]
        fleet.platform.add("i-7", "10.9.9.7:80")
        fleet.run(1.5)
        assert report_failures(fleet, "i-3")
        assert report_failures(fleet, "i-2") == []

    def test_replicas_of_evacuated_zones_make_no_room(self) -> None:
        """A third of all replicas is half of those that are left."""
        fleet = build_listed_fleet()
        state = fleet.hosts[get_leader(fleet)].state
        for name in ("i-0", "i-5"):
            replica = fleet.platform.replicas[name]
            fleet.platform.replicas[name] = evolve(replica, availability_zone="b")
        fleet.run(1.5)
        state.control.replicated.evacuations.set_evacuated("b", True)
        assert report_failures(fleet, "i-5") == []
        assert report_failures(fleet, "i-1")
        assert report_failures(fleet, "i-2") == []

    def test_cold_replicas_make_no_room(self) -> None:
        """They take few calls of those that are ejected."""
        fleet = build_listed_fleet()
        state = fleet.hosts[get_leader(fleet)].state
        state.limit_table.cold_limits = {"i-0": 9.0, "i-5": 9.0}
        assert report_failures(fleet, "i-1")
        assert report_failures(fleet, "i-2") == []


class TestFailures:
    def test_a_new_leader_starts_empty_and_ejections_end_by_routers_clocks(
        self,
    ) -> None:
        """Ejections must neither be lost with the leader nor last without one."""
        fleet = build_listed_fleet()
        assert report_failures(fleet, "i-1")
        fleet.run(0.1)
        told_at = fleet.now
        gateways = [get_gateway(item.state) for item in fleet.routers]
        listed = [list(item.registry.replicas.values()) for item in gateways]
        fleet.crash(get_leader(fleet))
        while fleet.find_leader() is None:
            fleet.run(0.01)
        leader = fleet.hosts[get_leader(fleet)].state
        assert not leader.outlier_table.ejections
        for gateway, replicas in zip(gateways, listed, strict=True):
            outliers = gateway.outliers
            sound = outliers.prefer_sound(replicas, True, told_at)
            assert {x.name for x in replicas} - {x.name for x in sound} == {"i-1"}
            later = told_at + FIRST_EJECTION
            assert outliers.prefer_sound(replicas, True, later) == replicas

    def test_reports_of_a_router_that_is_cut_off_eject_nothing(self) -> None:
        """It alone fails to reach the replicas, which serve all others."""
        fleet = build_listed_fleet()
        for _ in range(10):
            for name in ("i-1", "i-2", "i-3"):
                assert report_failures(fleet, name, routers=1) == []
            fleet.run(0.1)
        for item in fleet.routers:
            assert not get_gateway(item.state).outliers.avoided_until


class TestRouters:
    def test_calls_avoid_an_outlier_until_its_time_has_passed(self) -> None:
        state = build_enabled_gateway()
        home = send_to(state, "first", NOW)
        reduce(OutliersChanged("c", {home: 2.0}), state, NOW)
        assert send_to(state, "second", NOW + 1) != home
        assert send_to(state, "third", NOW + 2.1) == home

    def test_calls_that_run_once_wait_until_others_have_shown_it_to_be_sound(
        self,
    ) -> None:
        state = build_enabled_gateway()
        gateway = get_gateway(state)
        gateway.table = evolve(
            TABLE, routes=(evolve(PAYMENT, shares=TABLE.routes[0].shares),)
        )
        home = send_to(state, "first", NOW, path="/pay/1")
        reduce(OutliersChanged("c", {home: 2.0}), state, NOW)
        assert send_to(state, "second", NOW + 2.1, path="/pay/1") != home
        later = NOW + 2.1 + PROBATION
        assert send_to(state, "third", later, path="/pay/1") == home

    def test_outliers_are_used_if_no_other_replica_is_left(self) -> None:
        state = build_enabled_gateway()
        everything = {item.name: 2.0 for item in build_replicas("engines", 3, 64)}
        reduce(OutliersChanged("c", everything), state, NOW)
        assert send_to(state, "first", NOW)

    def test_the_load_bound_includes_the_outliers(self) -> None:
        """A third of idle outliers let the others' bound rise to 2.4 times the mean."""
        state = build_enabled_gateway()
        gateway = get_gateway(state)
        home = send_to(state, "first", NOW)
        others = [f"engines-{n}" for n in (1, 2, 3) if f"engines-{n}" != home]
        reduce(OutliersChanged("c", {home: 2.0}), state, NOW)
        second = send_to(state, "second", NOW)
        (third,) = set(others) - {second}
        # The mean of all three is 10, so that 19 calls at most are allowed.
        for name, calls in ((home, 0), (second, 19), (third, 11)):
            gateway.registry.get_load(name).record_report(calls, NOW)
            gateway.registry.get_load(name).own_calls = calls
        assert send_to(state, "fourth", NOW) == third

    def test_a_replica_that_is_returning_is_preferred_to_an_outlier(self) -> None:
        """Where the others fail calls, waiting for the ramp would lose them."""
        state = build_enabled_gateway()
        gateway = get_gateway(state)
        cold = gateway.limits.cold
        listed = gateway.registry.replicas
        cold.update({"engines-1": 1.0}, listed, NOW)
        cold.update({}, listed, NOW)
        avoided = {"engines-2": 2.0, "engines-3": 2.0}
        reduce(OutliersChanged("c", avoided), state, NOW)
        assert send_to(state, "first", NOW) == "engines-1"


def build_listed_fleet() -> ListedFleet:
    """Return a fleet of four routers that know six replicas."""
    platform = Platform()
    for number in range(6):
        platform.add(f"i-{number}")
    fleet = ListedFleet(3, 1, seed_host_count=3, router_count=4, platform=platform)
    started_at = fleet.now
    while not fleet.has_current_lists():
        assert fleet.now < started_at + 10.0
        fleet.run(0.1)
    fleet.run(2.0)
    return fleet


def get_leader(fleet: ListedFleet) -> int:
    """Return the number of the leader."""
    leader = fleet.find_leader()
    assert leader is not None
    return leader


def report_failures(
    fleet: ListedFleet, replica: str, routers: int = 2
) -> list[dict[str, float]]:
    """Report failures to the leader; return the ejections of which it tells routers.

    The notices are delivered to the routers.
    """
    number, report = get_leader(fleet), FailureReport(replica, "engines", 5, 5, 1.0)
    told = []
    for router in fleet.routers[:routers]:
        event = ReplicaFailuresReported("r", router.address, report)
        state = fleet.hosts[number].state
        for effect in reduce(event, state, fleet.now):
            if isinstance(effect, SendMessage):
                assert isinstance(effect.message, OutliersChanged)
                told.append(effect.message.ejected)
                target = next(x for x in fleet.routers if x.address == effect.address)
                reduce(effect.message, target.state, fleet.now)
    return told


def build_enabled_gateway() -> State:
    """Return a router whose settings ask it to share outcomes."""
    state = build_gateway()
    get_gateway(state).outliers.is_enabled = True
    reduce(ReplicaListFetched(build_replicas("engines", 3, 64)), state, NOW)
    return state


def send_to(state: State, exchange: str, now: float, path: str = "/chat/1") -> str:
    """Send a call and return the name of its replica."""
    sent = get_effect(CallReplica, send_call(state, now, exchange, path=path))
    return sent.replica.name
