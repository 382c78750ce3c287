"""Gateways: states, calls and answers for the gateway's tests."""

from __future__ import annotations

from typing import Any, TypeVar

from attrs import evolve

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.gateway import CallReplica
from gentianworks.core.events.gateway import (
    CallArrived,
    ReplicaAnswerHead,
    ReplicaAnswerStarted,
    ReplicaListFetched,
)
from gentianworks.core.gateway.calls import Call, PromptPart
from gentianworks.core.gateway.replicas import Replica
from gentianworks.core.gateway.route_table import (
    GatewayService,
    RetryPolicy,
    Route,
    RouteTable,
    TrafficShare,
    WorkspaceKeys,
    digest_key,
)
from gentianworks.core.gateway.state import GatewayState
from gentianworks.core.handlers import reduce
from gentianworks.core.state import State
from gentianworks.core.types import Node, Role

NOW = 1000.0
KEY = "parish-key"
E = TypeVar("E", bound=Effect)
EVENT_STREAM_HEAD = ReplicaAnswerHead(
    200, (), True, content_type="text/event-stream", is_event_stream=True
)

CHAT = Route(
    name="chat",
    host="a.example",
    path_prefix="/chat/",
    shares=(TrafficShare("engines"),),
    retry_policy=RetryPolicy.RESUMABLE,
    is_stream=True,
    timeout=5.0,
    latency_objective=0.4,
    max_attempts=2,
)
PAYMENT = evolve(
    CHAT,
    name="payment",
    path_prefix="/pay/",
    shares=(TrafficShare("books"),),
    retry_policy=RetryPolicy.AT_MOST_ONCE,
    is_stream=False,
    timeout=1.5,
)
READ = evolve(
    PAYMENT, name="read", path_prefix="/read/", retry_policy=RetryPolicy.REPEATABLE
)
TABLE = RouteTable(
    revision=3,
    routes=(CHAT, PAYMENT, READ),
    services=(GatewayService("engines", "/h", 100), GatewayService("books", "/h", 100)),
    workspaces=(WorkspaceKeys("parish", (digest_key(KEY),)),),
)
CALL = Call(
    request_id="r1",
    host="a.example",
    method="POST",
    path="/chat/1",
    headers=(),
    body=b"{}",
    timeout=5.0,
    api_key=KEY,
    prompt=(PromptPart("aa", 100), PromptPart("bb", 500), PromptPart("r1", 50)),
)


def build_replicas(service: str, count: int, slots: int) -> tuple[Replica, ...]:
    """Return `count` replicas of a service."""
    return tuple(
        Replica(f"{service}-{n}", service, f"10.0.0.{n}:80", "a", slots)
        for n in range(1, count + 1)
    )


def build_gateway(replicas: int = 3, engine_slots: int = 64) -> State:
    """Return the state of a router that has a route table and a list of replicas."""
    node = Node("router-1", Role.ROUTER, "r", "a", "tcp://127.0.0.1:9", "127.0.0.1:8")
    state = State(node=node, gateway=GatewayState(table=TABLE, router_count=1))
    listed = (
        *build_replicas("engines", replicas, engine_slots),
        *build_replicas("books", replicas, 6),
    )
    reduce(ReplicaListFetched(listed), state, NOW)
    return state


def get_gateway(state: State) -> GatewayState:
    """Return the gateway state of a router."""
    assert state.gateway is not None
    return state.gateway


def send_call(
    state: State, now: float = NOW, exchange: str = "x1", **changes: Any
) -> list[Effect]:
    """Reduce the arrival of a call and return the effects."""
    return reduce(CallArrived(exchange, evolve(CALL, **changes)), state, now)


def get_effect(effect_type: type[E], effects: list[Effect]) -> E:
    """Return the only effect of a type."""
    (effect,) = [item for item in effects if isinstance(item, effect_type)]
    return effect


def list_types(effects: list[Effect]) -> list[type[Effect]]:
    """Return the type of each effect."""
    return [type(item) for item in effects]


def answer_call(
    sent: CallReplica, state: State, now: float = NOW, **changes: Any
) -> list[Effect]:
    """Reduce the head of a replica's answer and return the effects."""
    head = evolve(EVENT_STREAM_HEAD, **changes)
    return reduce(ReplicaAnswerStarted(sent.attempt, head), state, now)
