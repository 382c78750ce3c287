"""Arrivals: an agent's handler for new attempts, which it queues or refuses."""

from __future__ import annotations

from gentianworks.core.admission.admission import MIN_RETRY_AFTER
from gentianworks.core.admission.fairness import Ticket
from gentianworks.core.admission.levels import (
    PREEMPTION_DELAY,
    forecast_most,
    forecast_wait,
    list_longest,
)
from gentianworks.core.agents.attempts import AgentState, Attempt
from gentianworks.core.agents.serving import (
    answer_refusal,
    describe_overload,
    give_up,
    is_too_late,
    refuse_as_leaving,
    refuse_attempt,
    refuse_late,
    start_queued,
)
from gentianworks.core.configuration.distribution import request_newer_configuration
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SetTimer
from gentianworks.core.events.dispatch import Dispatch
from gentianworks.core.events.engines import PreemptionDue, QueueTimedOut
from gentianworks.core.ledger.tombstones import check_dispatch
from gentianworks.core.load.bounds import find_rank, is_model
from gentianworks.core.membership.heartbeats import send_skipped
from gentianworks.core.quarantine.enforcement import check_quarantine
from gentianworks.core.reducer import reduce
from gentianworks.core.state import State
from gentianworks.core.types import Rank, WorkspaceName

MAX_QUEUED = 1024
MAX_QUEUED_BYTES = 32 * 1024 * 1024
MIN_PATIENCE = 0.25  # fraction of the queue timeout
LATE_CHECK_INTERVAL = 0.1  # seconds
LATE_QUEUES = 4  # of each rank


@reduce.register
def _(event: Dispatch, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None or event.attempt in agent.attempts:
        return []
    wants = request_newer_configuration(event.revision, state)
    stale = check_dispatch(event, state.incarnation, agent.claims.guard)
    if stale is not None:
        return [*wants, *answer_refusal(event.attempt, stale, agent, state, now)]
    if state.is_leaving or agent.is_leaving:
        return [*wants, *refuse_as_leaving(event.attempt, agent, state, now)]
    problem = check_quarantine(event.request, state, now)
    if problem is not None:
        return [*wants, *refuse_attempt(event.attempt, problem, agent, state, now)]
    rank = find_rank(event, state)
    patience = _find_patience(event, rank, agent, state)
    wait = forecast_most(rank, event.request.workspace, agent, state, now)
    if wait > patience:
        problem = describe_overload(agent, max(MIN_RETRY_AFTER, wait - patience))
        return [*wants, *refuse_attempt(event.attempt, problem, agent, state, now)]
    evictions = _make_room(event, rank, agent, state, now)
    if evictions is None:
        problem = describe_overload(agent, MIN_RETRY_AFTER)
        return [*wants, *refuse_attempt(event.attempt, problem, agent, state, now)]
    attempt = _queue_attempt(event, agent, state, now)
    attempt.start_by = now + patience
    attempt.estimated_wait = wait
    timers = [
        SetTimer(now + patience, QueueTimedOut(event.attempt)),
        SetTimer(now + PREEMPTION_DELAY, PreemptionDue(event.attempt)),
    ]
    started = start_queued(agent, state, now)
    late = _refuse_late(agent, state, now)
    skipped = send_skipped(state, now)
    return [*timers, *wants, *evictions, *started, *late, *skipped]


def _find_patience(
    event: Dispatch, rank: Rank, agent: AgentState, state: State
) -> float:
    """Return the seconds for which an attempt may wait.

    What it has waited at other endpoints counts, but for an answer that has begun.
    Work of a model engine that starts too late to end before the caller's deadline
    would only use up its rank's share.
    """
    if event.resume_after >= 0:
        return event.deadline
    waited = max(0.0, event.request.timeout - event.deadline)
    least = rank.queue_timeout * MIN_PATIENCE
    patience = max(least, rank.queue_timeout - waited)
    if not is_model(agent, state):
        return patience
    spare = event.deadline - agent.throughput.estimate_run(event.request.cost)
    return max(0.0, min(patience, spare))


def _make_room(
    event: Dispatch, rank: Rank, agent: AgentState, state: State, now: float
) -> list[Effect] | None:
    """Give up less urgent work where the queue is full, or return None."""
    queue, ranks = agent.queue, state.configuration.ranks
    size = len(event.request.body)
    effects: list[Effect] = []
    while len(queue) >= MAX_QUEUED or queue.sum_size() + size > MAX_QUEUED_BYTES:
        last = queue.find_last(ranks)
        if last is None:
            return None
        if find_rank(agent.attempts[last.attempt].dispatch, state).priority <= (
            rank.priority
        ):
            return None
        queue.remove(last.attempt)
        problem = describe_overload(agent, MIN_RETRY_AFTER)
        effects += refuse_attempt(last.attempt, problem, agent, state, now)
    return effects


def _queue_attempt(
    event: Dispatch, agent: AgentState, state: State, now: float
) -> Attempt:
    request = event.request
    workspace = state.configuration.find_workspace(request.workspace)
    ticket = Ticket(
        attempt=event.attempt,
        rank=request.rank,
        workspace=request.workspace,
        cost=request.cost,
        weight=workspace.weight if workspace else 1.0,
        size=len(request.body),
    )
    attempt = agent.attempts[event.attempt] = Attempt(
        dispatch=event,
        ticket=ticket,
        arrived_at=now,
        deadline=now + event.deadline,
        last_event=event.resume_after,
    )
    agent.queue.add(ticket)
    return attempt


def _refuse_late(agent: AgentState, state: State, now: float) -> list[Effect]:
    """Refuse queued work that can't start in time any more, the last in its queue.

    Work that goes ahead of it may have come since.
    """
    if now - agent.late_checked_at < LATE_CHECK_INTERVAL:
        return []
    agent.late_checked_at = now
    effects: list[Effect] = []
    for attempt in agent.list_queued():
        if is_too_late(attempt, agent, state, now):
            effects += give_up(attempt, agent, state, now)
    for rank in state.configuration.ranks:
        for workspace in list_longest(rank, agent)[:LATE_QUEUES]:
            while (late := _find_late(rank, workspace, agent, state, now)) is not None:
                effects += refuse_late(late, agent, state, now)
    return effects


def _find_late(
    rank: Rank, workspace: WorkspaceName, agent: AgentState, state: State, now: float
) -> Attempt | None:
    queue = agent.queue.ranks[rank.name].workspaces.get(workspace)
    if queue is None or not queue.tickets or queue.tickets[-1].has_begun:
        return None
    ticket = queue.tickets[-1]
    wait = forecast_wait(rank, workspace, agent, state, now, ticket.cost)
    attempt = agent.attempts[ticket.attempt]
    return attempt if now + wait > attempt.start_by else None
