"""Payments: calls that must run at most once, and counts of their runs."""

from __future__ import annotations

import json
import threading
import time
from pathlib import Path

import httpcore
from attrs import define, frozen

from gentianworks.commandline.client import ControlClient
from gentianworks.core.operators.reports import KeyReport
from standins.engine import EngineSettings
from standins.fleet import EndpointPlan, Fleet, FleetPlan, wait_for_status, wait_until
from standins.members import Member
from standins.ports import find_free_port

RUN_TIME = 1.0  # seconds
CALL_INTERVAL = 0.1  # seconds
IN_FORCE_REVISION_METRIC = 'gentianworks_configuration_revision{state="in-force"}'
ENDPOINTS = ("booking-1", "booking-2")
ZONES = ("a", "b")


@define
class Payment:
    """Payment sent in its own thread; `timeout` and `run_time` are in seconds."""

    router: Member
    key: str
    timeout: float = 20.0
    run_time: float = RUN_TIME
    body: bytes = b"ewe"
    answer: httpcore.Response | None = None
    thread: threading.Thread | None = None

    def start(self) -> Payment:
        """Start to send the payment."""
        self.thread = threading.Thread(target=self._send)
        self.thread.start()
        return self

    def wait(self) -> httpcore.Response | None:
        """Wait for the answer and return it, or None if the connection was lost."""
        assert self.thread is not None
        self.thread.join()
        return self.answer

    def _send(self) -> None:
        url = f"http://{self.router.http_address}/services/booking/pens"
        headers = [
            (b"gw-workspace", b"parish"),
            (b"gw-rank", b"submissions"),
            (b"gw-timeout", str(self.timeout).encode()),
            (b"idempotency-key", self.key.encode()),
        ]
        try:
            self.answer = httpcore.request(
                "POST",
                f"{url}?seconds={self.run_time}",
                headers=headers,
                content=self.body,
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            self.answer = None


def read_run_state(answer: httpcore.Response | None) -> str:
    """Return the run state of an answer, "lost" if there is none."""
    if answer is None:
        return "lost"
    if answer.status == 200:
        return "ran"
    state: str = json.loads(answer.content)["run_state"]
    return state


def count_runs(folder: Path, key: str) -> int:
    """Return how often the engines ran a key in total."""
    files = folder.glob("runs-*")
    return sum(file.read_text().splitlines().count(key) for file in files)


def read_key_report(fleet: Fleet, key: str) -> KeyReport | None:
    """Return the ledger's report on a key, or None if no quorum answers."""
    hosts = [item.http_address for item in fleet.controls]
    client = ControlClient(hosts, fleet.token)
    values = {"workspace": "parish", "key": key}
    return client.try_fetch("/key", KeyReport, **values).default_value(None)


def build_proxied_booking_fleet(fleet: Fleet) -> None:
    """Start routers, agents and engines of a booking service, each behind proxies.

    `proxy-NAME` forwards requests to the HTTP address of NAME, `proxy-NAME-peer` the
    messages that other processes send to NAME.
    """
    fleet.start_controls(3)
    endpoints = tuple(
        _start_proxied_endpoint(fleet, *item)
        for item in zip(ENDPOINTS, ZONES, strict=True)
    )
    for name, zone in zip(("router-1", "router-2"), ZONES, strict=True):
        fleet.routers.append(_start_proxied_role(fleet, "router", name, zone))
    for control in fleet.controls:
        wait_for_status(control.http_address, "/livez")
    fleet.apply(fleet.write_declarations(FleetPlan(endpoints=endpoints)))
    for router in fleet.routers:
        wait_for_status(router.http_address, "/readyz")


def _start_proxied_endpoint(fleet: Fleet, name: str, zone: str) -> EndpointPlan:
    settings = EngineSettings(runs_file=str(fleet.folder / f"runs-{name}"))
    engine = fleet.start_engine(f"engine-{name}", settings)
    fleet.engines[name] = engine
    proxy = fleet.start_proxy(f"proxy-engine-{name}", engine.http_address)
    extra = f"[agent]\nendpoint = {name}\nengine_address = {proxy.http_address}\n"
    agent = _start_proxied_role(fleet, "agent", f"agent-{name}", zone, extra)
    proxy = fleet.start_proxy(f"proxy-agent-{name}", agent.http_address)
    agent.http_address = proxy.http_address
    fleet.agents[name] = agent
    return EndpointPlan(name, "booking", zone, engine=settings)


def _start_proxied_role(
    fleet: Fleet, role: str, name: str, zone: str, extra: str = ""
) -> Member:
    listen = f"tcp://127.0.0.1:{find_free_port()}"
    proxy = fleet.start_proxy(f"proxy-{name}-peer", listen)
    return fleet.start_role(
        role,
        name,
        zone,
        extra=extra,
        peer_address=proxy.peer_address,
        listen_address=listen,
    )


@frozen
class ControlOutageResult:
    """Answers to callers during and after an outage of every control host.

    `statuses` are those of repeatable calls during the outage, `state_during` and
    `state_after` the run states of one payment and of its repeat. `apply_delay` is in
    seconds, from the change after the outage until it is in force everywhere.
    """

    statuses: set[int]
    state_during: str
    state_after: str
    apply_delay: float


def run_control_outage(fleet: Fleet, seconds: float) -> ControlOutageResult:
    """Freeze every control host for some seconds, thaw them and apply a change."""
    revisions_before = _read_revisions_in_force(fleet)
    for control in fleet.controls:
        control.freeze()
    end = time.monotonic() + seconds
    statuses = set()
    while time.monotonic() < end:
        statuses |= {_call_service(router) for router in fleet.routers}
        time.sleep(CALL_INTERVAL)
    first = Payment(fleet.routers[0], "absent", timeout=2.0, run_time=0.0)
    payment = read_run_state(first.start().wait())
    for control in fleet.controls:
        control.thaw()
    second = Payment(fleet.routers[1], "absent", run_time=0.0)
    repeat = read_run_state(second.start().wait())
    (fleet.folder / "declarations" / "60-new.ini").write_text("[workspace later]\n")
    fleet.apply(fleet.folder / "declarations")
    applied_at = time.monotonic()
    wait_until(lambda: min(_read_revisions_in_force(fleet)) > max(revisions_before))
    return ControlOutageResult(statuses, payment, repeat, time.monotonic() - applied_at)


def _call_service(router: Member) -> int:
    headers = [(b"gw-workspace", b"parish"), (b"gw-rank", b"drafts")]
    url = f"http://{router.http_address}/services/booking/shows"
    return httpcore.request("GET", url, headers=headers).status


def _read_revisions_in_force(fleet: Fleet) -> list[int]:
    """Return the revision in force at each router and agent."""
    return [
        read_revision_in_force(item)
        for item in (*fleet.routers, *fleet.agents.values())
    ]


def read_revision_in_force(member: Member) -> int:
    """Return the revision in force at a process, or 0 if it has none."""
    url = f"http://{member.http_address}/metrics"
    text = httpcore.request("GET", url).content.decode()
    words = text.partition(IN_FORCE_REVISION_METRIC)[2].split()
    return int(float(words[0])) if words else 0
