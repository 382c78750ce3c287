"""Failover: what an even load of short answers loses with the leading control host.

The quick run kills the leader; the long one also freezes it, stops it gracefully, cuts
it off and kills all hosts of its availability zone, and of another. The baseline is the
same fleet unharmed.
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
from benchmarks.tools.samples import LoadLimit, Sample, Sampler, describe
from benchmarks.tools.traffic import HTTP_OK, Flow, Outcome, Traffic, find_percentile
from standins.control import start_proxied_controls, wait_for_leader
from standins.engine import EngineSettings
from standins.fleet import Fleet, FleetPlan, plan_endpoints
from standins.members import Member
from standins.proxy import Fault

CONTROLS = 3
ROUTERS = 2
ZONES = 3
ENDPOINTS = 5
SLOTS = 32
TOKENS = 16
TOKEN_INTERVAL = 0.15  # seconds
RUN_TIME = TOKENS * TOKEN_INTERVAL
EVEN_LOAD = 11  # requests an endpoint
REQUEST_RATE = ENDPOINTS * EVEN_LOAD / RUN_TIME
SETTLE_TIME = 7.0  # seconds
QUICK_SECONDS = 9.0
LONG_SECONDS = 20.0
LIMIT = LoadLimit(multiple=1.5, floor=4)
ENGINE = EngineSettings(slots=SLOTS, token_interval=TOKEN_INTERVAL, load_lag=0.0)


@frozen
class Harm:
    """Stand for what happens to the control host that leads."""

    name = "unharmed"


@frozen
class KilledLeader(Harm):
    """End the leader as a crash does."""

    name = "killed"


@frozen
class FrozenLeader(Harm):
    """Stop the leader's process from running, with its connections open."""

    name = "frozen"


@frozen
class StoppedLeader(Harm):
    """Ask the leader to stop gracefully."""

    name = "stopped"


@frozen
class CutLeader(Harm):
    """Cut the leader off, both ways."""

    name = "cut"


@frozen
class LostZone(Harm):
    """End all hosts of the leader's availability zone at once."""

    name = "zone"


@frozen
class LostOtherZone(Harm):
    """End all hosts of an availability zone without the leader at once."""

    name = "other-zone"


@define
class Scene:
    """Hold a fleet whose leader is known, and the traffic that is sent through it."""

    fleet: Fleet
    leader: Member
    traffic: Traffic


@singledispatch
def inflict(harm: Harm, scene: Scene) -> None:
    """Let a harm happen; the plain one changes nothing."""


@inflict.register
def _(harm: KilledLeader, scene: Scene) -> None:
    scene.leader.kill()


@inflict.register
def _(harm: FrozenLeader, scene: Scene) -> None:
    scene.leader.freeze()


@inflict.register
def _(harm: StoppedLeader, scene: Scene) -> None:
    scene.leader.process.terminate()


@inflict.register
def _(harm: CutLeader, scene: Scene) -> None:
    for control in scene.fleet.controls:
        proxy = scene.fleet.members[f"proxy-{control.name[-1]}"]
        if control is scene.leader:
            proxy.set_fault(Fault.CUT)
        else:
            proxy.block_sender(scene.leader.name)


@inflict.register
def _(harm: LostZone, scene: Scene) -> None:
    kill_zone(find_zone(scene.leader), scene)


@inflict.register
def _(harm: LostOtherZone, scene: Scene) -> None:
    leading = find_zone(scene.leader)
    zones = [find_zone(router) for router in scene.fleet.routers]
    kill_zone(next(zone for zone in zones if zone != leading), scene)


def find_zone(member: Member) -> int:
    """Return the number of the availability zone that a fleet gave to a host."""
    return int(member.name[-1]) % ZONES


def kill_zone(zone: int, scene: Scene) -> None:
    """End all hosts of an availability zone as a loss of power does."""
    fleet = scene.fleet
    routers = [item for item in fleet.routers if find_zone(item) == zone]
    hosts = [*fleet.controls, *fleet.agents.values(), *fleet.engines.values()]
    for member in (*routers, *hosts):
        if find_zone(member) == zone:
            member.process.kill()
    scene.traffic.lost.update(item.http_address for item in routers)


