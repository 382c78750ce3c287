"""Fixtures: states, requests and messages shared by the tests of the reducer."""

from __future__ import annotations

from typing import Any

from attrs import evolve

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.dispatch import SendDispatch
from gentianworks.core.events.callers import RequestArrived
from gentianworks.core.events.dispatch import (
    AnswerEnd,
    AnswerHead,
    AnswerPiece,
    AttemptRefused,
)
from gentianworks.core.handlers import reduce
from gentianworks.core.state import State
from gentianworks.core.types import (
    AdmissionLevel,
    Configuration,
    Endpoint,
    Load,
    Node,
    Problem,
    Rank,
    Request,
    Role,
    Service,
    ServiceKind,
    Workspace,
)

NOW = 1000.0
REQUEST = Request(
    service="chat",
    workspace="parish",
    rank="drafts",
    method="POST",
    path="/v1/chat/completions",
    headers=(),
    body=b"{}",
    chat="c1",
)


def build_configuration(endpoints: int = 5) -> Configuration:
    """Return a configuration with one model service."""
    return Configuration(
        revision=1,
        ranks=(Rank("drafts", 1, 0.2, 10.0), Rank("submissions", 0, 0.3, 10.0)),
        workspaces=(Workspace("parish"), Workspace("show")),
        services=(Service("chat", ServiceKind.MODEL, default_rank="drafts"),),
        endpoints=tuple(
            Endpoint(f"chat-{n}", "chat", "a", f"127.0.0.1:{n}", f"tcp://127.0.0.1:{n}")
            for n in range(1, endpoints + 1)
        ),
    )


def build_state(role: Role = Role.ROUTER, endpoints: int = 5) -> State:
    """Return the state of a process with a configuration in force."""
    node = Node(f"{role.value}-1", role, "r", "a", "tcp://127.0.0.1:9", "127.0.0.1:8")
    return State(node=node, configuration=build_configuration(endpoints))


def build_agent_at(peer_address: str) -> State:
    """Return the state of the agent of chat-1 with a peer address."""
    state = build_state(Role.AGENT)
    state.node = evolve(state.node, peer_address=peer_address)
    state.control_addresses = ("control",)
    state.agent = AgentState("chat-1")
    return state


def send_request(
    state: State, now: float = NOW, exchange: str = "x1", **changes: Any
) -> list[Effect]:
    """Reduce the arrival of a request and return the effects."""
    request = evolve(REQUEST, **changes)
    return reduce(RequestArrived(exchange, request), state, now)


def get_dispatch(effects: list[Effect]) -> SendDispatch:
    """Return the only dispatch among effects."""
    (dispatch,) = (item for item in effects if isinstance(item, SendDispatch))
    return dispatch


def build_head(
    attempt: str, load: Load | None = None, level: AdmissionLevel | None = None
) -> AnswerHead:
    """Return the head of a response to an attempt."""
    admission = level or AdmissionLevel()
    return AnswerHead("agent", attempt, 200, (), 1, load or Load(), 1, admission)


def build_piece(attempt: str, sequence: int, event: int = -1) -> AnswerPiece:
    """Return a piece of a response to an attempt that contains one event."""
    data = f"event {event};".encode()
    return AnswerPiece("agent", attempt, sequence, data, event, event)


def build_end(attempt: str, pieces: int) -> AnswerEnd:
    """Return the end mark of a response to an attempt."""
    return AnswerEnd("agent", attempt, pieces, Load())


def build_refusal(attempt: str, problem: Problem) -> AttemptRefused:
    """Return an agent's refusal of an attempt."""
    return AttemptRefused("agent", attempt, problem, 1, Load(), 1)
