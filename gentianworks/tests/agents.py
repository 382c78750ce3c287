"""Agents: helpers that build an agent's state and send events to it."""

from __future__ import annotations

from typing import TypeVar

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.dispatch import SendFrame
from gentianworks.core.events.dispatch import AttemptRefused, Dispatch
from gentianworks.core.events.engines import (
    EngineAnswerPiece,
    EngineAnswerStarted,
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


def build_agent_state(kind: ServiceKind = ServiceKind.MODEL) -> State:
    """Return the state of an agent in a fleet with a high mean load."""
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


def filter_effects(kind: type[T], effects: list[Effect]) -> list[T]:
    """Return the effects of one type."""
    return [effect for effect in effects if isinstance(effect, kind)]


def list_refusals(effects: list[Effect]) -> list[AttemptRefused]:
    """Return the refusals that the effects send."""
    messages = [frame.message for frame in filter_effects(SendFrame, effects)]
    return [message for message in messages if isinstance(message, AttemptRefused)]


def dispatch_attempt(
    state: State,
    attempt: str,
    rank: str = "questions",
    is_repeatable: bool = True,
    workspace: str = "w",
    now: float = NOW,
) -> list[Effect]:
    """Dispatch an attempt to the agent."""
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


def stream_event(state: State, attempt: str, event: int, call: int = 1) -> list[Effect]:
    """Let the engine start an answer to one call and send one event of it."""
    reduce(EngineAnswerStarted(attempt, 200, EVENT_STREAM, call), state, NOW)
    return reduce(EngineAnswerPiece(attempt, b"x", event, event, call), state, NOW)


def fill_slots(state: State) -> None:
    """Start a low-priority stream in every slot."""
    for number in range(CAPACITY):
        dispatch_attempt(state, f"q{number}")
        stream_event(state, f"q{number}", 0)