@define
class Run:
    """Hold the outcomes and the samples of one run from its harm on.

    `lost_routers` are the addresses of the routers that were killed.
    """

    outcomes: list[Outcome]
    samples: list[Sample]
    lost_routers: set[str] = field(factory=set)

    @property
    def failed(self) -> list[Outcome]:
        """Return the requests that were not answered whole by a router that lives."""
        return [
            item
            for item in self.outcomes
            if not item.is_whole and item.router not in self.lost_routers
        ]


async def drive(fleet: Fleet, harm: Harm, seconds: float) -> Run:
    """Send an even load, let the harm happen once it has settled, and return all."""
    end = SETTLE_TIME + seconds
    flow = Flow("even", "drafts", "small", REQUEST_RATE, 0.0, end, TOKENS)
    traffic = Traffic([router.http_address for router in fleet.routers])
    scene = Scene(fleet, wait_for_leader(fleet), traffic)
    engines = [engine.http_address for engine in fleet.engines.values()]
    sampler = Sampler(engines, LIMIT)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(sampler.run, traffic)
        tasks.start_soon(inflict_after, SETTLE_TIME, harm, scene)
        outcomes = await traffic.run([flow])
        tasks.cancel_scope.cancel()
    begin = SETTLE_TIME - RUN_TIME
    chosen = [item for item in outcomes if item.sent_at >= begin]
    samples = [item for item in sampler.samples if begin <= item.at < end]
    return Run(chosen, samples, traffic.lost)


async def inflict_after(delay: float, harm: Harm, scene: Scene) -> None:
    """Let a harm happen after some seconds."""
    await anyio.sleep(delay)
    await anyio.to_thread.run_sync(partial(inflict, harm, scene))


def measure(harm: Harm, seconds: float) -> Run:
    """Return what became of an even load beside a harm."""
    plan = FleetPlan(
        controls=CONTROLS,
        routers=ROUTERS,
        endpoints=plan_endpoints("chat", ENDPOINTS, ENGINE, SLOTS),
        workspaces=("small",),
        ranks=declare_ranks(RANKS),
        extra_declarations=(
            f"[service chat]\nload_multiple = {LIMIT.multiple}\n"
            f"load_floor = {LIMIT.floor}\n"
        ),
    )
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        if isinstance(harm, CutLeader):
            start_proxied_controls(fleet)
            plan = evolve(plan, controls=0)
        fleet.build(plan)
        run: Run = anyio.run(drive, fleet, harm, seconds)
        return run


def describe_run(run: Run) -> dict[str, object]:
    """Return what callers saw and how the engines were loaded."""
    waits = [item.wait for item in run.outcomes if item.is_whole]
    return {
        "requests": len(run.outcomes),
        "failed": len(run.failed),
        "cut": sum(item.status == HTTP_OK for item in run.failed),
        "lost_with_routers": sum(
            not item.is_whole and item.router in run.lost_routers
            for item in run.outcomes
        ),
        "statuses": dict(Counter(item.status for item in run.outcomes)),
        "wait_p99": round(find_percentile(waits, 99), 3),
        "lag": round(max(item.lag for item in run.outcomes), 3),
        **describe(run.samples, 0.0, float("inf")),
    }


def count_over(run: Run) -> int:
    """Return how many samples are above the bound."""
    return sum(max(item.running) > item.allowed for item in run.samples)


def main(quick: bool) -> None:
    """Measure an unharmed fleet and one whose leader is killed, or all harms."""
    seconds = QUICK_SECONDS if quick else LONG_SECONDS
    more = (
        FrozenLeader(),
        StoppedLeader(),
        CutLeader(),
        LostZone(),
        LostOtherZone(),
    )
    harms = (Harm(), KilledLeader(), *(() if quick else more))
    runs = {harm.name: measure(harm, seconds) for harm in harms}
    failed = {name: len(run.failed) for name, run in runs.items()}
    over = {name: count_over(run) for name, run in runs.items()}
    unharmed = failed.pop(Harm.name)
    Result(
        benchmark="failover",
        figure=max(failed.values()),
        unit="requests of an even load refused or cut when the leader is lost",
        bound=0,
        holds=not any(failed.values()) and not any(over.values()),
        baselines={Harm.name: unharmed},
        details={name: describe_run(run) for name, run in runs.items()},
    ).print()
