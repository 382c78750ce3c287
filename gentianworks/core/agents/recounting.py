"""Recounting: what an engine still runs when its agent starts."""

from __future__ import annotations

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.agents.serving import start_queued
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.engines import CancelOrphanedCall, FetchEngineLoad
from gentianworks.core.effects.lifecycle import LogEvent, SetTimer
from gentianworks.core.events.engines import (
    EngineLoadFetched,
    EngineLoadPollDue,
    EngineLoadUnavailable,
)
from gentianworks.core.load.agent_bounds import is_model
from gentianworks.core.reducer import reduce
from gentianworks.core.state import State

RECOUNT_INTERVAL = 0.1  # seconds


def start_recount(state: State, now: float) -> list[Effect]:
    """Admit nothing until it is known what the engine runs already."""
    agent = state.agent
    if agent is None:
        return []
    agent.is_counted = False
    agent.started_at = now
    return [FetchEngineLoad()]


@reduce.register
def _(event: EngineLoadPollDue, state: State, now: float) -> list[Effect]:
    return [FetchEngineLoad()]


@reduce.register
def _(event: EngineLoadFetched, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None:
        return []
    unknown = frozenset(event.running) - agent.list_calls()
    if agent.is_counted:
        agent.unknown_calls &= unknown
        return _continue_recount(agent, state, now)
    logs = [
        LogEvent("GW4003", (("call", name),))
        for name in sorted(unknown - agent.unknown_calls)
    ]
    agent.unknown_calls = unknown
    agent.is_counted = now - event.age >= agent.started_at
    return [*logs, *_continue_recount(agent, state, now)]


def _continue_recount(agent: AgentState, state: State, now: float) -> list[Effect]:
    """Cancel calls that nobody waits for; those of plain services are left to end."""
    effects: list[Effect] = []
    if is_model(agent, state):
        effects += [CancelOrphanedCall(name) for name in sorted(agent.unknown_calls)]
    if agent.unknown_calls or not agent.is_counted:
        effects.append(SetTimer(now + RECOUNT_INTERVAL, EngineLoadPollDue()))
    return [*effects, *start_queued(agent, state, now)]


@reduce.register
def _(event: EngineLoadUnavailable, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None:
        return []
    if event.may_be_running:
        return [SetTimer(now + RECOUNT_INTERVAL, EngineLoadPollDue())]
    agent.is_counted = True
    agent.unknown_calls = frozenset()
    return start_queued(agent, state, now)
