"""Tenants: latency of a small workspace while large workspaces flood its rank.

The baseline is the same traffic from a single workspace.
"""

from __future__ import annotations

from attrs import evolve

from benchmarks.tools.floods import (
    ENDPOINT_COUNT,
    RANKS,
    SETTLE_TIME,
    SLOTS_PER_ENGINE,
    TOKEN_INTERVAL,
    compute_max_lag,
    declare_ranks,
    run_flows,
)
from benchmarks.tools.result import Result
from benchmarks.tools.traffic import Flow, Outcome, compute_percentile

QUICK_SECONDS = 8.0
LONG_SECONDS = 60.0
CALLER_TIMEOUT = 6.0  # seconds
RANK = "drafts"
TOKENS_PER_ANSWER = 8
REQUESTS_PER_SECOND = (
    ENDPOINT_COUNT * SLOTS_PER_ENGINE / (TOKENS_PER_ANSWER * TOKEN_INTERVAL)
)
SMALL_RATE = 0.18 * REQUESTS_PER_SECOND
FLOOD_MULTIPLE = 2.5
MAX_RATIO = 1.5
LATENCY_PERCENTILE = 95


def build_flows(seconds: float) -> list[Flow]:
    """Return the flows of the small workspace, alone and then during two floods."""
    alone_until = SETTLE_TIME + seconds
    small = Flow(
        "small-alone", RANK, "small", SMALL_RATE, 0.0, alone_until, TOKENS_PER_ANSWER
    )
    begin, end = alone_until + SETTLE_TIME, alone_until + SETTLE_TIME + seconds
    during_flood = Flow(
        "small-beside", RANK, "small", SMALL_RATE, begin, end, TOKENS_PER_ANSWER
    )
    rate = FLOOD_MULTIPLE * REQUESTS_PER_SECOND
    floods = [
        Flow(name, RANK, name, rate, alone_until, end, TOKENS_PER_ANSWER)
        for name in ("large-1", "large-2")
    ]
    return [small, during_flood, *floods]


def compute_latency(outcomes: list[Outcome], flow: str) -> float:
    """Return the latency percentile of a flow in seconds.

    A request without a complete answer counts with the caller's full timeout.
    """
    return compute_percentile(
        [
            outcome.latency if outcome.is_complete else CALLER_TIMEOUT
            for outcome in outcomes
            if outcome.flow.name == flow and outcome.sent_at > SETTLE_TIME
        ],
        LATENCY_PERCENTILE,
    )


def measure(flows: list[Flow]) -> tuple[float, dict[str, object]]:
    """Return the ratio of the small workspace's latencies, and details of the run."""
    outcomes = run_flows(flows, declare_ranks(RANKS), CALLER_TIMEOUT)
    alone = compute_latency(outcomes, "small-alone")
    during_flood = compute_latency(outcomes, "small-beside")
    served: dict[str, object] = {
        flow.name: [
            sum(item.is_complete for item in outcomes if item.flow.name == flow.name),
            sum(item.flow.name == flow.name for item in outcomes),
        ]
        for flow in flows
    }
    latencies = {
        "run_time": TOKENS_PER_ANSWER * TOKEN_INTERVAL,
        "p95_alone": round(alone, 3),
        "p95_beside": round(during_flood, 3),
    }
    return round(during_flood / alone, 3), {
        **latencies,
        "served_of_sent": served,
        "sender_lag": compute_max_lag(outcomes),
    }


def main(quick: bool) -> None:
    """Measure the fair queue, then the same traffic from a single workspace."""
    flows = build_flows(QUICK_SECONDS if quick else LONG_SECONDS)
    figure, details = measure(flows)
    merged_flows = [evolve(flow, workspace="all") for flow in flows]
    baseline, baseline_details = measure(merged_flows)
    Result(
        benchmark="tenants",
        figure=figure,
        unit="p95 of a small workspace beside two floods, of its p95 alone",
        bound=MAX_RATIO,
        holds=figure <= MAX_RATIO,
        baselines={"one_workspace": baseline},
        details={"fair": details, "one_workspace": baseline_details},
    ).print()
