"""Cache offers: handlers that import prompts offered by leaving endpoints."""

from __future__ import annotations

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.cache.state import MAX_IMPORTS
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.cache import ImportPrompt
from gentianworks.core.events.cache import PromptImportEnded, PromptOffer
from gentianworks.core.load.agent_bounds import is_model
from gentianworks.core.reducer import reduce
from gentianworks.core.state import State


@reduce.register
def _(event: PromptOffer, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None or not _is_acceptable(event, agent, state):
        return []
    agent.cache.imports[event.transfer] = event.prompt
    return [ImportPrompt(event.transfer)]


def _is_acceptable(event: PromptOffer, agent: AgentState, state: State) -> bool:
    cache = agent.cache
    is_staying = not (state.is_leaving or agent.is_leaving)
    has_room = len(cache.imports) < MAX_IMPORTS
    is_addressed_here = event.endpoint == agent.endpoint and is_model(agent, state)
    is_new = event.transfer not in cache.imports and not cache.prompts.covers(
        event.prompt
    )
    return is_staying and has_room and is_addressed_here and is_new


@reduce.register
def _(event: PromptImportEnded, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None:
        return []
    prompt = agent.cache.imports.pop(event.transfer, None)
    if prompt is not None and event.is_imported:
        agent.cache.prompts.add(prompt)
    return []
