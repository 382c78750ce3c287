"""Listing: requests to the platform, age of the list and control traffic by fleet size.

Runs a fleet in virtual time in which a replica is replaced every two seconds.
"""

from __future__ import annotations

import json
import statistics

from attrs import asdict, frozen

from properties.listed_fleet import ListedFleet, Platform

SIZES = (30, 100, 300)  # machines, half of them routers and half beside a replica
WARM_UP_TIME = 10.0  # seconds
QUICK_TIME = 20.0  # seconds
LONG_TIME = 120.0  # seconds
REPLACEMENT_INTERVAL = 2.0  # seconds
AGE_SAMPLE_INTERVAL = 0.2  # seconds


@frozen
class Figures:
    """Figures of one fleet."""

    machines: int
    calls_per_second: float
    throttled: int
    age_p50: float  # seconds
    age_worst: float  # seconds
    router_bytes_per_second: float  # sent and received, the busiest router
    leader_bytes_per_second: float


def measure(machines: int, seconds: float) -> Figures:
    """Return the figures of a fleet of a size."""
    platform = Platform(permitted_rate=machines)
    for number in range(machines // 2):
        platform.add(f"i-{number}")
    fleet = ListedFleet(
        5, 1, seed_host_count=3, router_count=machines // 2, platform=platform
    )
    fleet.run(WARM_UP_TIME)
    fleet.counts_bytes = True
    start = fleet.now
    ages: list[float] = []
    replaced = 0
    while fleet.now - start < seconds:
        if (fleet.now - start) // REPLACEMENT_INTERVAL >= replaced:
            _replace(platform, replaced)
            replaced += 1
        fleet.run(AGE_SAMPLE_INTERVAL)
        ages += fleet.list_ages()
    leader = fleet.find_leader()
    assert leader is not None
    return Figures(
        machines,
        round(platform.count_calls(start) / seconds, 2),
        platform.throttled_count,
        round(statistics.median(ages), 2),
        round(max(ages), 2),
        round(
            max(
                count_bytes(fleet, number)
                for number in range(fleet.size, len(fleet.hosts))
            )
            / seconds
        ),
        round(count_bytes(fleet, leader) / seconds),
    )


def _replace(platform: Platform, number: int) -> None:
    """Take the oldest replica off the list, drain the next and add a new one."""
    del platform.replicas[next(iter(platform.replicas))]
    platform.drain(next(iter(platform.replicas)))
    platform.add(f"i-new-{number}", f"10.3.0.{number % 250}:80")


def count_bytes(fleet: ListedFleet, number: int) -> int:
    """Return the bytes that a node sent and received."""
    return fleet.sent_bytes.get(number, 0) + fleet.received_bytes.get(number, 0)


def main(quick: bool) -> None:
    """Print the figures of each size as JSON."""
    seconds = QUICK_TIME if quick else LONG_TIME
    figures = [asdict(measure(machines, seconds)) for machines in SIZES]
    print(json.dumps({"benchmark": "listing", "sizes": figures}))
