"""Runner: assembles a router or control host from the platform's settings."""

from __future__ import annotations

import faulthandler
import logging
import os
import secrets
import signal
import socket
import time
from functools import partial
from pathlib import Path

import anyio
from attrs import frozen

from gentianworks.codecs.messages import MessageCodec
from gentianworks.core.effects.gateway import DecodeRoutes
from gentianworks.core.events.gateway import RoutesDecoded
from gentianworks.core.events.lifecycle import ProcessStarted, ShutdownRequested
from gentianworks.core.gateway.state import GatewayState
from gentianworks.core.replication.timing import Timing
from gentianworks.core.state import State
from gentianworks.core.types import Node, Role
from gentianworks.log import configure_logging
from gentianworks.metrics import Metrics
from gentianworks.peers.sockets import PeerSockets
from gentianworks.platform.configuration import (
    DocumentError,
    decode_document,
    decode_table,
)
from gentianworks.platform.front import (
    ControlApplication,
    FrontApplication,
    ReadyApplication,
)
from gentianworks.platform.listing import ListingClient
from gentianworks.platform.replicas import ReplicaClient
from gentianworks.platform.settings import (
    SETTINGS_VARIABLE,
    MachineSettings,
    PlatformSettingsError,
    read_settings,
)
from gentianworks.process import Process, perform
from gentianworks.settings import LogSettings
from gentianworks.storage.opening import load_journal, open_log
from gentianworks.web.metrics import MetricsApplication, answer_nothing
from gentianworks.web.server import Application, Server, create_server

# The platform gives its processes no secret; its network is theirs alone.
PEER_KEY = b"gentianworks"
# A group of hosts that are set aside can spend more on heartbeats than any node of a
# fleet may, and clients feel each second without a leader after a loss of power.
# A process that starts again is bound for the time of the lease, so that is short.
TIMING = Timing(heartbeat=0.15, election_min=0.5, election_max=1.0, lease=0.3)
INCARNATION_BITS = 48
# Open connections may fall silent without a reset; the rules allow for 3 s of it.
PEER_LIFETIME = 2.0  # seconds
DRAIN_TIME = 2.5  # seconds; the balancer asks each second and needs two refusals
MIN_LISTING_INTERVAL = 1.0  # seconds; a third of the time that drains allow

logger = logging.getLogger("gentianworks")


@frozen
class Start:
    """Hold what preceded the load of the program.

    `began_at` is in seconds of the monotonic clock; `front` listens for clients
    already, where the role serves them and the socket could be opened.
    """

    began_at: float
    front: socket.socket | None = None


async def run_role(role: Role, start: Start) -> None:
    """Run the process of a role until it is asked to stop."""
    configure_logging(LogSettings(format="json"), is_standard_output=True)
    faulthandler.enable()
    try:
        settings = read_settings(Path(os.environ.get(SETTINGS_VARIABLE, "")))
    except PlatformSettingsError as error:
        logger.critical("GW1010", extra={"details": (("error", str(error)),)})
        raise SystemExit(1) from error
    stored = open_log(settings.data_folder) if role is Role.CONTROL else None
    state = build_state(role, settings)
    peers = PeerSockets(state.node.peer_address, MessageCodec(PEER_KEY), PEER_LIFETIME)
    async with anyio.create_task_group() as tasks:
        process = Process(state=state, tasks=tasks)
        process.add_adapter(peers)
        process.add_adapter(Metrics())
        servers = {
            address: create_server(application, address)
            for application, address in _assemble(role, settings, process)
        }
        process.start_task(partial(peers.receive, process))
        for address, server in servers.items():
            opened = start.front if address == settings.front else None
            process.start_task(partial(_serve, server, opened))
        process.start_task(partial(_watch_signals, process))
        process.handle(ProcessStarted(secrets.randbits(INCARNATION_BITS)))
        age = time.monotonic() - start.began_at
        if stored is not None:
            load_journal(stored, process, age)
        details = (("name", state.node.name), ("load_seconds", f"{age:.3f}"))
        logger.info("GW1001", extra={"details": details})
        await process.stopped.wait()
        await _stop(list(servers.values()))
        tasks.cancel_scope.cancel()
    peers.close()


def build_state(role: Role, settings: MachineSettings) -> State:
    """Return the state in which a process starts."""
    node = Node(
        name=f"{settings.node}-{role.value}",
        role=role,
        region=settings.region,
        availability_zone=settings.availability_zone,
        peer_address=settings.build_peer_address(role.value),
        http_address=settings.front or settings.control,
    )
    is_router = role is Role.ROUTER
    return State(
        node=node,
        control_addresses=tuple(
            settings.build_peer_address(Role.CONTROL.value, ip) for ip in settings.seeds
        ),
        drain_time=DRAIN_TIME if is_router else 0.0,
        timing=TIMING,
        discovers_control_hosts=True,
        is_first_start=settings.is_first_start,
        tolerated_losses=settings.tolerated_losses,
        gateway=_build_gateway(settings) if is_router else None,
    )


def _build_gateway(settings: MachineSettings) -> GatewayState:
    return GatewayState(
        discovery_interval=MIN_LISTING_INTERVAL,
        retry_ratio=settings.retry_ratio,
        retry_slack=settings.retry_slack,
    )


def _assemble(
    role: Role, settings: MachineSettings, process: Process
) -> list[tuple[Application, str]]:
    metrics = (
        MetricsApplication(process, answer_nothing),
        settings.build_metrics_address(role.value),
    )
    if role is Role.CONTROL:
        return [(ControlApplication(process), settings.control), metrics]
    process.add_adapter(ReplicaClient())
    process.add_adapter(ListingClient(settings.listing_address))
    return [
        (FrontApplication(process), settings.front),
        (ReadyApplication(process), settings.ready),
        metrics,
    ]


async def _serve(server: Server, opened: socket.socket | None) -> None:
    await server.serve(sockets=[opened] if opened else None)
    server.ended.set()


async def _stop(servers: list[Server]) -> None:
    for server in servers:
        server.stop()
    for server in servers:
        await server.ended.wait()


async def _watch_signals(process: Process) -> None:
    kinds = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*kinds) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                logger.info("GW1009")
                continue
            logger.info("GW1002")
            process.handle(ShutdownRequested())


@perform.register
def _(effect: DecodeRoutes, process: Process) -> None:
    try:
        table = decode_table(decode_document(effect.document))
    except DocumentError:
        table = None
    process.handle(RoutesDecoded(effect.document.revision, table))


def run(role: Role, start: Start) -> None:
    """Run a role on a loop of its own."""
    anyio.run(run_role, role, start)
