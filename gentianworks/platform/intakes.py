"""Intakes: limits of the servers of a process, from settings and configuration."""

from __future__ import annotations

from collections.abc import Callable

from attrs import Factory, define, field

from gentianworks.core.gateway.route_table import RequestLimits
from gentianworks.platform.applications import EVACUATION_PATH, MAX_CONFIGURATION_BYTES
from gentianworks.platform.calls import encode_problem
from gentianworks.platform.settings import MachineSettings
from gentianworks.process import Process
from gentianworks.web.intake import ClientLimits, Intake
from gentianworks.web.memory import ClientMemory, compute_budget
from gentianworks.web.turns import TurnQueue

# Shares of the descriptors of a process. Each client may have a call at a replica, so
# clients and their calls take half; peers and files need what is left.
CLIENT_DESCRIPTORS = 0.25
OTHER_DESCRIPTORS = 0.0625  # each for operators, readiness checks and metrics
IDLE_REPLICA_DESCRIPTORS = 0.125


def compute_idle_limit(settings: MachineSettings) -> int:
    """Return how many idle connections to replicas a process keeps."""
    return int(settings.descriptor_limit * IDLE_REPLICA_DESCRIPTORS)


@define
class Intakes:
    """Limits of the servers of a process, which share one budget of memory."""

    process: Process
    settings: MachineSettings
    memory: ClientMemory = field(
        default=Factory(lambda self: self._create_memory(), takes_self=True)
    )
    turns: TurnQueue = field(factory=TurnQueue)

    def __attrs_post_init__(self) -> None:
        """Let the metrics find the budget."""
        self.process.add_adapter(self.memory)

    def create(self, address: str) -> Intake:
        """Return the limits of the server at an address."""
        fraction, bodiless_prefix = OTHER_DESCRIPTORS, b""
        get_limits: Callable[[], ClientLimits] = ClientLimits
        if address == self.settings.client_address:
            fraction, get_limits = CLIENT_DESCRIPTORS, self._get_client_limits
        elif address == self.settings.configuration_address:
            get_limits = _get_operator_limits
            bodiless_prefix = EVACUATION_PATH.encode()
        return Intake(
            memory=self.memory,
            get_limits=get_limits,
            max_connections=int(self.settings.descriptor_limit * fraction),
            encode=encode_problem,
            turns=self.turns,
            bodiless_prefix=bodiless_prefix,
        )

    def _create_memory(self) -> ClientMemory:
        answers = self.process.outbox_memory.limit_bytes
        return ClientMemory(compute_budget(self.settings.memory_limit, answers))

    def _get_client_limits(self) -> ClientLimits:
        gateway = self.process.state.gateway
        table = gateway.table if gateway else None
        limits = table.limits if table else RequestLimits()
        return ClientLimits(
            limits.body_bytes, limits.header_timeout, limits.idle_timeout
        )


def _get_operator_limits() -> ClientLimits:
    return ClientLimits(body_bytes=MAX_CONFIGURATION_BYTES)
