"""Admission: whether work could start in time, and what a router needn't send."""

from __future__ import annotations

import math

from attrs import define, field, frozen

from gentianworks.core.admission.fairness import SHARE_MARGIN, FairQueue, RankQueue
from gentianworks.core.types import (
    AdmissionLevel,
    Rank,
    RankName,
    Request,
    WorkspaceName,
)

PACE_SMOOTHING = 0.1
SHARE_SMOOTHING = 0.05
LATE_STEP = 0.2  # of the ratio, for each wait beyond its forecast
TIMELY_STEP = 0.01  # of the ratio, for each wait within it
MIN_ESTIMATE = 0.1  # seconds
ROUNDING = 1e-9  # starts
MIN_WAIT_RATIO = 0.5
MAX_WAIT_RATIO = 4.0
LEVEL_LIFETIME = 1.0  # seconds
MIN_RETRY_AFTER = 1.0  # seconds


@frozen
class QueueName:
    """Name the work of one workspace in one rank."""

    rank: RankName
    workspace: WorkspaceName


@define
class Throughput:
    """Hold the measured speed of one endpoint and how the ranks share it.

    `pace` is in seconds of one slot for each token of cost, 0 while unknown; `cost`
    is the mean of an attempt's; `shares` are fractions of the starts; `wait_ratios`
    are what most waits stay within, in relation to what was estimated.
    """

    pace: float = 0.0
    cost: float = 1.0
    shares: dict[RankName, float] = field(factory=dict)
    wait_ratios: dict[QueueName, float] = field(factory=dict)

    def note_start(self, rank: RankName) -> None:
        """Count a start for its rank."""
        self.shares.setdefault(rank, 0.0)
        for name in self.shares:
            target = 1.0 if name == rank else 0.0
            self.shares[name] += SHARE_SMOOTHING * (target - self.shares[name])

    def note_wait(self, name: QueueName, forecast: float, waited: float) -> None:
        """Count how long an attempt waited against its forecast.

        The ratio settles where one wait in twenty is beyond its forecast.
        """
        if forecast < MIN_ESTIMATE:
            return
        step = LATE_STEP if waited > forecast else -TIMELY_STEP
        ratio = self.find_wait_ratio(name) * (1.0 + step)
        self.wait_ratios[name] = min(max(ratio, MIN_WAIT_RATIO), MAX_WAIT_RATIO)

    def find_wait_ratio(self, name: QueueName) -> float:
        """Return by how much a forecast is to be raised, so that it mostly holds."""
        return self.wait_ratios.get(name, 1.0)

    def note_end(self, seconds: float, cost: int) -> None:
        """Count an attempt that held a slot for `seconds`."""
        pace = seconds / max(cost, 1)
        if self.pace == 0.0:
            self.pace = pace
            self.cost = cost
        else:
            self.pace += PACE_SMOOTHING * (pace - self.pace)
            self.cost += PACE_SMOOTHING * (cost - self.cost)

    def estimate_run(self, cost: float) -> float:
        """Return the seconds for which an attempt would hold a slot, 0 if unknown."""
        return self.pace * cost

    def find_share(
        self, rank: Rank, ranks: tuple[Rank, ...], waiting: set[RankName]
    ) -> float:
        """Return the fraction of the endpoint that a rank can count on."""
        taken = 0.0
        for other in ranks:
            guaranteed = other.guaranteed_share * SHARE_MARGIN
            recent = self.shares.get(other.name, 0.0)
            least = guaranteed if other.name in waiting else 0.0
            if other.priority > rank.priority:
                taken += max(least, min(recent, guaranteed))
            elif other.priority < rank.priority:
                taken += max(least, recent)
        return max(rank.guaranteed_share, 1.0 - taken)


@frozen
class Slots:
    """Hold in how many seconds each slot comes free, the soonest first."""

    free_in: tuple[float, ...]

    def find_start(self, starts: float, run: float) -> float:
        """Return the seconds until a start that comes after `starts` others.

        Each holds its slot for `run` seconds.
        """
        whole = max(0, math.ceil(starts - ROUNDING))
        rounds, index = divmod(whole, len(self.free_in))
        return self.free_in[index] + rounds * run


def estimate_wait(
    queue: FairQueue,
    rank: Rank,
    workspace: WorkspaceName,
    ranks: tuple[Rank, ...],
    throughput: Throughput,
    slots: Slots,
    queued_cost: int = 0,
) -> float:
    """Return the seconds until one more attempt of a workspace would start.

    With `queued_cost`, it is the last in the workspace's queue that costs so much.
    """
    if not throughput.pace or not slots.free_in:
        return 0.0
    starts = count_starts(queue, rank, workspace, ranks, throughput, queued_cost)
    run = throughput.estimate_run(throughput.cost)
    return slots.find_start(starts, run)


def count_starts(
    queue: FairQueue,
    rank: Rank,
    workspace: WorkspaceName,
    ranks: tuple[Rank, ...],
    throughput: Throughput,
    queued_cost: int = 0,
) -> float:
    """Return how many attempts would start before one more of a workspace.

    It starts in its rank's turn, or sooner once the rank has credit after what
    goes before it in the rank.
    """
    waiting = {item.name for item, _ in queue.list_waiting(ranks)}
    share = throughput.find_share(rank, ranks, waiting)
    found = queue.ranks.get(rank.name)
    ahead = sum_ahead(found, workspace) - queued_cost
    before = ahead / throughput.cost
    if not share:
        return before
    turn = (before + 1.0) / share - 1.0
    if not rank.guaranteed_share:
        return turn
    credit = found.credit / throughput.cost if found else 0.0
    covered = max(0.0, before - credit) / (rank.guaranteed_share * SHARE_MARGIN)
    return min(turn, covered)


def sum_ahead(queue: RankQueue | None, workspace: WorkspaceName) -> int:
    """Return the cost that goes before one more attempt of a workspace.

    Each other workspace goes first with no more than this one already has queued.
    """
    if queue is None:
        return 0
    own = queue.workspaces.get(workspace)
    own_cost = own.sum_cost() if own else 0
    others = sum(
        min(other.sum_cost(), max(own_cost, other.tickets[0].cost))
        for name, other in queue.list_waiting()
        if name != workspace
    )
    return own_cost + others


def is_closed(level: AdmissionLevel, request: Request) -> bool:
    """Tell whether an endpoint would refuse a request now."""
    return any(
        closed.rank == request.rank and closed.workspace in ("", request.workspace)
        for closed in level.closed
    )
