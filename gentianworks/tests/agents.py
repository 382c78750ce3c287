"""Agents: the state of an agent and what its tests let happen to it."""

from __future__ import annotations

from typing import TypeVar

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.dispatch import SendFrame
from gentianworks.core.events.dispatch import AttemptRefused, Dispatch
from gentianworks.core.events.engines import (
    EnginePiece,
    EngineStarted,
)
from gentianworks.core.handlers import reduce
from gentianworks.core.state import State
from gentianworks.core.types import (
    Configuration,
    Endpoint,
    Header,
    Load,
    Node,
    Rank,
    Request,
    Role,
    Service,
    ServiceKind,
    ServiceLoad,
    Workspace,
)

T = TypeVar("T")

NOW = 100.0
CAPACITY = 4
EVENT_STREAM = (Header("content-type", "text/event-stream"),)
RANKS = (Rank("submissions", 0, 0.3, 2.0), Rank("questions", 1, 0.25, 2.0))


def build_state(kind: ServiceKind = ServiceKind.MODEL) -> State:
    """Return the state of an agent whose fleet is busy."""
    service = Service("chat", kind, load_multiple=1.5, load_floor=2)
    busy = Load(requests=CAPACITY, cost=1000, endpoints=1)
    state = State(
        node=Node("agent", Role.AGENT, "r", "a", "", ""),
        agent=AgentState("e1"),
        configuration=Configuration(
            revision=1,
            ranks=RANKS,
            workspaces=(Workspace("w"),),
            services=(service,),
            endpoints=(Endpoint("e1", "chat", "a", "", "", CAPACITY),),
        ),
        checks_invariants=True,
    )
    state.fleet.loads = {"chat": ServiceLoad("chat", busy)}
    state.fleet.loads_as_of = NOW
    return state


def find(kind: type[T], effects: list[Effect]) -> list[T]:
    """Return the effects of one kind."""
    return [effect for effect in effects if isinstance(effect, kind)]


def find_refusals(effects: list[Effect]) -> list[AttemptRefused]:
    """Return the refusals that effects send."""
    frames = [frame.message for frame in find(SendFrame, effects)]
    return [frame for frame in frames if isinstance(frame, AttemptRefused)]


def dispatch(
    state: State,
    attempt: str,
    rank: str = "questions",
    is_repeatable: bool = True,
    workspace: str = "w",
    now: float = NOW,
) -> list[Effect]:
    """Bring an attempt to the agent."""
    request = Request(
        service="chat",
        workspace=workspace,
        rank=rank,
        method="POST",
        path="/",
        headers=(),
        body=b"",
        cost=10,
        is_repeatable=is_repeatable,
    )
    event = Dispatch("router", attempt, "e1", 0, request.timeout, 1, request)
    return reduce(event, state, now)


def stream(state: State, attempt: str, event: int, call: int = 1) -> list[Effect]:
    """Let the engine begin an answer, as the call `call` of its attempt."""
    reduce(EngineStarted(attempt, 200, EVENT_STREAM, call), state, NOW)
    return reduce(EnginePiece(attempt, b"x", event, event, call), state, NOW)


def fill(state: State) -> None:
    """Begin streams of casual work in every slot."""
    for number in range(CAPACITY):
        dispatch(state, f"q{number}")
        stream(state, f"q{number}", 0)
