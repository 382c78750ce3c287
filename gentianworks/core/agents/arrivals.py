"""Arrivals: queues or refuses the attempts that arrive at an agent."""

from __future__ import annotations

from gentianworks.core.admission.fairness import Ticket
from gentianworks.core.admission.levels import (
    PREEMPTION_DELAY,
    forecast_conservative_wait,
    forecast_wait,
    list_longest_queues,
)
from gentianworks.core.admission.wait_estimates import MIN_RETRY_AFTER
from gentianworks.core.agents.attempts import AgentState, Attempt
from gentianworks.core.agents.scheduler import (
    cannot_finish_in_time,
    describe_overload,
    refuse_as_leaving,
    refuse_attempt,
    refuse_late,
    refuse_unfinishable,
    send_refusal,
    start_queued,
)
from gentianworks.core.configuration.distribution import request_newer_configuration
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SetTimer
from gentianworks.core.events.dispatch import Dispatch
from gentianworks.core.events.engines import PreemptionDue, QueueTimedOut
from gentianworks.core.ledger.tombstones import check_dispatch
from gentianworks.core.load.agent_bounds import get_rank, is_model
from gentianworks.core.membership.heartbeats import send_skipped_heartbeat
from gentianworks.core.quarantine.enforcement import check_quarantine
from gentianworks.core.reducer import reduce
from gentianworks.core.state import State
from gentianworks.core.types import Rank, WorkspaceName

MAX_QUEUED_ATTEMPTS = 1024
MAX_QUEUED_BYTES = 32 * 1024 * 1024
MIN_WAIT_FRACTION = 0.25  # of the queue timeout
LATE_CHECK_INTERVAL = 0.1  # seconds
MAX_LATE_CHECK_QUEUES = 4  # of each rank


@reduce.register
def _(event: Dispatch, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None or event.attempt in agent.attempts:
        return []
    requests = request_newer_configuration(event.revision, state)
    stale = check_dispatch(event, state.incarnation, agent.claims.guard)
    if stale is not None:
        return [*requests, *send_refusal(event.attempt, stale, agent, state, now)]
    if state.is_leaving or agent.is_leaving:
        return [*requests, *refuse_as_leaving(event.attempt, agent, state, now)]
    problem = check_quarantine(event.request, state, now)
    if problem is not None:
        return [*requests, *refuse_attempt(event.attempt, problem, agent, state, now)]
    rank = get_rank(event, state)
    max_wait = _compute_max_wait(event, rank, agent, state)
    wait = forecast_conservative_wait(rank, event.request.workspace, agent, state, now)
    if wait > max_wait:
        problem = describe_overload(agent, max(MIN_RETRY_AFTER, wait - max_wait))
        return [*requests, *refuse_attempt(event.attempt, problem, agent, state, now)]
    evictions = _evict_less_urgent(event, rank, agent, state, now)
    if evictions is None:
        problem = describe_overload(agent, MIN_RETRY_AFTER)
        return [*requests, *refuse_attempt(event.attempt, problem, agent, state, now)]
    attempt = _queue_attempt(event, agent, state, now)
    attempt.start_deadline = now + max_wait
    attempt.estimated_wait = wait
    timers = [
        SetTimer(now + max_wait, QueueTimedOut(event.attempt)),
        SetTimer(now + PREEMPTION_DELAY, PreemptionDue(event.attempt)),
    ]
    started = start_queued(agent, state, now)
    late = _refuse_overdue(agent, state, now)
    skipped = send_skipped_heartbeat(state, now)
    return [*timers, *requests, *evictions, *started, *late, *skipped]


def _compute_max_wait(
    event: Dispatch, rank: Rank, agent: AgentState, state: State
) -> float:
    """Return the seconds that an attempt may wait in the queue.

    Time spent at other endpoints is deducted, unless the answer has already begun. An
    attempt on a model engine also has to start early enough to end before the caller's
    deadline; otherwise it would only use up its rank's share.
    """
    if event.resume_after >= 0:
        return event.deadline
    waited = max(0.0, event.request.timeout - event.deadline)
    minimum = rank.queue_timeout * MIN_WAIT_FRACTION
    max_wait = max(minimum, rank.queue_timeout - waited)
    if not is_model(agent, state):
        return max_wait
    slack = event.deadline - agent.throughput.estimate_run_time(event.request.cost)
    return max(0.0, min(max_wait, slack))


def _evict_less_urgent(
    event: Dispatch, rank: Rank, agent: AgentState, state: State, now: float
) -> list[Effect] | None:
    """Evict less urgent attempts while the queue is full.

    Return None if it stays full because nothing less urgent is queued.
    """
    queue, ranks = agent.queue, state.configuration.ranks
    size = len(event.request.body)
    effects: list[Effect] = []
    while (
        len(queue) >= MAX_QUEUED_ATTEMPTS or queue.sum_size() + size > MAX_QUEUED_BYTES
    ):
        evicted = queue.find_evictable(ranks)
        if evicted is None:
            return None
        if get_rank(agent.attempts[evicted.attempt].dispatch, state).priority <= (
            rank.priority
        ):
            return None
        queue.remove(evicted.attempt)
        problem = describe_overload(agent, MIN_RETRY_AFTER)
        effects += refuse_attempt(evicted.attempt, problem, agent, state, now)
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


def _refuse_overdue(agent: AgentState, state: State, now: float) -> list[Effect]:
    """Refuse queued attempts that can no longer start in time, the last ones first.

    Attempts that arrived later may have been scheduled ahead of them.
    """
    if now - agent.late_checked_at < LATE_CHECK_INTERVAL:
        return []
    agent.late_checked_at = now
    effects: list[Effect] = []
    for attempt in agent.list_queued():
        if cannot_finish_in_time(attempt, agent, state, now):
            effects += refuse_unfinishable(attempt, agent, state, now)
    for rank in state.configuration.ranks:
        for workspace in list_longest_queues(rank, agent)[:MAX_LATE_CHECK_QUEUES]:
            while (
                late := _find_overdue(rank, workspace, agent, state, now)
            ) is not None:
                effects += refuse_late(late, agent, state, now)
    return effects


def _find_overdue(
    rank: Rank, workspace: WorkspaceName, agent: AgentState, state: State, now: float
) -> Attempt | None:
    queue = agent.queue.ranks[rank.name].workspaces.get(workspace)
    if queue is None or not queue.tickets or queue.tickets[-1].was_suspended:
        return None
    ticket = queue.tickets[-1]
    wait = forecast_wait(rank, workspace, agent, state, now, ticket.cost)
    attempt = agent.attempts[ticket.attempt]
    return attempt if now + wait > attempt.start_deadline else None
