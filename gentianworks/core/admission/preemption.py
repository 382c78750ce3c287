"""Pre-emption: suspends running attempts for waiting ones or for the load bound."""

from __future__ import annotations

from attrs import evolve

from gentianworks.core.admission.levels import PREEMPTION_DELAY
from gentianworks.core.admission.victims import (
    list_largest_workspace_attempts,
    list_uncovered,
)
from gentianworks.core.agents.attempts import AgentState, Attempt
from gentianworks.core.agents.drain import update_leaving_state
from gentianworks.core.agents.scheduler import start_queued
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.engines import CancelEngineCall
from gentianworks.core.effects.lifecycle import LogEvent, SetTimer
from gentianworks.core.events.engines import LoadsOverdue, LoadsReceived, PreemptionDue
from gentianworks.core.load.agent_bounds import compute_agent_bound, get_rank, is_model
from gentianworks.core.load.bound import MEAN_TIMEOUT
from gentianworks.core.reducer import reduce
from gentianworks.core.state import State


@reduce.register
def _(event: PreemptionDue, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None or event.attempt not in agent.queue:
        return []
    attempt = agent.attempts[event.attempt]
    cover_least_urgent_rank(attempt, agent, state)
    victim = choose_victim(attempt, agent, state)
    if victim is None:
        return []
    log = LogEvent("GW4001", (("attempt", victim.id), ("for", attempt.id)))
    retry = SetTimer(now + PREEMPTION_DELAY, event)
    suspension = suspend_attempt(victim, agent)
    return [log, *suspension, *start_queued(agent, state, now), retry]


def cover_least_urgent_rank(waiting: Attempt, agent: AgentState, state: State) -> None:
    """Cover running attempts of the least urgent rank by its credit, oldest first.

    While the rank has credit, an attempt of it that is suspended would be the next to
    start again.
    """
    uncovered = list_uncovered(waiting.ticket.rank, agent, state.configuration.ranks)
    for attempt in sorted(uncovered, key=lambda item: (item.called_at, item.id)):
        if not agent.queue.try_charge(attempt.ticket.rank, attempt.remaining_cost):
            return
        attempt.is_covered = True


def choose_victim(waiting: Attempt, agent: AgentState, state: State) -> Attempt | None:
    """Return the running attempt to pre-empt for a waiting one, or None."""
    ranks = state.configuration.ranks
    ticket = waiting.ticket
    uncovered = list_uncovered(ticket.rank, agent, ranks)
    largest: list[Attempt] = []
    if agent.queue.peek(ranks) == ticket:
        largest = list_largest_workspace_attempts(
            ticket.rank, ticket.workspace, ticket.weight, agent
        )
    return _choose_latest(uncovered or largest, agent, state)


def _choose_latest(
    attempts: list[Attempt], agent: AgentState, state: State
) -> Attempt | None:
    if not is_model(agent, state) or not agent.can_resume:
        return None
    suspendable = [attempt for attempt in attempts if attempt.can_suspend]
    return max(suspendable, key=lambda item: (item.called_at, item.id), default=None)


def suspend_attempt(attempt: Attempt, agent: AgentState) -> list[Effect]:
    """Cancel the engine's call of an attempt and queue the attempt to resume later.

    The attempt's answer has to be at an event boundary.
    """
    del agent.running[attempt.id]
    cost = attempt.remaining_cost
    attempt.ticket = evolve(attempt.ticket, cost=cost, was_suspended=True)
    agent.queue.requeue_suspended(attempt.ticket, attempt.is_covered)
    return [CancelEngineCall(attempt.id)]


@reduce.register
def _(event: LoadsReceived, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None:
        return []
    agent.record_sum()
    effects = [
        *update_leaving_state(agent, state, now),
        *shed_excess(agent, state, now),
    ]
    return [*effects, *start_queued(agent, state, now)]


@reduce.register
def _(event: LoadsOverdue, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None or now - state.fleet.loads_as_of < MEAN_TIMEOUT:
        return []
    return [*shed_excess(agent, state, now), *start_queued(agent, state, now)]


def shed_excess(agent: AgentState, state: State, now: float) -> list[Effect]:
    """Suspend running attempts until the load is within the load bound."""
    effects: list[Effect] = []
    while compute_agent_bound(agent, state, now).is_exceeded(agent.compute_load()):
        victim = _choose_least_urgent(agent, state)
        if victim is None:
            break
        effects.append(LogEvent("GW4002", (("attempt", victim.id),)))
        effects += suspend_attempt(victim, agent)
    return effects


def _choose_least_urgent(agent: AgentState, state: State) -> Attempt | None:
    running = agent.list_running()
    ranks = [get_rank(item.dispatch, state).priority for item in running]
    for priority in sorted(set(ranks), reverse=True):
        attempts = [
            item for item, rank in zip(running, ranks, strict=True) if rank == priority
        ]
        victim = _choose_latest(attempts, agent, state)
        if victim is not None:
            return victim
    return None
