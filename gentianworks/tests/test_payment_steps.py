"""Tests of payments while processes are killed at each step of a payment."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import combinations, count

import httpcore
import pytest
from attrs import frozen

from standins.control import wait_for_leader
from standins.fleet import Fleet, wait_for_status, wait_until
from standins.members import Member
from standins.payments import (
    ENDPOINTS,
    Payment,
    build_proxied_booking_fleet,
    count_runs,
    read_key_report,
    read_run_state,
    run_control_outage,
)
from standins.proxy import Fault

ROUTER_PROXIES = ("proxy-router-1-peer",)
AGENT_PROXIES = tuple(f"proxy-agent-{name}" for name in ENDPOINTS)
AGENT_PEER_PROXIES = tuple(f"proxy-agent-{name}-peer" for name in ENDPOINTS)
ENGINE_PROXIES = tuple(f"proxy-engine-{name}" for name in ENDPOINTS)
IN_FLIGHT_METRIC = b'gentianworks_load{kind="exchanges"} 1'
END_OF_HEAD = b"\r\n\r\n"
RAN_PREFIX = b"ran "
OUTAGE_TIME = 5.0  # seconds
MAX_ACTIVATION_TIME = 8.0  # seconds
ROLES = ("router", "agent", "engine", "leader")


def is_in_flight(fleet: Fleet, key: str) -> bool:
    """Return whether the first router has a payment in flight."""
    url = f"http://{fleet.routers[0].http_address}/metrics"
    return IN_FLIGHT_METRIC in httpcore.request("GET", url).content


def is_claimed(fleet: Fleet, key: str) -> bool:
    """Return whether the ledger contains an open claim of a key."""
    return _read_outcome(fleet, key) == "claimed"


def is_recorded(fleet: Fleet, key: str) -> bool:
    """Return whether the ledger records that a key ran."""
    return _read_outcome(fleet, key) == "ran"


def _read_outcome(fleet: Fleet, key: str) -> str:
    report = read_key_report(fleet, key)
    return "" if report is None else report.outcome


def is_dispatched(fleet: Fleet, key: str) -> bool:
    """Return whether a proxy holds back a complete attempt to an agent."""
    return _is_held_back(fleet, AGENT_PROXIES, key.encode())


def is_called(fleet: Fleet, key: str) -> bool:
    """Return whether a proxy holds back a complete call to an engine."""
    return _is_held_back(fleet, ENGINE_PROXIES, END_OF_HEAD + key.encode())


def is_run(fleet: Fleet, key: str) -> bool:
    """Return whether a proxy holds back the complete answer of an engine."""
    return _is_held_back(fleet, ENGINE_PROXIES, RAN_PREFIX + key.encode())


def is_answered(fleet: Fleet, key: str) -> bool:
    """Return whether a proxy holds back the answer of an agent."""
    return _is_held_back(fleet, AGENT_PROXIES, RAN_PREFIX + key.encode())


def _is_held_back(fleet: Fleet, proxies: tuple[str, ...], part: bytes) -> bool:
    return any(fleet.members[name].count_held(part) for name in proxies)


@frozen
class Step:
    """Step at which a payment is stopped, with the test that it has reached it."""

    name: str
    proxies: tuple[str, ...]  # get `fault`; if empty, the control hosts are frozen
    fault: Fault
    is_reached: Callable[[Fleet, str], bool]

    def stop(self, fleet: Fleet) -> None:
        """Prevent payments from passing this step."""
        for name in self.proxies:
            fleet.members[name].set_fault(self.fault)
        if not self.proxies:
            for control in fleet.controls:
                control.freeze()

    def resume(self, fleet: Fleet) -> None:
        """Let the stopped payments continue."""
        for name in self.proxies:
            fleet.members[name].set_fault(Fault.NONE)
        if not self.proxies:
            for control in fleet.controls:
                control.thaw()


STEPS = (
    Step("wanted", (), Fault.NONE, is_in_flight),
    Step("claimed", ROUTER_PROXIES, Fault.HOLD, is_claimed),
    Step("dispatched", AGENT_PROXIES, Fault.HOLD, is_dispatched),
    Step("called", ENGINE_PROXIES, Fault.HOLD, is_called),
    Step("run", ENGINE_PROXIES, Fault.HOLD_ANSWERS, is_run),
    Step("recorded", AGENT_PEER_PROXIES, Fault.HOLD, is_recorded),
    Step("answered", AGENT_PROXIES, Fault.HOLD_ANSWERS, is_answered),
)
RAN = {("ran", "ran", 1)}
UNKNOWN = {("unknown", "unknown", 0)}
UNKNOWN_RUN = {("unknown", "unknown", 1)}
LOST = {("lost", "ran", 1)}
EXPECTED = {
    "router": (LOST,) * 7,
    "agent": (RAN | UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN_RUN, UNKNOWN_RUN, RAN, RAN),
    "engine": (RAN | UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN, RAN, RAN, RAN),
    "leader": (RAN,) * 7,
}
PAIR_STEPS = tuple(
    step for step in STEPS if step.name in {"claimed", "called", "run", "recorded"}
)


def list_outcomes(step: Step, roles: tuple[str, ...]) -> set[tuple[str, str, int]]:
    """Return the allowed states of two callers and runs if the router is not killed."""
    if "agent" in roles and "engine" in roles and step.name == "called":
        return UNKNOWN
    (other_role, *_) = (name for name in roles if name != "leader")
    return EXPECTED[other_role][STEPS.index(step)]


@pytest.fixture(scope="class")
def shared_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    with Fleet(tmp_path_factory.mktemp("steps")) as fleet:
        build_proxied_booking_fleet(fleet)
        yield fleet


@pytest.fixture
def fleet(shared_fleet: Fleet) -> Fleet:
    """Return the fleet after restarting the processes that a failed test left dead."""
    for member in shared_fleet.list_exited():
        restart(shared_fleet, member)
    return shared_fleet


def find_process(
    fleet: Fleet, step: Step, role: str, key: str, leader: Member
) -> Member:
    """Return the process to kill; an agent or engine is the one that has the claim."""
    if role == "router":
        return fleet.routers[0]
    if role == "leader":
        return leader
    report = read_key_report(fleet, key) if step.proxies else None
    endpoint = ENDPOINTS[0] if report is None else report.endpoint
    return fleet.members[f"{role}-{endpoint}"]


def restart(fleet: Fleet, member: Member) -> None:
    """Restart a process and wait until it serves."""
    fleet.restart(member.name)
    role = member.name.partition("-")[0]
    path = {"router": "/readyz", "engine": "/runs"}.get(role, "/livez")
    wait_for_status(member.http_address, path)


def wait_for_endpoints(fleet: Fleet, prefix: str) -> None:
    """Wait until each endpoint has run a payment of its own."""
    numbers = count()

    def has_each_run() -> bool:
        key = f"before-{prefix}-{next(numbers)}"
        Payment(fleet.routers[1], key, 5.0, 0.0, key.encode()).start().wait()
        files = fleet.folder.glob("runs-*")
        ran = [file for file in files if f"before-{prefix}-" in file.read_text()]
        return len(ran) == len(ENDPOINTS)

    wait_until(has_each_run)


def kill_at(
    fleet: Fleet, step: Step, roles: tuple[str, ...], payment: Payment
) -> list[Member]:
    """Kill processes once a payment has reached a step, and return them."""
    leader = wait_for_leader(fleet)
    wait_for_endpoints(fleet, payment.key)
    step.stop(fleet)
    try:
        payment.start()
        wait_until(lambda: step.is_reached(fleet, payment.key))
        members = [
            find_process(fleet, step, role, payment.key, leader) for role in roles
        ]
        for member in members:
            member.kill()
    finally:
        step.resume(fleet)
    return members


class TestKills:
    @pytest.mark.parametrize("role", ROLES)
    @pytest.mark.parametrize("step", STEPS, ids=lambda step: step.name)
    def test_a_payment_runs_at_most_once_if_one_process_is_killed(
        self, fleet: Fleet, step: Step, role: str
    ) -> None:
        key = f"{step.name}-{role}"
        payment = Payment(fleet.routers[0], key, run_time=0.0, body=key.encode())
        (member,) = kill_at(fleet, step, (role,), payment)
        restart(fleet, member)
        first = read_run_state(payment.wait())
        repeat = Payment(fleet.routers[1], key, run_time=0.0, body=key.encode())
        second = read_run_state(repeat.start().wait())
        runs = count_runs(fleet.folder, key)
        assert (first, second, runs) in EXPECTED[role][STEPS.index(step)]

    @pytest.mark.parametrize("roles", tuple(combinations(ROLES, 2)), ids="-".join)
    @pytest.mark.parametrize("step", PAIR_STEPS, ids=lambda step: step.name)
    def test_a_payment_runs_at_most_once_if_two_processes_are_killed(
        self, fleet: Fleet, step: Step, roles: tuple[str, ...]
    ) -> None:
        key = f"{step.name}-{'-'.join(roles)}"
        payment = Payment(fleet.routers[0], key, run_time=0.0, body=key.encode())
        for member in kill_at(fleet, step, roles, payment):
            restart(fleet, member)
        first = read_run_state(payment.wait())
        repeat = Payment(fleet.routers[1], key, run_time=0.0, body=key.encode())
        second = read_run_state(repeat.start().wait())
        runs = count_runs(fleet.folder, key)
        assert runs <= 1
        for state in (first, second):
            assert (state == "ran") <= (runs == 1)
            assert (state == "not-run") <= (runs == 0)
        assert second != "lost"
        if "router" in roles:
            assert first == "lost"
        else:
            assert (first, second, runs) in list_outcomes(step, roles)


@frozen
class ConnectionFault:
    """Fault of the connections to some processes."""

    proxies: tuple[str, ...]
    fault: Fault
    # Ends the fault; without it, the fault ends once the callers are answered.
    is_over: Callable[[Fleet, str], bool] | None = None


CONNECTION_FAULTS = (
    ConnectionFault(ROUTER_PROXIES, Fault.DELAY),
    ConnectionFault(AGENT_PROXIES, Fault.DELAY),
    ConnectionFault(AGENT_PEER_PROXIES, Fault.DELAY),
    ConnectionFault(ENGINE_PROXIES, Fault.DELAY),
    ConnectionFault(ROUTER_PROXIES, Fault.DOUBLE),
    ConnectionFault(AGENT_PROXIES, Fault.DOUBLE),
    ConnectionFault(AGENT_PEER_PROXIES, Fault.DOUBLE),
    ConnectionFault(ENGINE_PROXIES, Fault.HOLD_ANSWERS, is_run),
    ConnectionFault(AGENT_PROXIES, Fault.CUT),
    ConnectionFault(ENGINE_PROXIES, Fault.CUT),
    ConnectionFault(ROUTER_PROXIES, Fault.CUT, is_claimed),
    ConnectionFault(AGENT_PEER_PROXIES, Fault.CUT, is_recorded),
)


class TestConnectionFaults:
    @pytest.mark.parametrize("number", range(len(CONNECTION_FAULTS)))
    def test_a_payment_of_two_callers_runs_at_most_once(
        self, fleet: Fleet, number: int
    ) -> None:
        fault, key = CONNECTION_FAULTS[number], f"fault-{number}"
        wait_for_endpoints(fleet, key)
        proxies = [fleet.members[name] for name in fault.proxies]
        for proxy in proxies:
            proxy.set_fault(fault.fault)
        payments = [
            Payment(router, key, 8.0, 0.2, key.encode()).start()
            for router in fleet.routers
        ]
        if fault.is_over is not None:
            is_over = fault.is_over
            wait_until(lambda: is_over(fleet, key))
        else:
            for payment in payments:
                payment.wait()
        for proxy in proxies:
            proxy.set_fault(Fault.NONE)
        states = {read_run_state(payment.wait()) for payment in payments}
        runs = count_runs(fleet.folder, key)
        assert runs <= 1
        assert ("ran" in states) <= (runs == 1)
        assert states != {"not-run"} or runs == 0
        repeat = Payment(fleet.routers[1], key, 8.0, 0.2, key.encode())
        state = read_run_state(repeat.start().wait())
        runs = count_runs(fleet.folder, key)
        assert (state == "ran") <= (runs == 1)
        assert (state == "not-run") <= (runs == 0)
        assert runs <= 1


class TestControl:
    def test_an_outage_of_the_control_group_stops_no_call_and_repeats_no_payment(
        self, fleet: Fleet
    ) -> None:
        outage = run_control_outage(fleet, OUTAGE_TIME)
        assert outage.statuses == {200}
        assert outage.state_during != "ran"
        assert outage.state_after == "ran"
        assert count_runs(fleet.folder, "absent") == 1
        assert outage.apply_delay < MAX_ACTIVATION_TIME
