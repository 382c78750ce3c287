"""Long random runs of control groups: python -m properties.long_replication."""

from __future__ import annotations

import random
from typing import Annotated

import typer

from properties.control_group import SimulatedGroup
from properties.faults import (
    ACTIONS,
    heal_all,
    heal_network,
    propose_item,
    start,
    start_read,
    thaw,
)

GROUP_SIZES = (3, 3, 4, 5)
PAUSE_LIMITS = (0.01, 0.05, 0.2, 0.5, 3.0)  # seconds
FREQUENT_ACTIONS = (
    *[propose_item] * 8,
    *[start_read] * 4,
    heal_all,
    heal_network,
    start,
    thaw,
)


def main(
    seeds: Annotated[str, typer.Option(help="Range of seeds, FIRST-LAST.")],
    steps: Annotated[int, typer.Option(help="Number of actions in each run.")] = 300,
) -> None:
    """Run a group for each seed; the seed of a failed run is printed."""
    first, _, last = seeds.partition("-")
    items = reads = leaders = 0
    for seed in range(int(first), int(last or first) + 1):
        try:
            group = run_seed(seed, steps)
        except Exception:
            typer.echo(f"Seed {seed} with {steps} steps failed.", err=True)
            raise
        items += len(group.acknowledged_items)
        reads += group.answered_reads
        leaders += len(group.leaders_by_term)
    typer.echo(
        f"Seeds {seeds}, {steps} steps each: {items} items acknowledged, "
        f"{reads} reads answered, {leaders} terms with a leader, no violation."
    )


def run_seed(seed: int, steps: int) -> SimulatedGroup:
    """Run a group under random faults, then assert that it recovers."""
    rng = random.Random(seed)
    group = SimulatedGroup(rng.choice(GROUP_SIZES), seed)
    for _ in range(steps):
        action = rng.choice((*ACTIONS, *FREQUENT_ACTIONS))
        action(group, rng.randrange(group.size))
        group.run(rng.uniform(0.0, rng.choice(PAUSE_LIMITS)))
    group.recover()
    return group


if __name__ == "__main__":
    typer.run(main)
