"""Tests of an agent's index of cached prompts, and of their moves before a drain."""

from __future__ import annotations

from attrs import evolve

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.cache.state import (
    MAX_IMPORTS,
    MAX_MISSES,
    MAX_MOVES,
    MAX_PROMPTS,
    CachedPrompt,
    CachedPrompts,
    CacheState,
    MoveFailure,
    build_cached_prompt,
)
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.cache import CancelMove, ImportPrompt, MovePrompt
from gentianworks.core.effects.lifecycle import LogEvent, StopProcess
from gentianworks.core.events.cache import (
    MoveFailed,
    MovesExpired,
    PromptImportEnded,
    PromptMoved,
    PromptOffer,
)
from gentianworks.core.events.dispatch import Dispatch
from gentianworks.core.events.engines import (
    EngineAnswerEnded,
    EngineAnswerStarted,
    LoadsReceived,
)
from gentianworks.core.events.lifecycle import ShutdownRequested, StopCheckDue
from gentianworks.core.events.membership import EndpointState
from gentianworks.core.handlers import reduce
from gentianworks.core.routing.placement import PlacementKey, order_endpoints
from gentianworks.core.state import State
from gentianworks.core.types import Role
from gentianworks.tests.fixtures import NOW, REQUEST, build_state

OWN = "chat-1"


def build_prompt(chat: str, size: int = 10) -> CachedPrompt:
    return CachedPrompt(PlacementKey(chat), f"digest of {chat}", size)


def build_agent(chats: int = 0, move_time: float = 10.0) -> State:
    """Return the state of an agent whose engine has served some chats."""
    state = build_state(Role.AGENT)
    agent = AgentState(OWN, cache=CacheState(move_time=move_time))
    state.agent = agent
    for number in range(chats):
        request = evolve(REQUEST, chat=f"c{number}", prompt=f"p{number}")
        agent.cache.prompts.add(build_cached_prompt(request))
    return state


def get_cache(state: State) -> CacheState:
    assert state.agent is not None
    return state.agent.cache


def find_moves(effects: list[Effect]) -> list[MovePrompt]:
    return [item for item in effects if isinstance(item, MovePrompt)]


def leave(state: State) -> list[MovePrompt]:
    return find_moves(reduce(ShutdownRequested(), state, NOW))


def offer(state: State, prompt: CachedPrompt, transfer: str = "t") -> list[Effect]:
    return reduce(PromptOffer("agent-2", transfer, OWN, prompt), state, NOW)


class TestPrompts:
    def test_keep_the_longest_prompt_of_each_chat(self) -> None:
        prompts = CachedPrompts()
        longest = build_prompt("c1", 20)
        for prompt in (build_prompt("c1"), longest, build_prompt("c1")):
            prompts.add(prompt)
        assert prompts.pop_newest() == longest
        assert prompts.pop_newest() is None

    def test_evict_the_oldest_chat_beyond_the_limit(self) -> None:
        prompts = CachedPrompts()
        for number in range(MAX_PROMPTS + 1):
            prompts.add(build_prompt(f"c{number}"))
        assert len(prompts.prompts) == MAX_PROMPTS
        assert not prompts.covers(build_prompt("c0"))

    def test_are_added_once_the_engine_answers(self) -> None:
        state = build_agent()
        for attempt, status in (("a1", 200), ("a2", 500)):
            request = evolve(REQUEST, chat=attempt, prompt=f"prompt {attempt}")
            event = Dispatch("router", attempt, OWN, 0, 60.0, 1, request)
            reduce(event, state, NOW)
            reduce(EngineAnswerStarted(attempt, status, ()), state, NOW)
            reduce(EngineAnswerEnded(attempt), state, NOW)
        cached = get_cache(state).prompts.prompts.values()
        assert [item.digest for item in cached] == ["prompt a1"]


