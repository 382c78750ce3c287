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
from gentianworks.core.outliers.known import KnownOutliers
from gentianworks.core.replica_list.fetches import ListFetches
from gentianworks.core.replica_list.shared_list import SharedList
from gentianworks.core.replication.timing import Timing
from gentianworks.core.state import State
from gentianworks.core.types import Node, Role
from gentianworks.limits import LogSettings
from gentianworks.outbox import OutboxMemory
from gentianworks.peers.sockets import PeerSockets
from gentianworks.platform.applications import (
    ClientApplication,
    ConfigurationApplication,
    ReadinessApplication,
)
from gentianworks.platform.configuration import (
    DocumentError,
    decode_document,
    decode_table,
)
from gentianworks.platform.intakes import Intakes, compute_idle_limit
from gentianworks.platform.replica_listing import ListingClient
from gentianworks.platform.replicas import ReplicaClient
from gentianworks.platform.settings import (
    SETTINGS_VARIABLE,
    MachineSettings,
    PlatformSettingsError,
)
from gentianworks.platform.settings_file import SettingsFile, list_seed_addresses
from gentianworks.process import Process, perform
from gentianworks.storage.startup import (
    open_store_or_exit,
    open_volatile_store,
    start_store,
)
from gentianworks.storage.store import OpenedStore
from gentianworks.telemetry.log import configure_logging
from gentianworks.telemetry.metrics import Metrics
from gentianworks.web.connections import ConnectionPool
from gentianworks.web.metrics import MetricsApplication, answer_not_found
from gentianworks.web.server import Application, Server, create_server

# The platform provides no secret; only its own processes can reach its network.
PEER_KEY = b"gentianworks"
# A group of dedicated hosts can send more heartbeats than the nodes of a fleet, and
# clients notice each second without a leader after a loss of power. The lease is short,
# because a restarted process withholds its votes for that time.
TIMING = Timing(heartbeat=0.15, election_min=0.5, election_max=1.0, lease=0.3)
INCARNATION_BITS = 48
# A connection may stop delivering without a reset, by the platform's rules for 3 s.
PEER_CONNECTION_LIFETIME = 2.0  # seconds
DRAIN_TIME = 2.5  # seconds; the balancer checks each second and needs two failures
ANSWER_MEMORY_FRACTION = 0.125  # of the memory limit; requests and sockets use more
DISCOVERY_INTERVAL = 1.0  # seconds; a third of the platform's drain time

logger = logging.getLogger("gentianworks")


@frozen
class ProcessStart:
    """Time and socket from before the modules were loaded."""

    started_at: float  # seconds of the monotonic clock
    # None if the role serves no clients or the socket could not be opened.
    client_listener: socket.socket | None = None


async def run_role(role: Role, start: ProcessStart) -> None:
    """Run the process of a role until a signal stops it."""
    configure_logging(LogSettings(format="json"), is_standard_output=True)
    faulthandler.enable()
    try:
        file = SettingsFile(Path(os.environ.get(SETTINGS_VARIABLE, "")))
        settings = file.read()
    except PlatformSettingsError as error:
        logger.critical("GW1010", extra={"details": (("error", str(error)),)})
        raise SystemExit(1) from error
    stored = _open_store(settings) if role is Role.CONTROL else None
    state = build_state(role, settings)
    peers = PeerSockets(
        state.node.peer_address, MessageCodec(PEER_KEY), PEER_CONNECTION_LIFETIME
    )
    async with anyio.create_task_group() as tasks:
        memory = build_outbox_memory(settings)
        process = Process(state=state, tasks=tasks, outbox_memory=memory)
        process.add_adapter(peers)
        process.add_adapter(file)
        process.add_adapter(Metrics())
        intakes = Intakes(process, settings)
        servers = {
            address: create_server(application, address, intake=intakes.create(address))
            for application, address in _create_applications(role, settings, process)
        }
        process.start_task(partial(peers.receive, process))
        for address, server in servers.items():
            listener = (
                start.client_listener if address == settings.client_address else None
            )
            process.start_task(partial(_serve, server, listener))
        process.start_task(partial(_watch_signals, process))
        process.handle(ProcessStarted(secrets.randbits(INCARNATION_BITS)))
        age = time.monotonic() - start.started_at
        if stored is not None:
            start_store(stored, process, age)
        details = (("name", state.node.name), ("load_seconds", f"{age:.3f}"))
        logger.info("GW1001", extra={"details": details})
        await process.stopped.wait()
        await _stop_servers(list(servers.values()))
        tasks.cancel_scope.cancel()
    peers.close()


