"""Failover: requests of a steady load that fail when the leading control host is lost.

The quick run kills the leader. The long run also freezes it, stops it gracefully, cuts
it off from the network, and kills all hosts of its availability zone or of another one.
The baseline is the same fleet without a disruption.
"""

from __future__ import annotations

import tempfile
from collections import Counter
from functools import partial, singledispatch
from pathlib import Path

import anyio
from attrs import define, evolve, field, frozen

from benchmarks.tools.floods import RANKS, declare_ranks
from benchmarks.tools.result import Result
from benchmarks.tools.samples import (
    LoadBound,
    LoadSample,
    LoadSampler,
    summarize_samples,
)
from benchmarks.tools.traffic import (
    HTTP_OK,
    Flow,
    Outcome,
    TrafficGenerator,
    compute_percentile,
)
from standins.control import start_proxied_controls, wait_for_leader
from standins.engine import EngineSettings
from standins.fleet import Fleet, FleetPlan, plan_endpoints
from standins.members import Member
from standins.proxy import Fault

CONTROL_HOST_COUNT = 3
ROUTER_COUNT = 2
ZONE_COUNT = 3
ENDPOINT_COUNT = 5
SLOTS_PER_ENGINE = 32
TOKENS_PER_ANSWER = 16
TOKEN_INTERVAL = 0.15  # seconds
SERVICE_TIME = TOKENS_PER_ANSWER * TOKEN_INTERVAL
STEADY_LOAD = 11  # concurrent requests per endpoint
REQUEST_RATE = ENDPOINT_COUNT * STEADY_LOAD / SERVICE_TIME  # per second
SETTLE_TIME = 7.0  # seconds
QUICK_SECONDS = 9.0
LONG_SECONDS = 20.0
LOAD_BOUND = LoadBound(multiple=1.5, floor=4)
ENGINE = EngineSettings(
    slots=SLOTS_PER_ENGINE, token_interval=TOKEN_INTERVAL, load_lag=0.0
)


@frozen
class Disruption:
    """Disruption of the fleet; the base class disrupts nothing."""

    name = "unharmed"


@frozen
class KilledLeader(Disruption):
    """Kill of the leader, as in a crash."""

    name = "killed"


@frozen
class FrozenLeader(Disruption):
    """Suspension of the leader's process, with its connections open."""

    name = "frozen"


@frozen
class StoppedLeader(Disruption):
    """Graceful stop of the leader."""

    name = "stopped"


@frozen
class CutLeader(Disruption):
    """Network partition of the leader, in both directions."""

    name = "cut"


@frozen
class LostZone(Disruption):
    """Kill of all hosts in the leader's availability zone at once."""

    name = "zone"


@frozen
class LostOtherZone(Disruption):
    """Kill of all hosts in an availability zone without the leader at once."""

    name = "other-zone"


@define
class Scenario:
    """Fleet with its leader and the traffic that runs through it."""

    fleet: Fleet
    leader: Member
    traffic: TrafficGenerator


@singledispatch
def disrupt(disruption: Disruption, scenario: Scenario) -> None:
    """Apply a disruption; the base class changes nothing."""


@disrupt.register
def _(disruption: KilledLeader, scenario: Scenario) -> None:
    scenario.leader.kill()


@disrupt.register
def _(disruption: FrozenLeader, scenario: Scenario) -> None:
    scenario.leader.freeze()


@disrupt.register
def _(disruption: StoppedLeader, scenario: Scenario) -> None:
    scenario.leader.process.terminate()


@disrupt.register
def _(disruption: CutLeader, scenario: Scenario) -> None:
    for control in scenario.fleet.controls:
        proxy = scenario.fleet.members[f"proxy-{control.name[-1]}"]
        if control is scenario.leader:
            proxy.set_fault(Fault.CUT)
        else:
            proxy.block_sender(scenario.leader.name)


@disrupt.register
def _(disruption: LostZone, scenario: Scenario) -> None:
    kill_zone(get_zone(scenario.leader), scenario)


@disrupt.register
def _(disruption: LostOtherZone, scenario: Scenario) -> None:
    leader_zone = get_zone(scenario.leader)
    zones = [get_zone(router) for router in scenario.fleet.routers]
    kill_zone(next(zone for zone in zones if zone != leader_zone), scenario)


def get_zone(member: Member) -> int:
    """Return the number of a host's availability zone, from its name."""
    return int(member.name[-1]) % ZONE_COUNT


def kill_zone(zone: int, scenario: Scenario) -> None:
    """Kill all hosts in an availability zone, as in a power failure."""
    fleet = scenario.fleet
    routers = [item for item in fleet.routers if get_zone(item) == zone]
    hosts = [*fleet.controls, *fleet.agents.values(), *fleet.engines.values()]
    for member in (*routers, *hosts):
        if get_zone(member) == zone:
            member.process.kill()
    scenario.traffic.lost_routers.update(item.http_address for item in routers)


