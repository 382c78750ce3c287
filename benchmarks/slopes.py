"""Slopes: state, bytes and processor time for one more of each thing.

Measured in one process on the reducer and the codecs; docs/CAPACITY.md works out the
full size from them.
"""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable

from attrs import evolve

from benchmarks.tools.result import Result
from gentianworks.codecs.messages import MessageCodec
from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.events.callers import CallerDisconnected, RequestArrived
from gentianworks.core.events.configuration import ConfigurationOffered
from gentianworks.core.events.dispatch import AnswerPiece, Dispatch
from gentianworks.core.events.membership import Heartbeat
from gentianworks.core.handlers import reduce
from gentianworks.core.membership.roster import Roster
from gentianworks.core.routing.placement import order_endpoints
from gentianworks.core.state import State
from gentianworks.core.types import (
    Configuration,
    Endpoint,
    Load,
    Node,
    Rank,
    Request,
    Role,
    Service,
    ServiceKind,
    Workspace,
)

REGION_ENDPOINTS = 771
FLEET_ENDPOINTS = 5400
FLEET_WORKSPACES = 1000
ROUNDS = 200
MANY = 2000
MICROSECONDS = 1e6
NOW = 1_000_000.0
PICK_BOUND_US = 16_000 / 19  # 1.6% of a core over 19 requests a second


def measure_time(run: Callable[[int], object], rounds: int = ROUNDS) -> float:
    """Return the microseconds that one call takes."""
    started = time.perf_counter()
    for number in range(rounds):
        run(number)
    return (time.perf_counter() - started) / rounds * MICROSECONDS


def measure_memory(build: Callable[[int], object], count: int) -> float:
    """Return the bytes that each of `count` things keeps."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build(count)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return (after - before) / count


def build_endpoint(number: int) -> Endpoint:
    """Return an endpoint of its own."""
    return Endpoint(
        name=f"chat-{number}",
        service="chat",
        availability_zone=f"zone-{number % 24}",
        http_address=f"10.{number % 7}.{number // 250}.{number % 250}:8080",
        peer_address=f"tcp://10.{number % 7}.{number // 250}.{number % 250}:8081",
    )


def build_configuration(endpoints: int, workspaces: int) -> Configuration:
    """Return a configuration of a size."""
    return Configuration(
        revision=1,
        ranks=(Rank("drafts", 0, 0.5, 10.0),),
        workspaces=tuple(Workspace(f"workspace-{n}") for n in range(workspaces)),
        services=(Service("chat", ServiceKind.MODEL, default_rank="drafts"),),
        endpoints=tuple(build_endpoint(number) for number in range(endpoints)),
    )


def build_state(role: Role, configuration: Configuration) -> State:
    """Return the state of a process that has a configuration."""
    node = Node("node-1", role, "eu-west", "a", "tcp://127.0.0.1:1", "127.0.0.1:2")
    return State(node=node, incarnation=1, configuration=configuration)


def build_request(number: int) -> Request:
    """Return a request of a chat of its own."""
    return Request(
        service="chat",
        workspace="workspace-0",
        rank="drafts",
        method="POST",
        path="/v1/chat/completions",
        headers=(),
        body=b"x" * 400,
        chat=f"chat-{number}",
    )


def build_heartbeat(number: int) -> Heartbeat:
    """Return the heartbeat of an agent."""
    return Heartbeat(
        sender=f"agent-{number}",
        endpoint=f"chat-{number}",
        incarnation=number,
        is_leaving=False,
        load=Load(3, 3000, 1, 1),
        revision=1,
        peer_address=f"tcp://10.0.0.{number % 250}:8081",
        epoch="control-1-1-1",
        version=10,
    )


def measure_router() -> dict[str, float]:
    """Return the slopes of a router before one region's pool."""
    configuration = build_configuration(REGION_ENDPOINTS, FLEET_WORKSPACES)
    state = build_state(Role.ROUTER, configuration)
    endpoints = configuration.list_endpoints("chat")

    def arrive(number: int) -> None:
        reduce(RequestArrived(f"e{number}", build_request(number)), state, NOW)

    def arrive_many(count: int) -> State:
        for number in range(count):
            arrive(number)
        return state

    pick = measure_time(lambda n: order_endpoints(build_request(n), "e", endpoints))
    bytes_an_exchange = measure_memory(arrive_many, ROUNDS)
    leave = measure_time(lambda n: reduce(CallerDisconnected(f"e{n}"), state, NOW))
    return {
        "pick_us": pick,
        "arrive_us": measure_time(arrive),
        "leave_us": leave,
        "bytes_an_exchange": bytes_an_exchange,
    }


