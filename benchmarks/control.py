"""Control: bytes per second of messages between processes, by role.

Reads the counters at /metrics of every process, under load and while an agent restarts
repeatedly, in a small and in a larger fleet. The difference gives the cost of one more
endpoint for each node.
"""

from __future__ import annotations

import re
import tempfile
import time
from collections import Counter
from pathlib import Path

import anyio
import httpcore
from attrs import define, frozen

from benchmarks.tools.chats import add_question, begin_messages, build_turn, plan_chats
from benchmarks.tools.result import Result
from gentianworks.web.pools import create_pool
from standins.client import send_chat
from standins.fleet import Fleet, FleetPlan, plan_endpoints
from standins.members import Member

MAX_NODE_BYTES = 5000.0  # per second, sent and received
SMALL_ENDPOINT_COUNT = 5
LARGE_ENDPOINT_COUNT = 15
ROUTER_COUNT = 2
QUICK_SECONDS = 8.0
LONG_SECONDS = 60.0
CHAT_COUNT = 40
FLAP_INTERVAL = 1.0  # seconds
PEER_COUNTER = re.compile(
    r'gentianworks_peer_bytes_total\{direction="\w+",peer="([^"]*)"\} ([0-9.e+]+)'
)
TOTAL_COUNTER = re.compile(rb"gentianworks_control_bytes_total\{[^}]*\} ([0-9.e+]+)")


@frozen
class CounterReading:
    """Bytes that a process had sent and received at a time, in total and by peer."""

    total: float
    by_peer: dict[str, float]
    read_at: float  # monotonic time in seconds


@define
class RoleRates:
    """Highest rate of any process of each role, in bytes per second."""

    router: float
    agent: float
    control: float
    # Mean rate of a process of one role with all its peers of another role.
    by_peer: dict[str, float]
    # Highest rate of any process with a single peer.
    busiest_peer: float


def read_counter(member: Member) -> CounterReading:
    """Read the bytes that a process has sent and received."""
    response = httpcore.request("GET", f"http://{member.http_address}/metrics")
    values = TOTAL_COUNTER.findall(response.content)
    if not values:
        raise ValueError(f"{member.name} exports no control_bytes_total at /metrics")
    by_peer: dict[str, float] = {}
    for peer, value in PEER_COUNTER.findall(response.content.decode()):
        by_peer[peer] = by_peer.get(peer, 0.0) + float(value)
    total = sum(float(value) for value in values)
    return CounterReading(total, by_peer, time.monotonic())


def compute_peer_rates(
    before: CounterReading, after: CounterReading, fleet: Fleet
) -> dict[str, float]:
    """Return the bytes per second with each peer, by name, in both directions."""
    names = {item.peer_address: item.name for item in fleet.members.values()}
    rates: dict[str, float] = {}
    for peer, value in after.by_peer.items():
        rate = (value - before.by_peer.get(peer, 0.0)) / (
            after.read_at - before.read_at
        )
        name = names.get(peer, peer)
        rates[name] = rates.get(name, 0.0) + rate
    return rates


def sum_by_role(rates: dict[str, dict[str, float]]) -> dict[str, float]:
    """Return the mean bytes per second of a process, by its role and its peers'."""
    process_counts = Counter(get_role(name) for name in rates)
    sums: dict[str, float] = {}
    for name, with_peers in rates.items():
        role = get_role(name)
        for peer, rate in with_peers.items():
            pair = f"{role}-{get_role(peer)}"
            sums[pair] = sums.get(pair, 0.0) + rate / process_counts[role]
    return sums


def get_role(name: str) -> str:
    """Return the role of a process, which is the first part of its name."""
    return name.partition("-")[0]


def compute_rate(before: CounterReading, after: CounterReading) -> float:
    """Return the bytes per second between two readings."""
    return (after.total - before.total) / (after.read_at - before.read_at)


async def run_load(fleet: Fleet, seconds: float) -> None:
    """Send chats through all routers while one agent restarts repeatedly."""
    async with create_pool() as pool, anyio.create_task_group() as tasks:
        for number, chat in enumerate(plan_chats(CHAT_COUNT, 1, seconds)):
            messages = add_question(begin_messages(chat), chat, 0)
            router = fleet.routers[number % len(fleet.routers)]
            turn = build_turn(chat, messages)
            tasks.start_soon(send_chat, pool, router.http_address, turn)
        tasks.start_soon(flap_agent, fleet, seconds)


async def flap_agent(fleet: Fleet, seconds: float) -> None:
    """Kill and restart one agent repeatedly for a number of seconds."""
    agent = next(iter(fleet.agents.values()))
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        agent.kill()
        fleet.restart(agent.name)
        await anyio.sleep(FLAP_INTERVAL)


def measure_fleet(endpoints: int, seconds: float) -> RoleRates:
    """Return the rates of a fleet with a number of endpoints."""
    plan = FleetPlan(
        routers=ROUTER_COUNT,
        endpoints=plan_endpoints("chat", endpoints),
        workspaces=("parish", "county-show", "diocese"),
    )
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.build(plan)
        steady_agents = list(fleet.agents.values())[1:]
        members = [*fleet.routers, *steady_agents, *fleet.controls]
        before = {item.name: read_counter(item) for item in members}
        anyio.run(run_load, fleet, seconds)
        after = {item.name: read_counter(item) for item in members}
    rates = {name: compute_rate(before[name], after[name]) for name in after}
    with_peers = {
        name: compute_peer_rates(before[name], after[name], fleet) for name in after
    }
    return RoleRates(
        router=max(rates[item.name] for item in fleet.routers),
        agent=max(rates[item.name] for item in steady_agents),
        control=max(rates[item.name] for item in fleet.controls),
        by_peer=sum_by_role(with_peers),
        busiest_peer=max(max(item.values()) for item in with_peers.values()),
    )


def main(quick: bool) -> None:
    """Measure a small and a larger fleet."""
    seconds = QUICK_SECONDS if quick else LONG_SECONDS
    small = measure_fleet(SMALL_ENDPOINT_COUNT, seconds)
    large = measure_fleet(LARGE_ENDPOINT_COUNT, seconds)
    added_endpoints = LARGE_ENDPOINT_COUNT - SMALL_ENDPOINT_COUNT
    figure = max(large.router, large.agent)
    Result(
        benchmark="control",
        figure=figure,
        unit="bytes a second at the busiest node",
        bound=MAX_NODE_BYTES,
        holds=figure <= MAX_NODE_BYTES,
        baselines={
            "small_router": small.router,
            "small_agent": small.agent,
            "small_control": small.control,
        },
        details={
            "large_router": large.router,
            "large_agent": large.agent,
            "large_control": large.control,
            "large_by_peer": large.by_peer,
            "large_busiest_peer": large.busiest_peer,
            "router_bytes_an_endpoint": (large.router - small.router) / added_endpoints,
            "agent_bytes_an_endpoint": (large.agent - small.agent) / added_endpoints,
            "control_bytes_an_endpoint": (large.control - small.control)
            / added_endpoints,
        },
    ).print()
