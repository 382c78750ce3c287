"""Pre-emption: running work that is suspended for urgent work or for the bound."""

from __future__ import annotations

from attrs import evolve

from gentianworks.core.admission.levels import PREEMPTION_DELAY
from gentianworks.core.admission.victims import list_largest_holder, list_uncovered
from gentianworks.core.agents.attempts import AgentState, Attempt
from gentianworks.core.agents.draining import follow_platform
from gentianworks.core.agents.serving import start_queued
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.engines import CancelCall
from gentianworks.core.effects.lifecycle import LogEvent, SetTimer
from gentianworks.core.events.engines import LoadsDue, LoadsHeard, PreemptionDue
from gentianworks.core.load.bounds import find_bound, find_rank, is_model
from gentianworks.core.load.load import MEAN_TIMEOUT
from gentianworks.core.reducer import reduce
from gentianworks.core.state import State


@reduce.register
def _(event: PreemptionDue, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None or event.attempt not in agent.queue:
        return []
    attempt = agent.attempts[event.attempt]
    cover_least_urgent(attempt, agent, state)
    victim = choose_victim(attempt, agent, state)
    if victim is None:
        return []
    log = LogEvent("GW4001", (("attempt", victim.id), ("for", attempt.id)))
    again = SetTimer(now + PREEMPTION_DELAY, event)
    suspension = suspend_attempt(victim, agent)
    return [log, *suspension, *start_queued(agent, state, now), again]


def cover_least_urgent(waiting: Attempt, agent: AgentState, state: State) -> None:
    """Let the credit of the least urgent rank pay for what it runs, the oldest first.

    While it has credit, what is suspended of it would be the next to start.
    """
    uncovered = list_uncovered(waiting.ticket.rank, agent, state.configuration.ranks)
    for attempt in sorted(uncovered, key=lambda item: (item.called_at, item.id)):
        if not agent.queue.pay(attempt.ticket.rank, attempt.remaining_cost):
            return
        attempt.is_covered = True


def choose_victim(waiting: Attempt, agent: AgentState, state: State) -> Attempt | None:
    """Return the running attempt that gives way to one that waits, or None."""
    ranks = state.configuration.ranks
    ticket = waiting.ticket
    uncovered = list_uncovered(ticket.rank, agent, ranks)
    largest: list[Attempt] = []
    if agent.queue.peek(ranks) == ticket:
        largest = list_largest_holder(
            ticket.rank, ticket.workspace, ticket.weight, agent
        )
    return _choose_latest(uncovered or largest, agent, state)


def _choose_latest(
    attempts: list[Attempt], agent: AgentState, state: State
) -> Attempt | None:
    if not is_model(agent, state) or not agent.can_resume:
        return None
    able = [attempt for attempt in attempts if attempt.can_suspend]
    return max(able, key=lambda item: (item.called_at, item.id), default=None)


def suspend_attempt(attempt: Attempt, agent: AgentState) -> list[Effect]:
    """Stop a running attempt at the end of an event and queue it to go on later."""
    del agent.running[attempt.id]
    cost = attempt.remaining_cost
    attempt.ticket = evolve(attempt.ticket, cost=cost, has_begun=True)
    agent.queue.suspend(attempt.ticket, attempt.is_covered)
    return [CancelCall(attempt.id)]


@reduce.register
def _(event: LoadsHeard, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None:
        return []
    agent.note_sum()
    effects = [
        *follow_platform(agent, state, now),
        *shed_excess(agent, state, now),
    ]
    return [*effects, *start_queued(agent, state, now)]


@reduce.register
def _(event: LoadsDue, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None or now - state.fleet.loads_as_of < MEAN_TIMEOUT:
        return []
    return [*shed_excess(agent, state, now), *start_queued(agent, state, now)]


def shed_excess(agent: AgentState, state: State, now: float) -> list[Effect]:
    """Suspend running work until the load is within a bound that has fallen."""
    effects: list[Effect] = []
    while find_bound(agent, state, now).is_exceeded(agent.measure_load()):
        victim = _choose_excess(agent, state)
        if victim is None:
            break
        effects.append(LogEvent("GW4002", (("attempt", victim.id),)))
        effects += suspend_attempt(victim, agent)
    return effects


def _choose_excess(agent: AgentState, state: State) -> Attempt | None:
    running = agent.list_running()
    ranks = [find_rank(item.dispatch, state).priority for item in running]
    for priority in sorted(set(ranks), reverse=True):
        attempts = [
            item for item, rank in zip(running, ranks, strict=True) if rank == priority
        ]
        victim = _choose_latest(attempts, agent, state)
        if victim is not None:
            return victim
    return None
