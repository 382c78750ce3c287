"""Skew: the peak of the engines' load against its mean, over time.

One chat is far busier than the others. Half-way the other work stops and the control
host is frozen, so that the agents keep a mean which is too high by now. The baseline
is the same fleet without a bound.
"""

from __future__ import annotations

import tempfile
from pathlib import Path

import anyio

from benchmarks.tools.floods import RANKS, declare_ranks
from benchmarks.tools.result import Result
from benchmarks.tools.samples import LoadLimit, Sample, Sampler, describe
from benchmarks.tools.traffic import Flow, Traffic
from standins.engine import EngineSettings
from standins.fleet import Fleet, FleetPlan, plan_endpoints

QUICK_SECONDS = 8.0
LONG_SECONDS = 30.0
SETTLE_TIME = 3.0  # seconds
ENDPOINTS = 5
SLOTS = 16
TOKEN_INTERVAL = 0.15  # seconds
HOT_RATE = 8.0  # requests a second
OTHER_RATE = 5.0  # requests a second
MULTIPLE = 1.5
FLOOR = 4
NO_BOUND = 1000.0


async def freeze_control(fleet: Fleet, traffic: Traffic, at: float) -> None:
    """Freeze the control host at a time of the run."""
    await anyio.sleep(max(0.0, at - traffic.read_time()))
    fleet.controls[0].freeze()


async def drive(fleet: Fleet, seconds: float) -> list[Sample]:
    """Send the traffic and return the samples."""
    middle = SETTLE_TIME + seconds
    flows = [
        Flow("hot", "drafts", "large", HOT_RATE, 0.0, middle + seconds, chats=1),
        Flow("other", "drafts", "small", OTHER_RATE, 0.0, middle),
    ]
    traffic = Traffic([router.http_address for router in fleet.routers])
    engines = [engine.http_address for engine in fleet.engines.values()]
    sampler = Sampler(engines, LoadLimit(MULTIPLE, FLOOR))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(freeze_control, fleet, traffic, middle)
        tasks.start_soon(sampler.run, traffic)
        await traffic.run(flows)
        tasks.cancel_scope.cancel()
    return sampler.samples


def measure(seconds: float, multiple: float) -> list[Sample]:
    """Return the samples of a fleet whose bound is a multiple of the mean."""
    engine = EngineSettings(slots=SLOTS, token_interval=TOKEN_INTERVAL, load_lag=0.0)
    plan = FleetPlan(
        routers=2,
        endpoints=plan_endpoints("chat", ENDPOINTS, engine, SLOTS),
        workspaces=("small", "large"),
        ranks=declare_ranks(RANKS),
        extra_declarations=(
            f"[service chat]\nload_multiple = {multiple}\nload_floor = {FLOOR}\n"
        ),
    )
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.build(plan)
        samples: list[Sample] = anyio.run(drive, fleet, seconds)
        return samples


def main(quick: bool) -> None:
    """Measure with the bound and without."""
    seconds = QUICK_SECONDS if quick else LONG_SECONDS
    middle = SETTLE_TIME + seconds
    windows = {"fresh": (SETTLE_TIME, middle), "stale": (middle, middle + seconds)}
    found = {
        name: {window: describe(samples, *times) for window, times in windows.items()}
        for name, samples in (
            ("bounded", measure(seconds, MULTIPLE)),
            ("unbounded", measure(seconds, NO_BOUND)),
        )
    }
    worst = {
        name: max(window["worst"] for window in shown.values())
        for name, shown in found.items()
    }
    figure = worst["bounded"]
    Result(
        benchmark="skew",
        figure=figure,
        unit="peak load of an engine, of what the multiple of the mean allows",
        bound=1.0,
        holds=figure <= 1.0,
        baselines={"unbounded": worst["unbounded"]},
        details={**found, "multiple": MULTIPLE, "floor": FLOOR},
    ).print()