class TestMoves:
    def test_go_to_the_new_home_of_each_chat(self) -> None:
        state = build_agent(chats=MAX_MOVES)
        others = state.configuration.endpoints[1:]
        moves = leave(state)
        assert len(moves) == MAX_MOVES
        for move in moves:
            number = move.prompt.digest.removeprefix("p")
            request = evolve(REQUEST, chat=f"c{number}")
            assert move.endpoint == order_endpoints(request, "x", others)[0].name

    def test_start_with_the_newest_and_continue_as_earlier_ones_end(self) -> None:
        state = build_agent(chats=MAX_MOVES + 1)
        first, *_ = leave(state)
        assert first.prompt.digest == f"p{MAX_MOVES}"
        effects = reduce(PromptMoved(first.transfer, 100), state, NOW)
        assert [item.prompt.digest for item in find_moves(effects)] == ["p0"]

    def test_skip_endpoints_that_leave_or_failed(self) -> None:
        state = build_agent(chats=20)
        gone = EndpointState("chat-2", 1, True, is_leaving=True)
        state.fleet.states["chat-2"] = gone
        moves = leave(state)
        lost = moves[0].endpoint
        for _ in range(20):
            failed = MoveFailed(moves[0].transfer, MoveFailure.LOST)
            effects = reduce(failed, state, NOW)
            moves = [*moves[1:], *find_moves(effects)]
            if not moves:
                break
            assert all(item.endpoint != lost for item in find_moves(effects))
        assert not get_cache(state).moves

    def test_end_after_consecutive_prompts_that_the_engine_evicted(self) -> None:
        state = build_agent(chats=100)
        moves = leave(state)
        tried = 0
        while moves:
            failed = MoveFailed(moves.pop(0).transfer, MoveFailure.NOT_HELD)
            moves += find_moves(reduce(failed, state, NOW))
            tried += 1
        assert tried < MAX_MISSES + MAX_MOVES

    def test_delay_a_stop_for_no_longer_than_the_move_time(self) -> None:
        state = build_agent(chats=100)
        moves = leave(state)
        assert StopProcess() not in reduce(StopCheckDue(), state, NOW + 9.9)
        effects = reduce(MovesExpired(), state, NOW + 10.0)
        for move in moves:
            assert CancelMove(move.transfer) in effects
        (log,) = (item for item in effects if isinstance(item, LogEvent))
        assert log.code == "GW4005"
        assert StopProcess() in reduce(StopCheckDue(), state, NOW + 10.0)
        assert reduce(PromptMoved(moves[0].transfer, 1), state, NOW + 10.0) == []

    def test_start_once_each_time_the_endpoint_leaves(self) -> None:
        state = build_agent(chats=100)
        for is_leaving, moves in ((True, MAX_MOVES), (True, 0), (False, 0)):
            reported = EndpointState(OWN, 1, True, is_leaving)
            state.fleet.states[OWN] = reported
            assert len(find_moves(reduce(LoadsReceived(), state, NOW))) == moves
        get_cache(state).moves.clear()
        assert len(leave(state)) == MAX_MOVES
        state.fleet.states[OWN] = EndpointState(OWN, 1, True, is_leaving=True)
        get_cache(state).moves.clear()
        assert find_moves(reduce(LoadsReceived(), state, NOW + 20.0)) == []

    def test_do_not_start_if_the_move_time_is_zero(self) -> None:
        assert leave(build_agent(chats=10, move_time=0.0)) == []


class TestOffers:
    def test_are_accepted_and_added_once_the_engine_has_imported_them(self) -> None:
        state = build_agent()
        prompt = build_prompt("c1")
        assert offer(state, prompt) == [ImportPrompt("t")]
        reduce(PromptImportEnded("t", is_imported=True), state, NOW)
        assert get_cache(state).prompts.covers(prompt)
        assert not get_cache(state).imports

    def test_that_failed_are_removed(self) -> None:
        state = build_agent()
        prompt = build_prompt("c1")
        offer(state, prompt)
        reduce(PromptImportEnded("t", is_imported=False), state, NOW)
        assert not get_cache(state).prompts.covers(prompt)
        assert not get_cache(state).imports

    def test_of_prompts_that_are_cached_already_are_refused(self) -> None:
        state = build_agent()
        get_cache(state).prompts.add(build_prompt("c1", 20))
        assert offer(state, build_prompt("c1", 10)) == []
        assert offer(state, build_prompt("c1", 30)) == [ImportPrompt("t")]

    def test_are_limited_at_a_time(self) -> None:
        state = build_agent()
        for number in range(MAX_IMPORTS):
            assert offer(state, build_prompt(f"c{number}"), f"t{number}")
        assert offer(state, build_prompt("more"), "t") == []

    def test_are_refused_while_leaving(self) -> None:
        state = build_agent()
        leave(state)
        assert offer(state, build_prompt("c1")) == []
