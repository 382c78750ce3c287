"""Config: time until an accepted configuration change is in force on all processes."""

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
QUICK_CHANGE_COUNT = 10
LONG_CHANGE_COUNT = 60
CHANGES_PER_DAY = 4200
SECONDS_PER_DAY = 86400
# Size of the fleet that users expect in two years.
FULL_WORKSPACE_COUNT = 1000
FULL_ENDPOINT_COUNT = 5400
FULL_SERVICE_COUNT = 4
FULL_ZONE_COUNT = 24
MAX_DELTA_COPIES = 5  # four pushes from neighbours and one answer to a query
PEER_ADDRESS = "tcp://10.0.0.1:7200"
IN_FORCE_METRIC = re.compile(rb'configuration_revision\{state="in-force"\} (\d+)')
SENT_BYTES_METRIC = re.compile(rb'control_bytes_total\{direction="sent"\} (\d+)')


@frozen
class FullSizeCost:
    """Cost of one change in a fleet of the size that users expect in two years."""

    delta_bytes: int
    whole_bytes: int
    question_bytes: int
    delta_bytes_a_second: float
    question_bytes_a_second: float
    take_ms: float


def main(quick: bool) -> None:
    """Measure changes in a fleet of three control hosts, three routers, eight agents.

    One router reaches the control hosts only through an agent.
    """
    plan = FleetPlan(
        controls=3,
        routers=2,
        endpoints=(*plan_endpoints("chat", 5), *plan_endpoints("booking", 3)),
    )
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.build(plan)
        relay_setting = f"relay_addresses = {fleet.agents['chat-1'].peer_address}\n"
        remote_router = fleet.start_role(
            "router", "far", "c", "tcp://127.0.0.1:1", relay_setting
        )
        wait_for_status(remote_router.http_address, "/readyz")
        members = [item for item in fleet.members.values() if item.peer_address]
        client = ControlClient(
            [item.http_address for item in fleet.controls], fleet.token
        )
        wait_until_in_force(members, 1)
        sent_before, started_at = sum_sent_bytes(members), time.monotonic()
        count = QUICK_CHANGE_COUNT if quick else LONG_CHANGE_COUNT
        times = [measure_change(client, members, number) for number in range(count)]
        seconds = time.monotonic() - started_at
        sent = sum_sent_bytes(members) - sent_before
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
            "full_size": asdict(measure_full_size_cost()),
        },
    ).print()


def measure_change(client: ControlClient, members: list[Member], number: int) -> float:
    """Add a workspace and return the seconds until it is in force on all processes."""
    current = client.fetch("/configuration", ConfigurationReport).configuration
    added = (*current.workspaces, Workspace(f"added-{number}"))
    document = {
        "change": uuid.uuid4().hex,
        "expected_revision": current.revision,
        "configuration": cattrs.unstructure(evolve(current, workspaces=added)),
    }
    revision = client.submit("/changes", document, ChangeReport).revision
    accepted_at = time.monotonic()
    wait_until_in_force(members, revision)
    return time.monotonic() - accepted_at


def wait_until_in_force(members: list[Member], revision: int) -> None:
    """Wait until a revision is in force on all processes.

    Raises:
        TimeoutError: The revision is not in force after twice the bound.
    """
    pending = list(members)
    deadline = time.monotonic() + 2 * IN_FORCE_BOUND
    while pending and time.monotonic() < deadline:
        if read_metric(pending[-1], IN_FORCE_METRIC) >= revision:
            pending.pop()
    if pending:
        names = ", ".join(item.name for item in pending)
        raise TimeoutError(f"Revision {revision} is not in force on {names}.")


def read_metric(member: Member, pattern: re.Pattern[bytes]) -> int:
    """Return the value of a metric of a process, or 0 if it does not export it."""
    response = httpcore.request("GET", f"http://{member.http_address}/metrics")
    match = pattern.search(response.content)
    return int(match[1]) if match else 0


def sum_sent_bytes(members: list[Member]) -> int:
    """Return the total bytes of control messages that the processes have sent."""
    return sum(read_metric(member, SENT_BYTES_METRIC) for member in members)


def measure_full_size_cost() -> FullSizeCost:
    """Return the cost of one change for an agent in a fleet of the full size."""
    codec = MessageCodec(b"key")
    before = build_configuration()
    after = evolve(
        before, workspaces=(*before.workspaces, Workspace("added")), revision=2
    )
    state = State(Node("agent", Role.AGENT, "r", "z", PEER_ADDRESS, ""))
    accept_configuration(before, (), state, 0.0)
    delta_offer = ConfigurationOffered(
        "agent", PEER_ADDRESS, 2, (compute_delta(before, after),)
    )
    full_offer = ConfigurationOffered("agent", PEER_ADDRESS, 1, configuration=before)
    query = ConfigurationWanted("agent", 2, PEER_ADDRESS)
    started_at = time.perf_counter()
    codec.decode(codec.encode(delta_offer))
    accept_configuration(after, delta_offer.deltas, state, 1.0)
    seconds = time.perf_counter() - started_at
    delta_bytes = len(codec.encode(delta_offer))
    question_bytes = len(codec.encode(query))
    return FullSizeCost(
        delta_bytes=delta_bytes,
        whole_bytes=len(codec.encode(full_offer)),
        question_bytes=question_bytes,
        delta_bytes_a_second=MAX_DELTA_COPIES
        * delta_bytes
        * CHANGES_PER_DAY
        / SECONDS_PER_DAY,
        question_bytes_a_second=question_bytes * POLLED_NEIGHBOURS / POLL_INTERVAL,
        take_ms=seconds * 1000,
    )


def build_configuration() -> Configuration:
    """Return a configuration of the full size."""
    ranks = tuple(Rank(f"rank-{number}", number, 0.3, 10.0) for number in range(3))
    services = tuple(
        Service(f"model-{number}", ServiceKind.MODEL)
        for number in range(FULL_SERVICE_COUNT)
    )
    return Configuration(
        revision=1,
        ranks=ranks,
        workspaces=tuple(
            Workspace(f"w{item:04}") for item in range(FULL_WORKSPACE_COUNT)
        ),
        services=services,
        endpoints=tuple(
            build_endpoint(number) for number in range(FULL_ENDPOINT_COUNT)
        ),
    )


def build_endpoint(number: int) -> Endpoint:
    """Return one endpoint of the configuration of the full size."""
    host = f"10.{number % FULL_ZONE_COUNT}.{number // 250}.{number % 250}"
    return Endpoint(
        name=f"replica-{number:04}",
        service=f"model-{number % FULL_SERVICE_COUNT}",
        availability_zone=f"zone-{number % FULL_ZONE_COUNT:02}",
        http_address=f"{host}:7100",
        peer_address=f"tcp://{host}:7200",
    )
