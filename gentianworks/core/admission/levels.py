"""Levels: when work would start at an agent's endpoint, and what it refuses now."""

from __future__ import annotations

from gentianworks.core.admission.admission import (
    MIN_RETRY_AFTER,
    QueueName,
    Slots,
    estimate_wait,
)
from gentianworks.core.admission.victims import list_largest_holder, list_uncovered
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
PREEMPTION_DELAY = 0.25  # seconds


def measure_level(agent: AgentState, state: State, now: float) -> AdmissionLevel:
    """Return the work that the endpoint refuses at present."""
    if now - agent.level_at >= LEVEL_REFRESH_INTERVAL:
        agent.level_at = now
        agent.level = find_level(agent, state, now)
    return agent.level


def find_level(agent: AgentState, state: State, now: float) -> AdmissionLevel:
    """Return the work that an endpoint would refuse now."""
    closed: list[ClosedQueue] = []
    waits: list[RankWait] = []
    longest = 0.0
    for rank in state.configuration.ranks:
        for name in ("", *list_longest(rank, agent)):
            wait = forecast_most(rank, name, agent, state, now)
            if wait > 0.0:
                waits.append(RankWait(rank.name, wait, name))
            if wait <= rank.queue_timeout:
                continue
            longest = max(longest, wait - rank.queue_timeout)
            closed.append(ClosedQueue(rank.name, name))
            if not name:
                break
    retry_after = max(MIN_RETRY_AFTER, longest) if closed else 0.0
    waits.sort(key=lambda item: item.workspace != "")
    return AdmissionLevel(
        closed=tuple(closed[:MAX_CLOSED_QUEUES]),
        retry_after=retry_after,
        waits=tuple(waits[:MAX_WAITS]),
    )


def forecast_most(
    rank: Rank, workspace: WorkspaceName, agent: AgentState, state: State, now: float
) -> float:
    """Return the seconds within which one more attempt would most likely start.

    One of a workspace that has nothing queued goes ahead of others' queues.
    """
    wait = forecast_wait(rank, workspace, agent, state, now)
    if not agent.queue.has_waiting(rank.name, workspace):
        return wait
    return wait * agent.throughput.find_wait_ratio(QueueName(rank.name, workspace))


def list_longest(rank: Rank, agent: AgentState) -> list[WorkspaceName]:
    """Return the workspaces of a rank with the most work waiting."""
    found = agent.queue.ranks.get(rank.name)
    waiting = found.list_waiting() if found else []
    longest = sorted(waiting, key=lambda item: item[1].sum_cost(), reverse=True)
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

    With `queued_cost`, it is the last in the workspace's queue that costs so much.
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
) -> Slots:
    yielding = {item.id for item in _list_yielding(rank, workspace, agent, state, now)}
    left = [
        min(_find_left(item, agent, now), PREEMPTION_DELAY)
        if item.id in yielding
        else _find_left(item, agent, now)
        for item in agent.list_running()
    ]
    run = agent.throughput.estimate_run(agent.throughput.cost)
    left += [run] * len(agent.unknown_calls)
    slots = count_slots(agent, state, now)
    free = [0.0] * (slots - len(left))
    excess = max(0, len(left) - slots)
    return Slots((*free, *sorted(left)[excess:]))


def _find_left(attempt: Attempt, agent: AgentState, now: float) -> float:
    """Return the seconds for which a running attempt will still hold its slot."""
    run = agent.throughput.estimate_run(attempt.dispatch.request.cost)
    ends_at = attempt.called_at + run * attempt.remaining_at_call
    return max(0.0, ends_at - now)


def _list_yielding(
    rank: Rank, workspace: WorkspaceName, agent: AgentState, state: State, now: float
) -> list[Attempt]:
    """Return the running work that would be suspended for one more attempt."""
    if not is_model(agent, state) or not agent.can_resume:
        return []
    ranks = state.configuration.ranks
    uncovered = [
        item for item in list_uncovered(rank.name, agent, ranks) if item.can_suspend
    ]
    waiting = {item.name for item, _ in agent.queue.list_waiting(ranks)}
    share = agent.throughput.find_share(rank, ranks, waiting)
    if uncovered or share <= rank.guaranteed_share:
        return uncovered
    found = state.configuration.find_workspace(workspace)
    weight = found.weight if found else 1.0
    largest = list_largest_holder(rank.name, workspace, weight, agent)
    able = [item for item in largest if item.can_suspend]
    return sorted(able, key=lambda item: item.called_at)[-1:]
