"""Runner: builds the process of a role and runs it until it stops."""

from __future__ import annotations

import asyncio
import faulthandler
import logging
import secrets
import signal
from functools import partial
from pathlib import Path
from typing import Any

import anyio

from gentianworks.codecs.messages import MessageCodec
from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.cache.state import CacheState
from gentianworks.core.configuration.distribution_state import DistributionState
from gentianworks.core.events.lifecycle import ProcessStarted, ShutdownRequested
from gentianworks.core.state import State
from gentianworks.core.types import Role
from gentianworks.peers.sockets import PeerSockets
from gentianworks.process import Process
from gentianworks.secret_files import read_secret
from gentianworks.settings import Settings
from gentianworks.storage.startup import open_store_or_exit, start_store
from gentianworks.telemetry.log import configure_logging
from gentianworks.telemetry.metrics import Metrics
from gentianworks.tokens import OperatorRegistry
from gentianworks.web.agents import AgentClient
from gentianworks.web.cache_exports import CacheSender
from gentianworks.web.cache_imports import CacheReceiver
from gentianworks.web.callers import CallerApplication
from gentianworks.web.dispatches import DispatchApplication
from gentianworks.web.engine_load import EngineLoadClient
from gentianworks.web.engines import EngineClient
from gentianworks.web.metrics import MetricsApplication
from gentianworks.web.operators import OperatorApplication
from gentianworks.web.orders import OrderClient
from gentianworks.web.platform import PlatformClient
from gentianworks.web.server import Application, Server, create_server

INCARNATION_BITS = 48
logger = logging.getLogger("gentianworks")


async def run_role(role: Role, settings: Settings) -> None:
    """Run the process of a role until it receives a stop signal.

    Raises SystemExit with status 1 if the shared key can't be read.
    """
    configure_logging(settings.log)
    faulthandler.enable()
    asyncio.get_running_loop().set_exception_handler(_log_callback_error)
    key = read_secret(Path(settings.node.key_file))
    if key.is_error():
        logger.error("GW1005", extra={"details": (("detail", str(key.error)),)})
        raise SystemExit(1)
    codec = MessageCodec(key.ok)
    folder = settings.node.data_folder
    stored = open_store_or_exit(folder) if role is Role.CONTROL else None
    node = settings.node
    peers = PeerSockets(node.peer_listen_address or node.peer_address, codec)
    async with anyio.create_task_group() as tasks:
        process = Process(state=_build_state(role, settings), tasks=tasks)
        process.add_adapter(peers)
        process.add_adapter(Metrics())
        application = MetricsApplication(
            process, _build_application(role, settings, codec, process)
        )
        limits = settings.limits if role is Role.ROUTER else None
        server = create_server(application, settings.node.http_address, limits)
        process.start_task(partial(peers.receive, process))
        process.start_task(partial(_serve, server, process))
        process.start_task(partial(_handle_signals, process))
        process.handle(ProcessStarted(secrets.randbits(INCARNATION_BITS)))
        if stored is not None:
            start_store(stored, process)
        logger.info("GW1001", extra={"details": (("name", settings.node.name),)})
        await process.stopped.wait()
        server.stop()
        await process.served.wait()
        tasks.cancel_scope.cancel()
    peers.close()


def _log_callback_error(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    """Log an exception in a callback of a library, such as that of one connection."""
    details = (("call", context["message"]),)
    error = context.get("exception")
    logger.error("GW1007", exc_info=error, extra={"details": details})


def _build_state(role: Role, settings: Settings) -> State:
    return State(
        node=settings.build_node(role),
        control_addresses=tuple(settings.control.peer_addresses.split()),
        region_addresses=tuple(settings.control.region_addresses.split()),
        distribution=DistributionState(
            relay_addresses=tuple(settings.control.relay_addresses.split())
        ),
        platform_address=settings.platform.address,
        drain_time=0.0 if role is Role.CONTROL else settings.limits.drain_time,
        agent=_build_agent(settings) if role is Role.AGENT else None,
        checks_invariants=settings.control.checks_invariants,
        store_rate=settings.control.store_rate,
    )


def _build_agent(settings: Settings) -> AgentState:
    agent_settings = settings.agent
    cache = CacheState(agent_settings.cache_move_time, agent_settings.cache_move_rate)
    return AgentState(agent_settings.endpoint, cache=cache)


def _build_application(
    role: Role, settings: Settings, codec: MessageCodec, process: Process
) -> Application:
    if role is Role.ROUTER:
        process.add_adapter(AgentClient(codec))
        return CallerApplication(process, settings.limits)
    if role is Role.AGENT:
        engine_address = settings.agent.engine_address
        process.add_adapter(EngineClient(engine_address))
        process.add_adapter(EngineLoadClient(engine_address))
        process.add_adapter(OrderClient(engine_address))
        process.add_adapter(CacheSender(engine_address, codec))
        process.add_adapter(CacheReceiver(engine_address, codec))
        return DispatchApplication(process, codec)
    process.add_adapter(PlatformClient())
    return OperatorApplication(process, OperatorRegistry(settings.operators))


async def _serve(server: Server, process: Process) -> None:
    await server.serve()
    process.served.set()


async def _handle_signals(process: Process) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            logger.info("GW1002")
            process.handle(ShutdownRequested())
