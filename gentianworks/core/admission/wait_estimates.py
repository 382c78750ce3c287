"""Wait estimates: when a queued attempt would start at an endpoint.

Agents refuse work that would start too late, and publish what they would refuse so
that routers don't send it.
"""

from __future__ import annotations

import math

from attrs import define, field, frozen

from gentianworks.core.admission.fairness import SHARE_FACTOR, FairQueue, RankQueue
from gentianworks.core.types import (
    AdmissionLevel,
    Rank,
    RankName,
    Request,
    WorkspaceName,
)

RUN_MEAN_WEIGHT = 0.1  # of the newest run in a moving average
SHARE_MEAN_WEIGHT = 0.05  # of the newest start in a moving average
LATE_RATIO_STEP = 0.2  # relative, for each wait longer than its forecast
ON_TIME_RATIO_STEP = 0.01  # relative, for each wait within its forecast
MIN_COMPARED_FORECAST = 0.1  # seconds
ROUNDING_TOLERANCE = 1e-9  # starts
MIN_WAIT_RATIO = 0.5
MAX_WAIT_RATIO = 4.0
LEVEL_LIFETIME = 1.0  # seconds
MIN_RETRY_AFTER = 1.0  # seconds


@frozen
class QueueKey:
    """Key of the queue of one workspace in one rank."""

    rank: RankName
    workspace: WorkspaceName


@define
class Throughput:
    """Moving averages of an endpoint's speed and of each rank's share of its starts."""

    # Time in one slot per token of cost; 0 while unknown.
    seconds_per_token: float = 0.0
    # Tokens per attempt.
    mean_cost: float = 1.0
    # Fractions of recent starts.
    start_shares: dict[RankName, float] = field(factory=dict)
    # About 95% of waits are within the forecast times this ratio.
    wait_ratios: dict[QueueKey, float] = field(factory=dict)

    def record_start(self, rank: RankName) -> None:
        """Update each rank's share of the starts."""
        self.start_shares.setdefault(rank, 0.0)
        for name in self.start_shares:
            target = 1.0 if name == rank else 0.0
            self.start_shares[name] += SHARE_MEAN_WEIGHT * (
                target - self.start_shares[name]
            )

    def record_wait(self, key: QueueKey, forecast: float, waited: float) -> None:
        """Adjust the wait ratio of a queue by a wait and its forecast, in seconds.

        The ratio settles where one wait in twenty is longer than its forecast.
        """
        if forecast < MIN_COMPARED_FORECAST:
            return
        step = LATE_RATIO_STEP if waited > forecast else -ON_TIME_RATIO_STEP
        ratio = self.get_wait_ratio(key) * (1.0 + step)
        self.wait_ratios[key] = min(max(ratio, MIN_WAIT_RATIO), MAX_WAIT_RATIO)

    def get_wait_ratio(self, key: QueueKey) -> float:
        """Return the factor by which to raise a forecast so that most waits meet it."""
        return self.wait_ratios.get(key, 1.0)

    def record_run(self, seconds: float, cost: int) -> None:
        """Update the averages with an attempt that occupied a slot for `seconds`."""
        sample = seconds / max(cost, 1)
        if self.seconds_per_token == 0.0:
            self.seconds_per_token = sample
            self.mean_cost = cost
        else:
            self.seconds_per_token += RUN_MEAN_WEIGHT * (
                sample - self.seconds_per_token
            )
            self.mean_cost += RUN_MEAN_WEIGHT * (cost - self.mean_cost)

    def estimate_run_time(self, cost: float) -> float:
        """Return the seconds that an attempt would occupy a slot; 0 if unknown."""
        return self.seconds_per_token * cost

    def compute_available_share(
        self, rank: Rank, ranks: tuple[Rank, ...], waiting: set[RankName]
    ) -> float:
        """Return the fraction of the endpoint's starts available to a rank.

        More urgent ranks use their recent share, less urgent ones at most the share
        that they are guaranteed.
        """
        used = 0.0
        for other in ranks:
            guaranteed = other.guaranteed_share * SHARE_FACTOR
            recent = self.start_shares.get(other.name, 0.0)
            minimum = guaranteed if other.name in waiting else 0.0
            if other.priority > rank.priority:
                used += max(minimum, min(recent, guaranteed))
            elif other.priority < rank.priority:
                used += max(minimum, recent)
        return max(rank.guaranteed_share, 1.0 - used)


