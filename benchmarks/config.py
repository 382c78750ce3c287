"""Config: time from an accepted change to its coming into force everywhere."""

from __future__ import annotations

import re
import tempfile
import time
import uuid
from pathlib import Path

import cattrs
import httpcore
from attrs import asdict, evolve, frozen

from benchmarks.tools.result import Result
from gentianworks.codecs.messages import MessageCodec
from gentianworks.commandline.client import ControlClient
from gentianworks.core.configuration.deltas import compute_delta
from gentianworks.core.configuration.distribution import (
    POLL_INTERVAL,
    POLLED_NEIGHBOURS,
    accept_configuration,
)
from gentianworks.core.events.configuration import (
    ConfigurationOffered,
    ConfigurationWanted,
)
from gentianworks.core.operators.reports import ChangeReport, ConfigurationReport
from gentianworks.core.state import State
from gentianworks.core.types import (
    Configuration,
    Endpoint,
    Node,
    Rank,
    Role,
    Service,
    ServiceKind,
    Workspace,
)
from standins.fleet import Fleet, FleetPlan, plan_endpoints, wait_for_status
from standins.members import Member

IN_FORCE_BOUND = 8.0  # seconds
QUICK_CHANGES = 10
LONG_CHANGES = 60
CHANGES_A_DAY = 4200
SECONDS_A_DAY = 86400
FULL_WORKSPACES = 1000
FULL_ENDPOINTS = 5400
FULL_SERVICES = 4
FULL_ZONES = 24
COPIES = 5  # at most: four neighbours' pushes and one answer to a question
ADDRESS = "tcp://10.0.0.1:7200"
IN_FORCE = re.compile(rb'configuration_revision\{state="in-force"\} (\d+)')
SENT = re.compile(rb'control_bytes_total\{direction="sent"\} (\d+)')


@frozen
class FullSize:
    """Hold the bytes and times of one change at the users' size in two years."""

    delta_bytes: int
    whole_bytes: int
    question_bytes: int
    delta_bytes_a_second: float
    question_bytes_a_second: float
    take_ms: float


def main(quick: bool) -> None:
    """Measure changes on a fleet of three control hosts, three routers, eight agents.

    One router reaches the control hosts through an agent alone.
    """
    plan = FleetPlan(
        controls=3,
        routers=2,
        endpoints=(*plan_endpoints("chat", 5), *plan_endpoints("booking", 3)),
    )
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.build(plan)
        relay = f"relay_addresses = {fleet.agents['chat-1'].peer_address}\n"
        far = fleet.start_role("router", "far", "c", "tcp://127.0.0.1:1", relay)
        wait_for_status(far.http_address, "/readyz")
        members = [item for item in fleet.members.values() if item.peer_address]
        client = ControlClient(
            [item.http_address for item in fleet.controls], fleet.token
        )
        wait_in_force(members, 1)
        sent_before, began = sum_sent(members), time.monotonic()
        count = QUICK_CHANGES if quick else LONG_CHANGES
        times = [change_once(client, members, number) for number in range(count)]
        seconds = time.monotonic() - began
        sent = sum_sent(members) - sent_before
    Result(
        benchmark="config",
        figure=max(times),
        unit="seconds from the answer to the last process, longest of all changes",
        bound=IN_FORCE_BOUND,
        holds=max(times) <= IN_FORCE_BOUND,
        details={
            "changes": count,
            "median_seconds": sorted(times)[count // 2],
            "processes": len(members),
            "control_bytes_a_second_a_process": sent / seconds / len(members),
            "full_size": asdict(measure_full_size()),
        },
    ).print()


def change_once(client: ControlClient, members: list[Member], number: int) -> float:
    """Add a workspace and return the seconds until it is in force everywhere."""
    present = client.fetch("/configuration", ConfigurationReport).configuration
    added = (*present.workspaces, Workspace(f"added-{number}"))
    document = {
        "change": uuid.uuid4().hex,
        "expected_revision": present.revision,
        "configuration": cattrs.unstructure(evolve(present, workspaces=added)),
    }
    revision = client.submit("/changes", document, ChangeReport).revision
    accepted_at = time.monotonic()
    wait_in_force(members, revision)
    return time.monotonic() - accepted_at


def wait_in_force(members: list[Member], revision: int) -> None:
    """Wait until a revision is in force on every process."""
    waiting = list(members)
    limit = time.monotonic() + 2 * IN_FORCE_BOUND
    while waiting and time.monotonic() < limit:
        if read_metric(waiting[-1], IN_FORCE) >= revision:
            waiting.pop()
    if waiting:
        names = ", ".join(item.name for item in waiting)
        raise TimeoutError(f"Revision {revision} is not in force on {names}.")


def read_metric(member: Member, pattern: re.Pattern[bytes]) -> int:
    """Return the value of one metric of a process."""
    answer = httpcore.request("GET", f"http://{member.http_address}/metrics")
    found = pattern.search(answer.content)
    return int(found[1]) if found else 0


def sum_sent(members: list[Member]) -> int:
    """Return the bytes of messages that all processes have sent."""
    return sum(read_metric(member, SENT) for member in members)


def measure_full_size() -> FullSize:
    """Return what one change costs an agent at the users' size in two years."""
    codec = MessageCodec(b"key")
    before = build_configuration()
    after = evolve(
        before, workspaces=(*before.workspaces, Workspace("added")), revision=2
    )
    state = State(Node("agent", Role.AGENT, "r", "z", ADDRESS, ""))
    accept_configuration(before, (), state, 0.0)
    delta = ConfigurationOffered("agent", ADDRESS, 2, (compute_delta(before, after),))
    whole = ConfigurationOffered("agent", ADDRESS, 1, configuration=before)
    question = ConfigurationWanted("agent", 2, ADDRESS)
    began = time.perf_counter()
    codec.decode(codec.encode(delta))
    accept_configuration(after, delta.deltas, state, 1.0)
    seconds = time.perf_counter() - began
    delta_bytes = len(codec.encode(delta))
    question_bytes = len(codec.encode(question))
    return FullSize(
        delta_bytes=delta_bytes,
        whole_bytes=len(codec.encode(whole)),
        question_bytes=question_bytes,
        delta_bytes_a_second=COPIES * delta_bytes * CHANGES_A_DAY / SECONDS_A_DAY,
        question_bytes_a_second=question_bytes * POLLED_NEIGHBOURS / POLL_INTERVAL,
        take_ms=seconds * 1000,
    )


def build_configuration() -> Configuration:
    """Return a configuration of the users' size in two years."""
    ranks = tuple(Rank(f"rank-{number}", number, 0.3, 10.0) for number in range(3))
    services = tuple(
        Service(f"model-{number}", ServiceKind.MODEL) for number in range(FULL_SERVICES)
    )
    return Configuration(
        revision=1,
        ranks=ranks,
        workspaces=tuple(Workspace(f"w{item:04}") for item in range(FULL_WORKSPACES)),
        services=services,
        endpoints=tuple(build_endpoint(number) for number in range(FULL_ENDPOINTS)),
    )


def build_endpoint(number: int) -> Endpoint:
    """Return one of the endpoints of the users' size in two years."""
    host = f"10.{number % FULL_ZONES}.{number // 250}.{number % 250}"
    return Endpoint(
        name=f"replica-{number:04}",
        service=f"model-{number % FULL_SERVICES}",
        availability_zone=f"zone-{number % FULL_ZONES:02}",
        http_address=f"{host}:7100",
        peer_address=f"tcp://{host}:7200",
    )
