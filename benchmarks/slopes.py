"""Slopes: memory, bytes and processor time for each additional object.

Measures the reducer and the codecs in one process. docs/CAPACITY.md extrapolates from
these figures to the full size.
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

REGION_ENDPOINT_COUNT = 771
FLEET_ENDPOINT_COUNT = 5400
FLEET_WORKSPACE_COUNT = 1000
ROUND_COUNT = 200
OBJECT_COUNT = 2000
MICROSECONDS_PER_SECOND = 1e6
NOW = 1_000_000.0
PICK_BOUND_US = 16_000 / 19  # 1.6% of a core at 19 requests per second


def measure_time(run: Callable[[int], object], rounds: int = ROUND_COUNT) -> float:
    """Return the mean duration of a call in microseconds."""
    started_at = time.perf_counter()
    for number in range(rounds):
        run(number)
    return (time.perf_counter() - started_at) / rounds * MICROSECONDS_PER_SECOND


def measure_memory(build: Callable[[int], object], count: int) -> float:
    """Return the mean memory of `count` objects in bytes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    retained = build(count)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del retained
    return (after - before) / count


def build_endpoint(number: int) -> Endpoint:
    """Return a distinct endpoint."""
    return Endpoint(
        name=f"chat-{number}",
        service="chat",
        availability_zone=f"zone-{number % 24}",
        http_address=f"10.{number % 7}.{number // 250}.{number % 250}:8080",
        peer_address=f"tcp://10.{number % 7}.{number // 250}.{number % 250}:8081",
    )


def build_configuration(endpoints: int, workspaces: int) -> Configuration:
    """Return a configuration with a number of endpoints and workspaces."""
    return Configuration(
        revision=1,
        ranks=(Rank("drafts", 0, 0.5, 10.0),),
        workspaces=tuple(Workspace(f"workspace-{n}") for n in range(workspaces)),
        services=(Service("chat", ServiceKind.MODEL, default_rank="drafts"),),
        endpoints=tuple(build_endpoint(number) for number in range(endpoints)),
    )


def build_state(role: Role, configuration: Configuration) -> State:
    """Return the state of a process with a configuration."""
    node = Node("node-1", role, "eu-west", "a", "tcp://127.0.0.1:1", "127.0.0.1:2")
    return State(node=node, incarnation=1, configuration=configuration)


def build_request(number: int) -> Request:
    """Return a request of a distinct chat."""
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
    """Return the heartbeat of a distinct agent."""
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
    """Return the slopes of a router with the endpoints of one region."""
    configuration = build_configuration(REGION_ENDPOINT_COUNT, FLEET_WORKSPACE_COUNT)
    state = build_state(Role.ROUTER, configuration)
    endpoints = configuration.list_endpoints("chat")

    def arrive(number: int) -> None:
        reduce(RequestArrived(f"e{number}", build_request(number)), state, NOW)

    def arrive_many(count: int) -> State:
        for number in range(count):
            arrive(number)
        return state

    pick = measure_time(lambda n: order_endpoints(build_request(n), "e", endpoints))
    bytes_an_exchange = measure_memory(arrive_many, ROUND_COUNT)
    leave = measure_time(lambda n: reduce(CallerDisconnected(f"e{n}"), state, NOW))
    return {
        "pick_us": pick,
        "arrive_us": measure_time(arrive),
        "leave_us": leave,
        "bytes_an_exchange": bytes_an_exchange,
    }


def measure_agent() -> dict[str, float]:
    """Return the slopes of an agent as its queue grows."""
    state = build_state(Role.AGENT, build_configuration(8, FLEET_WORKSPACE_COUNT))
    state.agent = AgentState("chat-1")

    def arrive(number: int) -> None:
        request = evolve(
            build_request(number),
            workspace=f"workspace-{number % FLEET_WORKSPACE_COUNT}",
        )
        event = Dispatch("r", f"a{number}", "chat-1", 0, 60.0, 1, request)
        reduce(event, state, NOW)

    def arrive_many(count: int) -> State:
        for number in range(count):
            arrive(number)
        return state

    bytes_an_attempt = measure_memory(arrive_many, ROUND_COUNT)
    return {
        "dispatch_us": measure_time(lambda n: arrive(ROUND_COUNT + n)),
        "bytes_a_queued_attempt": bytes_an_attempt,
    }


def measure_control() -> dict[str, float]:
    """Return the slopes of the leading control host as heartbeats arrive."""
    configuration = build_configuration(FLEET_ENDPOINT_COUNT, FLEET_WORKSPACE_COUNT)
    roster = Roster()
    roster.begin_epoch("control-1-1-1", NOW)

    def record_many(count: int) -> Roster:
        for number in range(count):
            roster.record_heartbeat(build_heartbeat(number), configuration, NOW)
        return roster

    return {
        "bytes_a_member": measure_memory(record_many, OBJECT_COUNT),
        "hear_us": measure_time(
            lambda n: roster.record_heartbeat(build_heartbeat(n), configuration, NOW)
        ),
    }


def build_full_offer(configuration: Configuration) -> ConfigurationOffered:
    """Return the message that carries a full configuration."""
    return ConfigurationOffered(
        sender="control-1",
        peer_address="tcp://10.0.0.1:8081",
        revision=configuration.revision,
        configuration=configuration,
    )


def measure_codec() -> dict[str, float]:
    """Return the size and codec time of messages between processes."""
    codec = MessageCodec(b"a key for benchmarks")
    heartbeat, piece = build_heartbeat(1), AnswerPiece("agent-1", "a1", 3, b"x" * 80)
    full = build_configuration(FLEET_ENDPOINT_COUNT, FLEET_WORKSPACE_COUNT)
    half = build_configuration(FLEET_ENDPOINT_COUNT // 2, FLEET_WORKSPACE_COUNT)
    full_bytes = len(codec.encode(build_full_offer(full)))
    half_bytes = len(codec.encode(build_full_offer(half)))
    return {
        "heartbeat_bytes": len(codec.encode(heartbeat)),
        "heartbeat_codec_us": measure_time(
            lambda _: codec.decode(codec.encode(heartbeat))
        ),
        "piece_codec_us": measure_time(lambda _: codec.decode(codec.encode(piece))),
        "configuration_bytes": full_bytes,
        "configuration_bytes_an_endpoint": (full_bytes - half_bytes)
        / (FLEET_ENDPOINT_COUNT - FLEET_ENDPOINT_COUNT // 2),
    }


def measure_configuration() -> dict[str, float]:
    """Return the memory of a configuration per endpoint and per workspace."""
    endpoints = measure_memory(lambda n: build_configuration(n, 0), OBJECT_COUNT)
    workspaces = measure_memory(lambda n: build_configuration(0, n), OBJECT_COUNT)
    return {"bytes_an_endpoint": endpoints, "bytes_a_workspace": workspaces}


def main(quick: bool) -> None:
    """Measure all slopes; `quick` changes nothing, as the run is short."""
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
