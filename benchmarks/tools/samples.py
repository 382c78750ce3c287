"""Samples: engine load over time, compared with the load bound."""

from __future__ import annotations

import json
import math

import anyio
import httpcore
from attrs import define, field, frozen

from benchmarks.tools.traffic import TRANSPORT_ERRORS, TrafficGenerator
from gentianworks.web.pools import create_pool

SAMPLE_INTERVAL = 0.1  # seconds


@frozen
class LoadBound:
    """Load bound of an engine: a multiple of the mean load, but at least the floor."""

    multiple: float
    floor: int  # requests


@frozen
class LoadSample:
    """Number of requests that each engine is running at one moment."""

    sampled_at: float  # seconds since the start of the run
    running: tuple[int, ...]
    load_bound: LoadBound

    @property
    def mean(self) -> float:
        """Mean number of running requests of an engine."""
        return sum(self.running) / len(self.running)

    @property
    def allowed(self) -> int:
        """Largest number of requests that the load bound allows an engine to run."""
        return max(
            self.load_bound.floor, math.ceil(self.load_bound.multiple * self.mean)
        )


@define
class LoadSampler:
    """Sampler that reads the current load directly from the engines.

    A sample leaves out engines that do not answer.
    """

    addresses: list[str]
    load_bound: LoadBound
    samples: list[LoadSample] = field(factory=list)

    async def run(self, traffic: TrafficGenerator) -> None:
        """Take samples until cancelled."""
        async with create_pool() as pool:
            while True:
                counts = [
                    await self._count_running(pool, item) for item in self.addresses
                ]
                running = tuple(count for count in counts if count is not None)
                self.samples.append(
                    LoadSample(traffic.compute_elapsed_time(), running, self.load_bound)
                )
                await anyio.sleep(SAMPLE_INTERVAL)

    async def _count_running(
        self, pool: httpcore.AsyncConnectionPool, address: str
    ) -> int | None:
        try:
            response = await pool.request("GET", f"http://{address}/load")
        except TRANSPORT_ERRORS:
            return None
        return len(json.loads(response.content)["running"])


def summarize_samples(
    samples: list[LoadSample], begin: float, end: float
) -> dict[str, float]:
    """Return the peak load in a time window and its ratio to the load bound."""
    chosen = [sample for sample in samples if begin <= sample.sampled_at < end]
    over_bound = [item for item in chosen if max(item.running) > item.allowed]
    return {
        "samples": len(chosen),
        "samples_over": len(over_bound),
        "worst": round(max(max(item.running) / item.allowed for item in chosen), 3),
        "peak": max(max(item.running) for item in chosen),
        "mean": round(sum(item.mean for item in chosen) / len(chosen), 2),
        "lowest_mean": round(min(item.mean for item in chosen), 2),
    }
