"""Idle: processor time, memory and threads of each process without callers."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

import psutil
from attrs import asdict, frozen

from benchmarks.tools.result import Result
from standins.fleet import Fleet, FleetPlan, plan_endpoints
from standins.members import Member

MAX_CPU_PERCENT = 1.6
MAX_RESIDENT_MB = 128.0
SETTLE_SECONDS = 3.0
QUICK_SECONDS = 10.0
LONG_SECONDS = 60.0
BYTES_PER_MB = 1024 * 1024


@frozen
class Usage:
    """Resources that a process used while it was idle."""

    cpu_percent: float
    resident_mb: float
    threads: int


def measure_usage(members: list[Member], seconds: float) -> dict[str, Usage]:
    """Return the usage of each process over a number of seconds."""
    processes = {item.name: psutil.Process(item.process.pid) for item in members}
    cpu_before = {name: sum(item.cpu_times()[:2]) for name, item in processes.items()}
    time.sleep(seconds)
    return {
        name: Usage(
            cpu_percent=100 * (sum(item.cpu_times()[:2]) - cpu_before[name]) / seconds,
            resident_mb=item.memory_info().rss / BYTES_PER_MB,
            threads=item.num_threads(),
        )
        for name, item in processes.items()
    }


def main(quick: bool) -> None:
    """Measure an idle fleet of three control hosts, two routers and eight agents."""
    plan = FleetPlan(
        controls=3,
        routers=2,
        endpoints=(*plan_endpoints("chat", 5), *plan_endpoints("booking", 3)),
    )
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.build(plan)
        time.sleep(SETTLE_SECONDS)
        members = [*fleet.controls, *fleet.routers, *fleet.agents.values()]
        usages = measure_usage(members, QUICK_SECONDS if quick else LONG_SECONDS)
    cpu = max(item.cpu_percent for item in usages.values())
    resident = max(item.resident_mb for item in usages.values())
    Result(
        benchmark="idle",
        figure=cpu,
        unit="percent of a core, highest of all processes",
        bound=MAX_CPU_PERCENT,
        holds=cpu <= MAX_CPU_PERCENT and resident <= MAX_RESIDENT_MB,
        baselines={},
        details={
            "max_resident_mb": resident,
            "resident_bound_mb": MAX_RESIDENT_MB,
            "processes": {name: asdict(item) for name, item in usages.items()},
        },
    ).print()
