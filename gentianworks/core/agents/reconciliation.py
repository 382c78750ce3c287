"""Reconciliation: finds the calls that an engine still runs when its agent starts.

They occupy slots of the engine although no attempt of the new process made them.
"""

from __future__ import annotations

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.agents.scheduler import start_queued
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

RECONCILIATION_INTERVAL = 0.1  # seconds


def start_reconciliation(state: State, now: float) -> list[Effect]:
    """Read the engine's running calls; no attempt starts until they are known."""
    agent = state.agent
    if agent is None:
        return []
    agent.is_reconciled = False
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
    unknown = frozenset(event.running) - agent.list_call_names()
    if agent.is_reconciled:
        agent.unknown_calls &= unknown
        return _continue_reconciliation(agent, state, now)
    logs = [
        LogEvent("GW4003", (("call", name),))
        for name in sorted(unknown - agent.unknown_calls)
    ]
    agent.unknown_calls = unknown
    agent.is_reconciled = now - event.age >= agent.started_at
    return [*logs, *_continue_reconciliation(agent, state, now)]


def _continue_reconciliation(
    agent: AgentState, state: State, now: float
) -> list[Effect]:
    """Cancel the unknown calls; those of plain services run to their end."""
    effects: list[Effect] = []
    if is_model(agent, state):
        effects += [CancelOrphanedCall(name) for name in sorted(agent.unknown_calls)]
    if agent.unknown_calls or not agent.is_reconciled:
        effects.append(SetTimer(now + RECONCILIATION_INTERVAL, EngineLoadPollDue()))
    return [*effects, *start_queued(agent, state, now)]


@reduce.register
def _(event: EngineLoadUnavailable, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None:
        return []
    if event.may_be_running:
        return [SetTimer(now + RECONCILIATION_INTERVAL, EngineLoadPollDue())]
    agent.is_reconciled = True
    agent.unknown_calls = frozenset()
    return start_queued(agent, state, now)
