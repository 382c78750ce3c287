"""Cache moves: a leaving endpoint moves its cached prompts to the chats' new homes."""

from __future__ import annotations

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.cache.state import (
    MAX_MOVES,
    CachedPrompt,
    MoveCounts,
    MoveFailure,
)
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.cache import CancelMove, MovePrompt
from gentianworks.core.effects.lifecycle import LogEvent, SetTimer
from gentianworks.core.events.cache import (
    MoveFailed,
    MovesExpired,
    PromptMoved,
)
from gentianworks.core.load.agent_bounds import is_model
from gentianworks.core.reducer import reduce
from gentianworks.core.routing.placement import order_by_home
from gentianworks.core.state import State
from gentianworks.core.types import Endpoint

MOVE_TIMEOUT = 2.0  # seconds without progress


def start_moves(agent: AgentState, state: State, now: float) -> list[Effect]:
    """Start moving the engine's prompts to the new homes of their chats.

    Moves start only once each time the endpoint leaves.
    """
    cache = agent.cache
    has_prompts = bool(cache.prompts.prompts) and is_model(agent, state)
    if cache.moves_until or not cache.move_time or not has_prompts:
        return []
    cache.moves_until = now + cache.move_time
    timer = SetTimer(cache.moves_until, MovesExpired())
    return [timer, *_continue_moves(agent, state, now)]


def _continue_moves(agent: AgentState, state: State, now: float) -> list[Effect]:
    cache = agent.cache
    homes = _list_homes(agent, state)
    effects: list[Effect] = []
    while homes and cache.may_start_move(now):
        prompt = cache.prompts.pop_newest()
        if prompt is None:
            break
        home = order_by_home(prompt.key, homes)[0]
        effects.append(_start_move(prompt, home, agent, state))
    if not cache.moves:
        effects.append(_log_moves(agent))
    return effects


def _list_homes(agent: AgentState, state: State) -> list[Endpoint]:
    """Return the endpoints that can serve this endpoint's chats once it has left."""
    own = state.configuration.find_endpoint(agent.endpoint)
    pool = state.configuration.list_endpoints(own.service) if own else ()
    others = [item for item in pool if item.name != agent.endpoint]
    return [
        item
        for item in state.fleet.select_endpoints(others)
        if item.name not in agent.cache.failed_endpoints
    ]


def _start_move(
    prompt: CachedPrompt, home: Endpoint, agent: AgentState, state: State
) -> Effect:
    cache = agent.cache
    transfer = state.create_id()
    cache.moves[transfer] = home.name
    return MovePrompt(
        transfer=transfer,
        prompt=prompt,
        endpoint=home.name,
        http_address=home.http_address,
        timeout=MOVE_TIMEOUT,
        rate=cache.move_rate / MAX_MOVES,
    )


def _log_moves(agent: AgentState) -> Effect:
    cache = agent.cache
    counts = cache.counts
    details = (
        ("moved", str(counts.moved)),
        ("bytes", str(counts.moved_bytes)),
        *((item.value, str(counts.failures[item])) for item in MoveFailure),
        ("left", str(len(cache.prompts.prompts))),
    )
    return LogEvent("GW4005", details)


def reset_moves(agent: AgentState) -> None:
    """Reset the moves, so that they start again when the endpoint next leaves."""
    cache = agent.cache
    cache.moves_until = 0.0
    cache.consecutive_misses = 0
    cache.failed_endpoints.clear()
    cache.counts = MoveCounts()


@reduce.register
def _(event: PromptMoved, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None or event.transfer not in agent.cache.moves:
        return []
    cache = agent.cache
    del cache.moves[event.transfer]
    cache.consecutive_misses = 0
    cache.counts.moved += 1
    cache.counts.moved_bytes += event.size
    return _continue_moves(agent, state, now)


@reduce.register
def _(event: MoveFailed, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None or event.transfer not in agent.cache.moves:
        return []
    cache = agent.cache
    endpoint = cache.moves.pop(event.transfer)
    cache.counts.failures[event.failure] += 1
    if event.failure is MoveFailure.NOT_HELD:
        cache.consecutive_misses += 1
    if event.failure is MoveFailure.LOST:
        cache.failed_endpoints.add(endpoint)
    return _continue_moves(agent, state, now)


@reduce.register
def _(event: MovesExpired, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None or not agent.cache.moves or now < agent.cache.moves_until:
        return []
    cache = agent.cache
    cancels: list[Effect] = [CancelMove(transfer) for transfer in cache.moves]
    cache.counts.failures[MoveFailure.EXPIRED] += len(cache.moves)
    cache.moves.clear()
    return [*cancels, _log_moves(agent)]
