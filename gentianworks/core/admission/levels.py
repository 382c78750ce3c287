"""Admission levels: expected waits at an agent's endpoint, and what it refuses."""

from __future__ import annotations

from gentianworks.core.admission.victims import (
    list_largest_workspace_attempts,
    list_uncovered,
)
from gentianworks.core.admission.wait_estimates import (
    MIN_RETRY_AFTER,
    QueueKey,
    SlotForecast,
    estimate_wait,
)
from gentianworks.core.agents.attempts import AgentState, Attempt
from gentianworks.core.load.agent_bounds import count_slots, is_model
from gentianworks.core.state import State
from gentianworks.core.types import (
    AdmissionLevel,
    ClosedQueue,
    Rank,
    RankWait,
    WorkspaceName,
)

LEVEL_REFRESH_INTERVAL = 0.1  # seconds
MAX_CLOSED_QUEUES = 16
MAX_WAITS = 16
PREEMPTION_DELAY = 0.25  # seconds that an attempt waits before it pre-empts another


def get_level(agent: AgentState, state: State, now: float) -> AdmissionLevel:
    """Return the endpoint's admission level, recomputed once it is out of date."""
    if now - agent.level_computed_at >= LEVEL_REFRESH_INTERVAL:
        agent.level_computed_at = now
        agent.level = compute_level(agent, state, now)
    return agent.level


def compute_level(agent: AgentState, state: State, now: float) -> AdmissionLevel:
    """Compute the waits at an endpoint and the queues that exceed their timeout."""
    closed: list[ClosedQueue] = []
    waits: list[RankWait] = []
    max_excess = 0.0
    for rank in state.configuration.ranks:
        for name in ("", *list_longest_queues(rank, agent)):
            wait = forecast_conservative_wait(rank, name, agent, state, now)
            if wait > 0.0:
                waits.append(RankWait(rank.name, wait, name))
            if wait <= rank.queue_timeout:
                continue
            max_excess = max(max_excess, wait - rank.queue_timeout)
            closed.append(ClosedQueue(rank.name, name))
            if not name:
                break
    retry_after = max(MIN_RETRY_AFTER, max_excess) if closed else 0.0
    waits.sort(key=lambda item: item.workspace != "")
    return AdmissionLevel(
        closed=tuple(closed[:MAX_CLOSED_QUEUES]),
        retry_after=retry_after,
        waits=tuple(waits[:MAX_WAITS]),
    )


def forecast_conservative_wait(
    rank: Rank, workspace: WorkspaceName, agent: AgentState, state: State, now: float
) -> float:
    """Return the seconds within which one more attempt would very likely start.

    The forecast isn't raised for a workspace with an empty queue, because its first
    attempt starts ahead of the queues of other workspaces.
    """
    wait = forecast_wait(rank, workspace, agent, state, now)
    if not agent.queue.has_queued(rank.name, workspace):
        return wait
    return wait * agent.throughput.get_wait_ratio(QueueKey(rank.name, workspace))


def list_longest_queues(rank: Rank, agent: AgentState) -> list[WorkspaceName]:
    """Return the workspaces of a rank with the most queued cost, largest first."""
    rank_queue = agent.queue.ranks.get(rank.name)
    backlogged = rank_queue.list_backlogged() if rank_queue else []
    longest = sorted(backlogged, key=lambda item: item[1].sum_cost(), reverse=True)
    return [name for name, _ in longest[:MAX_CLOSED_QUEUES]]


def forecast_wait(
    rank: Rank,
    workspace: WorkspaceName,
    agent: AgentState,
    state: State,
    now: float,
    queued_cost: int = 0,
) -> float:
    """Return the seconds until one more attempt of a workspace would start.

    If `queued_cost` is given, the estimate is for the last attempt in the workspace's
    queue, whose cost it is.
    """
    return estimate_wait(
        agent.queue,
        rank,
        workspace,
        state.configuration.ranks,
        agent.throughput,
        _forecast_slots(rank, workspace, agent, state, now),
        queued_cost,
    )


def _forecast_slots(
    rank: Rank, workspace: WorkspaceName, agent: AgentState, state: State, now: float
) -> SlotForecast:
    victims = {item.id for item in _list_victims(rank, workspace, agent, state, now)}
    remaining = [
        min(_estimate_remaining_time(item, agent, now), PREEMPTION_DELAY)
        if item.id in victims
        else _estimate_remaining_time(item, agent, now)
        for item in agent.list_running()
    ]
    run_time = agent.throughput.estimate_run_time(agent.throughput.mean_cost)
    remaining += [run_time] * len(agent.unknown_calls)
    slots = count_slots(agent, state, now)
    free = [0.0] * (slots - len(remaining))
    excess = max(0, len(remaining) - slots)
    return SlotForecast((*free, *sorted(remaining)[excess:]))


def _estimate_remaining_time(attempt: Attempt, agent: AgentState, now: float) -> float:
    run_time = agent.throughput.estimate_run_time(attempt.dispatch.request.cost)
    ends_at = attempt.called_at + run_time * attempt.remaining_fraction_at_call
    return max(0.0, ends_at - now)


def _list_victims(
    rank: Rank, workspace: WorkspaceName, agent: AgentState, state: State, now: float
) -> list[Attempt]:
    if not is_model(agent, state) or not agent.can_resume:
        return []
    ranks = state.configuration.ranks
    uncovered = [
        item for item in list_uncovered(rank.name, agent, ranks) if item.can_suspend
    ]
    waiting = {item.name for item, _ in agent.queue.list_next_tickets(ranks)}
    share = agent.throughput.compute_available_share(rank, ranks, waiting)
    if uncovered or share <= rank.guaranteed_share:
        return uncovered
    declared = state.configuration.find_workspace(workspace)
    weight = declared.weight if declared else 1.0
    largest = list_largest_workspace_attempts(rank.name, workspace, weight, agent)
    suspendable = [item for item in largest if item.can_suspend]
    return sorted(suspendable, key=lambda item: item.called_at)[-1:]
