"""Victims: the running work that may be pre-empted for work that waits."""

from __future__ import annotations

from gentianworks.core.agents.attempts import AgentState, Attempt
from gentianworks.core.types import Rank, RankName, WorkspaceName


def list_uncovered(
    rank: RankName, agent: AgentState, ranks: tuple[Rank, ...]
) -> list[Attempt]:
    """Return what gives way to the most urgent rank.

    It is the work of the least urgent rank that its guaranteed share does not cover.
    """
    ordered = sorted(ranks, key=lambda item: item.priority)
    if len(ordered) < 2 or rank != ordered[0].name:
        return []
    return [
        item
        for item in agent.list_running()
        if item.ticket.rank == ordered[-1].name and not item.is_covered
    ]


def list_largest_holder(
    rank: RankName, workspace: WorkspaceName, weight: float, agent: AgentState
) -> list[Attempt]:
    """Return what gives way to a workspace that holds few slots of its rank.

    It is the work of the workspace that holds the most for its weight, if it still
    holds no less than the other after one slot has passed between them.
    """
    held: dict[WorkspaceName, list[Attempt]] = {workspace: []}
    for item in agent.list_running():
        if item.ticket.rank == rank:
            held.setdefault(item.ticket.workspace, []).append(item)
    own = len(held.pop(workspace))
    largest = max(held.values(), key=_weigh, default=[])
    if not largest:
        return []
    remaining = (len(largest) - 1) / largest[0].ticket.weight
    return largest if remaining >= (own + 1) / weight else []


def _weigh(attempts: list[Attempt]) -> float:
    return len(attempts) / attempts[0].ticket.weight
