"""Drain: an agent's graceful shutdown, and the removal of its endpoint."""

from __future__ import annotations

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.agents.scheduler import refuse_as_leaving
from gentianworks.core.cache.moves import reset_moves, start_moves
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent
from gentianworks.core.state import State


def start_drain(state: State, now: float) -> list[Effect]:
    """Refuse the attempts that have not started; the others run to their end.

    Meanwhile the engine's cached prompts are moved to the endpoints that will serve
    their chats.
    """
    agent = state.agent
    if agent is None:
        return []
    waiting = [
        name
        for name, attempt in agent.attempts.items()
        if agent.is_waiting(name) and attempt.call_count == 0
    ]
    effects: list[Effect] = [LogEvent("GW4004", (("endpoint", agent.endpoint),))]
    for attempt in waiting:
        agent.withdraw(attempt)
        effects += refuse_as_leaving(attempt, agent, state, now)
    return [*effects, *start_moves(agent, state, now)]


def update_leaving_state(agent: AgentState, state: State, now: float) -> list[Effect]:
    """Adopt the endpoint's state as reported by the platform: live or leaving."""
    reported = state.fleet.states.get(agent.endpoint)
    was_leaving = agent.is_leaving
    agent.is_leaving = reported is not None and reported.is_leaving
    if state.is_leaving or agent.is_leaving == was_leaving:
        return []
    if agent.is_leaving:
        return start_drain(state, now)
    reset_moves(agent)
    return []
