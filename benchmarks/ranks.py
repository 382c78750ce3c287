"""Ranks: worth served in time, compared with arrival order and strict priority.

The baselines are the same fleet with other declarations: a single rank for all work
(first come, first served), and ranks without guaranteed shares. Both have queue
timeouts too long to refuse a request early.
"""

from __future__ import annotations

from attrs import evolve, frozen

from benchmarks.tools.floods import (
    RANKS,
    RankPlan,
    build_flows,
    build_phases,
    compute_max_lag,
    compute_shares,
    declare_ranks,
    is_in_time,
    keeps_guaranteed_shares,
    run_flows,
)
from benchmarks.tools.result import Result
from benchmarks.tools.traffic import Flow, Outcome

QUICK_SECONDS = 5.0
LONG_SECONDS = 30.0
CALLER_TIMEOUT = 4.0  # seconds
NO_TIMEOUT = 60.0  # seconds; longer than any caller waits
QUEUE_TIMEOUTS = {rank.name: rank.queue_timeout for rank in RANKS}
WORTH = {rank.name: rank.worth for rank in RANKS}
ONE_RANK = RankPlan("all", 0, 0.0, NO_TIMEOUT, 1.0, 1.0)
MIN_RATIO_TO_STRICT = 1.0 - sum(rank.guaranteed_share for rank in RANKS[1:]) * 1.1


@frozen
class RankPolicy:
    """Rank declarations under which the same requests are served."""

    name: str
    ranks: tuple[RankPlan, ...]
    has_one_rank: bool = False


POLICIES = (
    RankPolicy("gentianworks", RANKS),
    RankPolicy("first_come", (ONE_RANK,), has_one_rank=True),
    RankPolicy(
        "strict",
        tuple(
            evolve(rank, guaranteed_share=0.0, queue_timeout=NO_TIMEOUT)
            for rank in RANKS
        ),
    ),
)


def run_policy(policy: RankPolicy, seconds: float) -> list[Outcome]:
    """Run both floods under a policy; return the outcomes with their original ranks."""
    flows = build_flows(seconds)
    ranks = {flow.name: flow.rank for flow in flows}
    if policy.has_one_rank:
        flows = [evolve(flow, rank="all", workspace="all") for flow in flows]
    outcomes = run_flows(flows, declare_ranks(policy.ranks), CALLER_TIMEOUT)
    return [evolve(item, flow=_restore_rank(item.flow, ranks)) for item in outcomes]


def _restore_rank(flow: Flow, ranks: dict[str, str]) -> Flow:
    return evolve(flow, rank=ranks[flow.name])


def count_in_time(outcomes: list[Outcome]) -> dict[str, int]:
    """Return the number of requests served in time for each rank."""
    served_ranks = [
        item.flow.rank for item in outcomes if is_in_time(item, QUEUE_TIMEOUTS)
    ]
    return {rank.name: served_ranks.count(rank.name) for rank in RANKS}


def sum_worth(counts: dict[str, int]) -> float:
    """Return the total worth of the requests served in time."""
    return sum(WORTH[rank] * count for rank, count in counts.items())


def main(quick: bool) -> None:
    """Measure the same floods under each policy."""
    seconds = QUICK_SECONDS if quick else LONG_SECONDS
    counts, shares, lags = {}, {}, {}
    keeps_shares = True
    for policy in POLICIES:
        outcomes = run_policy(policy, seconds)
        lags[policy.name] = compute_max_lag(outcomes)
        counts[policy.name] = count_in_time(outcomes)
        shares[policy.name] = {
            phase.name: compute_shares(outcomes, phase)
            for phase in build_phases(seconds)
        }
        if policy.name == "gentianworks":
            keeps_shares = all(
                keeps_guaranteed_shares(
                    outcomes, shares[policy.name][phase.name], phase, CALLER_TIMEOUT
                )
                for phase in build_phases(seconds)
            )
    worth = {name: sum_worth(item) for name, item in counts.items()}
    figure = worth["gentianworks"] / max(worth["strict"], 1.0)
    Result(
        benchmark="ranks",
        figure=round(figure, 3),
        unit="worth served in time, of what strict priority serves",
        bound=round(MIN_RATIO_TO_STRICT, 3),
        holds=keeps_shares
        and figure >= MIN_RATIO_TO_STRICT
        and worth["gentianworks"] > worth["first_come"],
        baselines=worth,
        details={
            "in_time": counts,
            "shares_in_floods": shares,
            "keeps_guaranteed_shares": keeps_shares,
            "sender_lag": lags,
        },
    ).print()
