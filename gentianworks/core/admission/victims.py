"""Victims: running attempts that may be pre-empted for a waiting one."""

from __future__ import annotations

from gentianworks.core.agents.attempts import AgentState, Attempt
from gentianworks.core.types import Rank, RankName, WorkspaceName


def list_uncovered(
    rank: RankName, agent: AgentState, ranks: tuple[Rank, ...]
) -> list[Attempt]:
    """Return the running attempts that may be pre-empted for the most urgent rank.

    These are the attempts of the least urgent rank that its guaranteed share does not
    cover; there are none for any other rank.
    """
    ordered = sorted(ranks, key=lambda item: item.priority)
    if len(ordered) < 2 or rank != ordered[0].name:
        return []
    return [
        item
        for item in agent.list_running()
        if item.ticket.rank == ordered[-1].name and not item.is_covered
    ]


def list_largest_workspace_attempts(
    rank: RankName, workspace: WorkspaceName, weight: float, agent: AgentState
) -> list[Attempt]:
    """Return the attempts of the workspace with the most slots of a rank.

    Slots are divided by the workspace's weight. The result is empty unless that
    workspace would still have at least as many as `workspace` after giving it one.
    """
    running: dict[WorkspaceName, list[Attempt]] = {workspace: []}
    for item in agent.list_running():
        if item.ticket.rank == rank:
            running.setdefault(item.ticket.workspace, []).append(item)
    own = len(running.pop(workspace))
    largest = max(running.values(), key=_count_weighted_slots, default=[])
    if not largest:
        return []
    remaining = (len(largest) - 1) / largest[0].ticket.weight
    return largest if remaining >= (own + 1) / weight else []


def _count_weighted_slots(attempts: list[Attempt]) -> float:
    return len(attempts) / attempts[0].ticket.weight