def measure_agent() -> dict[str, float]:
    """Return the slopes of an agent with a long queue."""
    state = build_state(Role.AGENT, build_configuration(8, FLEET_WORKSPACES))
    state.agent = AgentState("chat-1")

    def arrive(number: int) -> None:
        request = evolve(
            build_request(number), workspace=f"workspace-{number % FLEET_WORKSPACES}"
        )
        event = Dispatch("r", f"a{number}", "chat-1", 0, 60.0, 1, request)
        reduce(event, state, NOW)

    def arrive_many(count: int) -> State:
        for number in range(count):
            arrive(number)
        return state

    bytes_an_attempt = measure_memory(arrive_many, ROUNDS)
    return {
        "dispatch_us": measure_time(lambda n: arrive(ROUNDS + n)),
        "bytes_a_queued_attempt": bytes_an_attempt,
    }


def measure_control() -> dict[str, float]:
    """Return the slopes of the leading control host."""
    configuration = build_configuration(FLEET_ENDPOINTS, FLEET_WORKSPACES)
    roster = Roster()
    roster.begin_epoch("control-1-1-1", NOW)

    def hear_many(count: int) -> Roster:
        for number in range(count):
            roster.record_heartbeat(build_heartbeat(number), configuration, NOW)
        return roster

    return {
        "bytes_a_member": measure_memory(hear_many, MANY),
        "hear_us": measure_time(
            lambda n: roster.record_heartbeat(build_heartbeat(n), configuration, NOW)
        ),
    }


def offer_whole(configuration: Configuration) -> ConfigurationOffered:
    """Return the message that carries a whole configuration."""
    return ConfigurationOffered(
        sender="control-1",
        peer_address="tcp://10.0.0.1:8081",
        revision=configuration.revision,
        configuration=configuration,
    )


def measure_codec() -> dict[str, float]:
    """Return the slopes of messages between processes."""
    codec = MessageCodec(b"a key for benchmarks")
    heartbeat, piece = build_heartbeat(1), AnswerPiece("agent-1", "a1", 3, b"x" * 80)
    whole = build_configuration(FLEET_ENDPOINTS, FLEET_WORKSPACES)
    half = build_configuration(FLEET_ENDPOINTS // 2, FLEET_WORKSPACES)
    whole_bytes = len(codec.encode(offer_whole(whole)))
    half_bytes = len(codec.encode(offer_whole(half)))
    return {
        "heartbeat_bytes": len(codec.encode(heartbeat)),
        "heartbeat_codec_us": measure_time(
            lambda _: codec.decode(codec.encode(heartbeat))
        ),
        "piece_codec_us": measure_time(lambda _: codec.decode(codec.encode(piece))),
        "configuration_bytes": whole_bytes,
        "configuration_bytes_an_endpoint": (whole_bytes - half_bytes)
        / (FLEET_ENDPOINTS - FLEET_ENDPOINTS // 2),
    }


def measure_configuration() -> dict[str, float]:
    """Return the memory that a configuration keeps."""
    endpoints = measure_memory(lambda n: build_configuration(n, 0), MANY)
    workspaces = measure_memory(lambda n: build_configuration(0, n), MANY)
    return {"bytes_an_endpoint": endpoints, "bytes_a_workspace": workspaces}


def main(quick: bool) -> None:
    """Measure every slope; the run is short either way."""
    router = measure_router()
    slopes: dict[str, object] = {
        "router": router,
        "agent": measure_agent(),
        "control": measure_control(),
        "codec": measure_codec(),
        "configuration": measure_configuration(),
    }
    Result(
        benchmark="slopes",
        figure=router["pick_us"],
        unit="us a pick among 771 endpoints",
        bound=PICK_BOUND_US,
        holds=router["pick_us"] <= PICK_BOUND_US,
        details=slopes,
    ).print()