@define
class FailoverRun:
    """Outcomes and load samples of a run, from SERVICE_TIME before its disruption."""

    outcomes: list[Outcome]
    samples: list[LoadSample]
    lost_routers: set[str] = field(factory=set)  # addresses of killed routers

    @property
    def failed_requests(self) -> list[Outcome]:
        """Incomplete requests, except those through routers that were killed."""
        return [
            item
            for item in self.outcomes
            if not item.is_complete and item.router not in self.lost_routers
        ]


async def run_load(fleet: Fleet, disruption: Disruption, seconds: float) -> FailoverRun:
    """Send a steady load, apply a disruption after SETTLE_TIME, and return the run."""
    end = SETTLE_TIME + seconds
    flow = Flow("even", "drafts", "small", REQUEST_RATE, 0.0, end, TOKENS_PER_ANSWER)
    traffic = TrafficGenerator([router.http_address for router in fleet.routers])
    scenario = Scenario(fleet, wait_for_leader(fleet), traffic)
    engines = [engine.http_address for engine in fleet.engines.values()]
    sampler = LoadSampler(engines, LOAD_BOUND)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(sampler.run, traffic)
        tasks.start_soon(disrupt_after, SETTLE_TIME, disruption, scenario)
        outcomes = await traffic.run([flow])
        tasks.cancel_scope.cancel()
    begin = SETTLE_TIME - SERVICE_TIME
    chosen = [item for item in outcomes if item.sent_at >= begin]
    samples = [item for item in sampler.samples if begin <= item.sampled_at < end]
    return FailoverRun(chosen, samples, traffic.lost_routers)


async def disrupt_after(
    delay: float, disruption: Disruption, scenario: Scenario
) -> None:
    """Apply a disruption after a delay in seconds."""
    await anyio.sleep(delay)
    await anyio.to_thread.run_sync(partial(disrupt, disruption, scenario))


def measure(disruption: Disruption, seconds: float) -> FailoverRun:
    """Run a steady load through a new fleet with a disruption."""
    plan = FleetPlan(
        controls=CONTROL_HOST_COUNT,
        routers=ROUTER_COUNT,
        endpoints=plan_endpoints("chat", ENDPOINT_COUNT, ENGINE, SLOTS_PER_ENGINE),
        workspaces=("small",),
        ranks=declare_ranks(RANKS),
        extra_declarations=(
            f"[service chat]\nload_multiple = {LOAD_BOUND.multiple}\n"
            f"load_floor = {LOAD_BOUND.floor}\n"
        ),
    )
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        if isinstance(disruption, CutLeader):
            start_proxied_controls(fleet)
            plan = evolve(plan, controls=0)
        fleet.build(plan)
        run: FailoverRun = anyio.run(run_load, fleet, disruption, seconds)
        return run


def summarize_run(run: FailoverRun) -> dict[str, object]:
    """Return the details of a run: outcomes, waits and engine load."""
    waits = [item.time_to_first_byte for item in run.outcomes if item.is_complete]
    return {
        "requests": len(run.outcomes),
        "failed": len(run.failed_requests),
        "cut": sum(item.status == HTTP_OK for item in run.failed_requests),
        "lost_with_routers": sum(
            not item.is_complete and item.router in run.lost_routers
            for item in run.outcomes
        ),
        "statuses": dict(Counter(item.status for item in run.outcomes)),
        "wait_p99": round(compute_percentile(waits, 99), 3),
        "lag": round(max(item.lag for item in run.outcomes), 3),
        **summarize_samples(run.samples, 0.0, float("inf")),
    }


def count_samples_over_bound(run: FailoverRun) -> int:
    """Return the number of samples with an engine above the load bound."""
    return sum(max(item.running) > item.allowed for item in run.samples)


def main(quick: bool) -> None:
    """Measure the baseline and a killed leader, or the baseline and all disruptions."""
    seconds = QUICK_SECONDS if quick else LONG_SECONDS
    long_disruptions = (
        FrozenLeader(),
        StoppedLeader(),
        CutLeader(),
        LostZone(),
        LostOtherZone(),
    )
    disruptions = (Disruption(), KilledLeader(), *(() if quick else long_disruptions))
    runs = {disruption.name: measure(disruption, seconds) for disruption in disruptions}
    failed_counts = {name: len(run.failed_requests) for name, run in runs.items()}
    over_bound_counts = {
        name: count_samples_over_bound(run) for name, run in runs.items()
    }
    baseline_failures = failed_counts.pop(Disruption.name)
    Result(
        benchmark="failover",
        figure=max(failed_counts.values()),
        unit="requests of an even load refused or cut when the leader is lost",
        bound=0,
        holds=not any(failed_counts.values()) and not any(over_bound_counts.values()),
        baselines={Disruption.name: baseline_failures},
        details={name: summarize_run(run) for name, run in runs.items()},
    ).print()
