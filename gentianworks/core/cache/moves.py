"""Cache moves: a leaving endpoint's cached prompts, moved to their chats' new homes."""

from __future__ import annotations

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.cache.cache import (
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

MOVE_TIMEOUT = 2.0  # seconds


def start_moves(agent: AgentState, state: State, now: float) -> list[Effect]:
    """Begin to move the engine's prompts to where their chats will look for them.

    It is done once each time that the endpoint leaves.
    """
    cache = agent.cache
    has_prompts = bool(cache.prompts.prompts) and is_model(agent, state)
    if cache.until or not cache.move_time or not has_prompts:
        return []
    cache.until = now + cache.move_time
    timer = SetTimer(cache.until, MovesExpired())
    return [timer, *_continue_moves(agent, state, now)]


def _continue_moves(agent: AgentState, state: State, now: float) -> list[Effect]:
    cache = agent.cache
    homes = _list_homes(agent, state)
    effects: list[Effect] = []
    while homes and cache.may_start_move(now):
        prompt = cache.prompts.take_newest()
        if prompt is None:
            break
        home = order_by_home(prompt.key, homes)[0]
        effects.append(_start_move(prompt, home, agent, state))
    if not cache.moves:
        effects.append(_log_moves(agent))
    return effects


def _list_homes(agent: AgentState, state: State) -> list[Endpoint]:
    """Return the endpoints that a chat of this one can be sent to from now on."""
    own = state.configuration.find_endpoint(agent.endpoint)
    pool = state.configuration.list_endpoints(own.service) if own else ()
    others = [item for item in pool if item.name != agent.endpoint]
    return [
        item
        for item in state.fleet.select_endpoints(others)
        if item.name not in agent.cache.passed_over
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
        ("bytes", str(counts.size)),
        *((item.value, str(counts.failures[item])) for item in MoveFailure),
        ("left", str(len(cache.prompts.prompts))),
    )
    return LogEvent("GW4005", details)


def forget_moves(agent: AgentState) -> None:
    """Let the prompts be moved anew when the endpoint leaves the next time."""
    cache = agent.cache
    cache.until = 0.0
    cache.misses = 0
    cache.passed_over.clear()
    cache.counts = MoveCounts()


@reduce.register
def _(event: PromptMoved, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None or event.transfer not in agent.cache.moves:
        return []
    cache = agent.cache
    del cache.moves[event.transfer]
    cache.misses = 0
    cache.counts.moved += 1
    cache.counts.size += event.size
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
        cache.misses += 1
    if event.failure is MoveFailure.LOST:
        cache.passed_over.add(endpoint)
    return _continue_moves(agent, state, now)


@reduce.register
def _(event: MovesExpired, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None or not agent.cache.moves or now < agent.cache.until:
        return []
    cache = agent.cache
    cancels: list[Effect] = [CancelMove(transfer) for transfer in cache.moves]
    cache.counts.failures[MoveFailure.EXPIRED] += len(cache.moves)
    cache.moves.clear()
    return [*cancels, _log_moves(agent)]