def build_state(role: Role, settings: MachineSettings) -> State:
    """Return the initial state of a process."""
    node = Node(
        name=f"{settings.machine}-{role.value}",
        role=role,
        region=settings.region,
        availability_zone=settings.availability_zone,
        peer_address=settings.build_peer_address(role.value),
        http_address=settings.client_address or settings.configuration_address,
    )
    is_router = role is Role.ROUTER
    keeps_data = bool(settings.data_folder)
    return State(
        node=node,
        control_addresses=list_seed_addresses(settings),
        drain_time=DRAIN_TIME if is_router else 0.0,
        grace_time=settings.grace_time,
        timing=TIMING,
        discovers_control_hosts=True,
        is_first_start=settings.is_first_start,
        tolerated_losses=settings.tolerated_losses,
        keeps_data=keeps_data,
        gateway=_build_gateway(settings) if is_router else None,
        # Only a host that may lead distributes the list.
        shared_list=(
            SharedList(fetches=_build_fetches(settings))
            if not is_router and keeps_data
            else None
        ),
    )


def build_outbox_memory(settings: MachineSettings) -> OutboxMemory:
    """Return the memory for the answers that callers have not read."""
    if not settings.memory_limit:
        return OutboxMemory()
    return OutboxMemory(int(settings.memory_limit * ANSWER_MEMORY_FRACTION))


def _open_store(settings: MachineSettings) -> OpenedStore:
    """Return the store of a control host, which stores nothing if it has no disk."""
    if settings.data_folder:
        return open_store_or_exit(settings.data_folder)
    return open_volatile_store()


def _build_fetches(settings: MachineSettings) -> ListFetches:
    return ListFetches(DISCOVERY_INTERVAL, settings.listing_rate)


def _build_gateway(settings: MachineSettings) -> GatewayState:
    return GatewayState(
        list_fetches=_build_fetches(settings),
        retry_ratio=settings.retry_ratio,
        retry_slack=settings.retry_slack,
        outliers=KnownOutliers(is_enabled=settings.is_contended),
        fetches_prefixes=settings.is_contended,
    )


def _create_applications(
    role: Role, settings: MachineSettings, process: Process
) -> list[tuple[Application, str]]:
    metrics = (
        MetricsApplication(process, answer_not_found),
        settings.build_metrics_address(role.value),
    )
    process.add_adapter(ListingClient(settings.listing_address))
    if role is Role.CONTROL:
        return [
            (ConfigurationApplication(process), settings.configuration_address),
            metrics,
        ]
    pool = ConnectionPool(compute_idle_limit(settings))
    process.add_adapter(ReplicaClient(pool))
    return [
        (ClientApplication(process), settings.client_address),
        (ReadinessApplication(process), settings.readiness_address),
        metrics,
    ]


async def _serve(server: Server, listener: socket.socket | None) -> None:
    await server.serve(sockets=[listener] if listener else None)
    server.ended.set()


async def _stop_servers(servers: list[Server]) -> None:
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
        body = decode_document(effect.document)
        table = decode_table(body, is_stored=True)
    except DocumentError:
        table = None
    process.handle(RoutesDecoded(effect.document.revision, table))


def run(role: Role, start: ProcessStart) -> None:
    """Run a role on a new event loop."""
    anyio.run(run_role, role, start)