@frozen
class SlotForecast:
    """Forecast of when each slot of an endpoint becomes free."""

    # Seconds from now, in ascending order.
    free_in: tuple[float, ...]

    def estimate_start(self, earlier_starts: float, run_time: float) -> float:
        """Return the seconds until the start that follows `earlier_starts` others.

        Each of them occupies its slot for `run_time` seconds.
        """
        earlier = max(0, math.ceil(earlier_starts - ROUNDING_TOLERANCE))
        rounds, index = divmod(earlier, len(self.free_in))
        return self.free_in[index] + rounds * run_time


def estimate_wait(
    queue: FairQueue,
    rank: Rank,
    workspace: WorkspaceName,
    ranks: tuple[Rank, ...],
    throughput: Throughput,
    slots: SlotForecast,
    queued_cost: int = 0,
) -> float:
    """Return the seconds until one more attempt of a workspace would start.

    If `queued_cost` is given, the estimate is for the last attempt in the workspace's
    queue, whose cost it is.
    """
    if not throughput.seconds_per_token or not slots.free_in:
        return 0.0
    earlier_starts = count_earlier_starts(
        queue, rank, workspace, ranks, throughput, queued_cost
    )
    run_time = throughput.estimate_run_time(throughput.mean_cost)
    return slots.estimate_start(earlier_starts, run_time)


def count_earlier_starts(
    queue: FairQueue,
    rank: Rank,
    workspace: WorkspaceName,
    ranks: tuple[Rank, ...],
    throughput: Throughput,
    queued_cost: int = 0,
) -> float:
    """Return the number of attempts that would start before one more of a workspace.

    That attempt starts when its rank's share of the endpoint reaches it, or sooner if
    the rank has credit left after the attempts ahead of it in the rank.
    """
    waiting = {item.name for item, _ in queue.list_next_tickets(ranks)}
    share = throughput.compute_available_share(rank, ranks, waiting)
    rank_queue = queue.ranks.get(rank.name)
    cost_ahead = sum_cost_ahead(rank_queue, workspace) - queued_cost
    ahead_in_rank = cost_ahead / throughput.mean_cost
    if not share:
        return ahead_in_rank
    by_share = (ahead_in_rank + 1.0) / share - 1.0
    if not rank.guaranteed_share:
        return by_share
    credit = rank_queue.credit / throughput.mean_cost if rank_queue else 0.0
    by_credit = max(0.0, ahead_in_rank - credit) / (
        rank.guaranteed_share * SHARE_FACTOR
    )
    return min(by_share, by_credit)


def sum_cost_ahead(queue: RankQueue | None, workspace: WorkspaceName) -> int:
    """Return the cost that starts before one more attempt of a workspace.

    Fair queueing limits each other workspace to the cost that this workspace has
    queued, or to its own next ticket if that costs more.
    """
    if queue is None:
        return 0
    own = queue.workspaces.get(workspace)
    own_cost = own.sum_cost() if own else 0
    others = sum(
        min(other.sum_cost(), max(own_cost, other.tickets[0].cost))
        for name, other in queue.list_backlogged()
        if name != workspace
    )
    return own_cost + others


def is_closed(level: AdmissionLevel, request: Request) -> bool:
    """Return whether an endpoint at this level refuses a request."""
    return any(
        closed.rank == request.rank and closed.workspace in ("", request.workspace)
        for closed in level.closed
    )
