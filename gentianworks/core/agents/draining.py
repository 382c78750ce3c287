"""Draining: an agent's graceful stop, and an endpoint that the platform takes away."""

from __future__ import annotations

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.agents.serving import refuse_as_leaving
from gentianworks.core.cache.moves import reset_moves, start_moves
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent
from gentianworks.core.state import State


def start_drain(state: State, now: float) -> list[Effect]:
    """Hand back what has not begun; what has begun is finished.

    Meanwhile the engine's cached prompts move to where their chats go from now on.
    """
    agent = state.agent
    if agent is None:
        return []
    waiting = [
        name
        for name, attempt in agent.attempts.items()
        if agent.is_waiting(name) and attempt.calls == 0
    ]
    effects: list[Effect] = [LogEvent("GW4004", (("endpoint", agent.endpoint),))]
    for attempt in waiting:
        agent.withdraw(attempt)
        effects += refuse_as_leaving(attempt, agent, state, now)
    return [*effects, *start_moves(agent, state, now)]


def follow_platform(agent: AgentState, state: State, now: float) -> list[Effect]:
    """Take over what the platform says of the endpoint: live or leaving."""
    heard = state.fleet.states.get(agent.endpoint)
    was_leaving = agent.is_leaving
    agent.is_leaving = heard is not None and heard.is_leaving
    if state.is_leaving or agent.is_leaving == was_leaving:
        return []
    if agent.is_leaving:
        return start_drain(state, now)
    reset_moves(agent)
    return []
