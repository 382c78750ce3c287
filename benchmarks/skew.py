"""Skew: peak of the engines' load relative to the mean load, over time.

One chat sends far more requests than the others. Halfway through, the other work stops
and the control host is frozen, so that the mean known to the agents is stale and too
high. The baseline is the same fleet without a load bound.
"""

from __future__ import annotations

import tempfile
from pathlib import Path

import anyio

from benchmarks.tools.floods import RANKS, declare_ranks
from benchmarks.tools.result import Result
from benchmarks.tools.samples import (
    LoadBound,
    LoadSample,
    LoadSampler,
    summarize_samples,
)
from benchmarks.tools.traffic import Flow, TrafficGenerator
from standins.engine import EngineSettings
from standins.fleet import Fleet, FleetPlan, plan_endpoints

QUICK_SECONDS = 8.0
LONG_SECONDS = 30.0
SETTLE_TIME = 3.0  # seconds
ENDPOINT_COUNT = 5
SLOTS_PER_ENGINE = 16
TOKEN_INTERVAL = 0.15  # seconds
HOT_RATE = 8.0  # requests per second
OTHER_RATE = 5.0  # requests per second
LOAD_MULTIPLE = 1.5
LOAD_FLOOR = 4  # requests
UNBOUNDED_MULTIPLE = 1000.0


async def freeze_control(
    fleet: Fleet, traffic: TrafficGenerator, freeze_at: float
) -> None:
    """Freeze the control host at a time in seconds since the start of the run."""
    await anyio.sleep(max(0.0, freeze_at - traffic.compute_elapsed_time()))
    fleet.controls[0].freeze()


async def run_load(fleet: Fleet, seconds: float) -> list[LoadSample]:
    """Send the traffic and return the load samples."""
    middle = SETTLE_TIME + seconds
    flows = [
        Flow("hot", "drafts", "large", HOT_RATE, 0.0, middle + seconds, chats=1),
        Flow("other", "drafts", "small", OTHER_RATE, 0.0, middle),
    ]
    traffic = TrafficGenerator([router.http_address for router in fleet.routers])
    engines = [engine.http_address for engine in fleet.engines.values()]
    sampler = LoadSampler(engines, LoadBound(LOAD_MULTIPLE, LOAD_FLOOR))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(freeze_control, fleet, traffic, middle)
        tasks.start_soon(sampler.run, traffic)
        await traffic.run(flows)
        tasks.cancel_scope.cancel()
    return sampler.samples


def measure(seconds: float, multiple: float) -> list[LoadSample]:
    """Return the load samples of a fleet with a multiple of the mean as its bound."""
    engine = EngineSettings(
        slots=SLOTS_PER_ENGINE, token_interval=TOKEN_INTERVAL, load_lag=0.0
    )
    plan = FleetPlan(
        routers=2,
        endpoints=plan_endpoints("chat", ENDPOINT_COUNT, engine, SLOTS_PER_ENGINE),
        workspaces=("small", "large"),
        ranks=declare_ranks(RANKS),
        extra_declarations=(
            f"[service chat]\nload_multiple = {multiple}\nload_floor = {LOAD_FLOOR}\n"
        ),
    )
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.build(plan)
        samples: list[LoadSample] = anyio.run(run_load, fleet, seconds)
        return samples


def main(quick: bool) -> None:
    """Measure with and without the load bound."""
    seconds = QUICK_SECONDS if quick else LONG_SECONDS
    middle = SETTLE_TIME + seconds
    windows = {"fresh": (SETTLE_TIME, middle), "stale": (middle, middle + seconds)}
    summaries = {
        name: {
            window: summarize_samples(samples, *times)
            for window, times in windows.items()
        }
        for name, samples in (
            ("bounded", measure(seconds, LOAD_MULTIPLE)),
            ("unbounded", measure(seconds, UNBOUNDED_MULTIPLE)),
        )
    }
    worst_ratios = {
        name: max(window["worst"] for window in windows_of_run.values())
        for name, windows_of_run in summaries.items()
    }
    figure = worst_ratios["bounded"]
    Result(
        benchmark="skew",
        figure=figure,
        unit="peak load of an engine, of what the multiple of the mean allows",
        bound=1.0,
        holds=figure <= 1.0,
        baselines={"unbounded": worst_ratios["unbounded"]},
        details={**summaries, "multiple": LOAD_MULTIPLE, "floor": LOAD_FLOOR},
    ).print()
