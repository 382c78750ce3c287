"""Lost disk plans: control groups that lose disks beside shorter faults.

Each plan stays within the losses of a deployment: no more disks are lost than it
tolerates, and all other hosts come back with their disks.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import Annotated

import typer
from attrs import define, field, frozen

from properties.control_group import SimulatedGroup, SimulatedHost

MAX_FAULTS = 6  # beside the lost disks
FAULT_PERIOD = 6.0  # seconds in which the faults of a plan begin
MAX_FAULT_TIME = 4.0  # seconds
MAX_DOWN_TIME = 3.0  # seconds that a host without its disk takes to start
PROPOSAL_INTERVAL = 0.2  # seconds
LOSS_RATE = 0.2
FORMATION_TIME = 30.0  # seconds


@define
class LostDiskGroup(SimulatedGroup):
    """Control group that checks that its leaders have a majority with their disks."""

    lost: set[str] = field(factory=set)  # identities

    def wipe_disk(self, number: int) -> None:
        """Crash a host, empty its disk and start it again."""
        self.lost.add(self.hosts[number].disk.contents.host)
        super().wipe_disk(number)

    def _check_invariants(self, host: SimulatedHost) -> None:
        super()._check_invariants(host)
        if host.state.control.replication is None or not host.replication.is_leader:
            return
        voters = host.replication.membership.list_voters()
        whole = [voter for voter in voters if voter not in self.lost]
        assert len(whole) > len(voters) // 2, (
            f"only {len(whole)} of {len(voters)} voters have their disks"
        )


@frozen
class GroupLayout:
    """Sizes of a control group and the disks that it may lose."""

    size: int
    tolerated_losses: int
    diskless: frozenset[int] = field(default=frozenset())

    def build_group(self, seed: int) -> LostDiskGroup:
        """Return a group with all its members."""
        group = LostDiskGroup(
            self.size,
            seed,
            seed_host_count=3,
            tolerated_losses=self.tolerated_losses,
            diskless=self.diskless,
        )
        end = group.now + FORMATION_TIME
        while not group.has_full_membership():
            assert group.now < end, f"the group with seed {seed} was not formed"
            group.run(0.25)
        return group

    def list_disk_hosts(self) -> list[int]:
        """Return the numbers of the hosts that have a disk."""
        return [item for item in range(self.size) if item not in self.diskless]


LAYOUTS = (
    GroupLayout(4, 1),
    GroupLayout(3, 1),
    GroupLayout(5, 1),
    GroupLayout(6, 1, frozenset({4, 5})),
    GroupLayout(6, 2),
)

Step = Callable[[], object]
Plan = list[tuple[float, Step]]  # (time, step) pairs; times in seconds


def run_plan(layout: GroupLayout, seed: int) -> SimulatedGroup:
    """Run a group under the plan of a seed, then assert that it recovers."""
    rng = random.Random(f"{layout}/{seed}")
    group = layout.build_group(seed)
    plan = _plan_losses(group, layout, rng)
    for _ in range(rng.randint(0, MAX_FAULTS)):
        begin_at = rng.uniform(0.0, FAULT_PERIOD)
        end_at = begin_at + rng.uniform(0.05, MAX_FAULT_TIME)
        begin, end = rng.choice(FAULTS)(group, rng)
        plan += [(begin_at, begin), (end_at, end)]
    for number in range(int(FAULT_PERIOD / PROPOSAL_INTERVAL)):
        plan.append((number * PROPOSAL_INTERVAL, _propose_at(group, rng)))
    start = group.now
    for at, step in sorted(plan, key=lambda item: item[0]):
        group.run(max(0.0, start + at - group.now))
        step()
    group.recover()
    return group


def _plan_losses(
    group: SimulatedGroup, layout: GroupLayout, rng: random.Random
) -> Plan:
    """Return the losses of disks, some during the change of a membership."""
    lost = rng.sample(layout.list_disk_hosts(), layout.tolerated_losses)
    plan: Plan = []
    for number in lost:
        at = rng.uniform(0.0, FAULT_PERIOD)
        restart_at = at + rng.uniform(0.0, MAX_DOWN_TIME)
        is_aimed = rng.random() < 0.5
        delay = rng.uniform(0.0, 0.05)
        plan.append((at, partial(_lose, group, number, is_aimed, delay)))
        plan.append((restart_at, partial(_start, group, number)))
    return plan


def _lose(group: SimulatedGroup, number: int, is_aimed: bool, delay: float) -> None:
    """Empty a disk; an aimed loss waits a while for a change of the membership."""
    end = group.now + MAX_FAULT_TIME
    members = _get_leaders_members(group)
    while is_aimed and group.now < end and _get_leaders_members(group) == members:
        group.run(0.005)
    group.run(delay)
    group.wipe_disk(number)
    group.crash(number)


def _get_leaders_members(group: SimulatedGroup) -> object:
    leader = group.find_leader()
    return None if leader is None else group.hosts[leader].replication.membership


def _start(group: SimulatedGroup, number: int) -> None:
    if not group.hosts[number].is_up:
        group.start(number)


def _propose_at(group: SimulatedGroup, rng: random.Random) -> Step:
    number = rng.randrange(group.size)

    def propose() -> None:
        host = group.hosts[number]
        if host.is_up and not host.is_frozen:
            group.propose_item(number)

    return propose


def _kill(group: SimulatedGroup, rng: random.Random) -> tuple[Step, Step]:
    number = _choose_host(group, rng)
    return lambda: group.crash(number()), lambda: _start(group, number())


def _freeze(group: SimulatedGroup, rng: random.Random) -> tuple[Step, Step]:
    number = _choose_host(group, rng)

    def thaw() -> None:
        if group.hosts[number()].is_up:
            group.thaw(number())

    return lambda: group.freeze(number()), thaw


def _cut_one_way(group: SimulatedGroup, rng: random.Random) -> tuple[Step, Step]:
    first, second = rng.sample(range(group.size), 2)
    link = (group.hosts[first].address, group.hosts[second].address)
    return (
        lambda: group.cut_links.add(link),
        lambda: group.cut_links.discard(link),
    )


def _isolate(group: SimulatedGroup, rng: random.Random) -> tuple[Step, Step]:
    number = _choose_host(group, rng)

    def rejoin() -> None:
        address = group.hosts[number()].address
        group.cut_links = {link for link in group.cut_links if address not in link}

    return lambda: group.isolate(number()), rejoin


def _lose_messages(group: SimulatedGroup, rng: random.Random) -> tuple[Step, Step]:
    rate = rng.uniform(0.02, LOSS_RATE)
    return (
        lambda: setattr(group, "loss_rate", rate),
        lambda: setattr(group, "loss_rate", 0.0),
    )


def _choose_host(group: SimulatedGroup, rng: random.Random) -> Callable[[], int]:
    """Return a function that names one host, in half of the cases the leader."""
    fallback = rng.randrange(group.size)
    is_leader = rng.random() < 0.5
    chosen: list[int] = []

    def choose() -> int:
        if not chosen:
            leader = group.find_leader()
            chosen.append(fallback if leader is None or not is_leader else leader)
        return chosen[0]

    return choose


FAULTS = (_kill, _kill, _freeze, _cut_one_way, _isolate, _lose_messages)


def main(
    seeds: Annotated[str, typer.Option(help="Range of seeds, FIRST-LAST.")],
) -> None:
    """Run the plans of the seeds in turn on each layout; failed ones are printed."""
    first, _, last = seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        layout = LAYOUTS[seed % len(LAYOUTS)]
        try:
            run_plan(layout, seed)
        except AssertionError as error:
            failed += 1
            typer.echo(f"Seed {seed} on {layout} failed: {error}")
    typer.echo(f"Seeds {seeds}: {failed} failed.")
    raise typer.Exit(code=int(failed > 0))


if __name__ == "__main__":
    typer.run(main)
