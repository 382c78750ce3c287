"""Evacuating fleet: a simulated control group with routers and orders of operators."""

from __future__ import annotations

from attrs import define, field

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage, SetTimer
from gentianworks.core.effects.operators import AnswerOperator
from gentianworks.core.events.base import Event
from gentianworks.core.events.evacuations import EvacuationRequested
from gentianworks.core.events.lifecycle import ProcessStarted
from gentianworks.core.gateway.state import GatewayState
from gentianworks.core.handlers import reduce
from gentianworks.core.operators.reports import EvacuationReport
from gentianworks.core.state import State
from gentianworks.core.types import Node, Role
from properties.control_group import (
    MAX_MESSAGE_DELAY,
    START_TIME,
    SimulatedGroup,
    perform,
)

FORMING_TIME = 60.0  # seconds


@define
class SimulatedRouter:
    """Router of the simulation, whose known evacuations never get older."""

    address: str
    state: State
    generation: int = 0
    least_revision: int = 0  # acknowledged when it started, or known since then

    def check(self) -> None:
        """Assert that no older state is known once a quorum has confirmed one."""
        if self.state.distribution.confirmed_revision is None:
            return
        revision = self.state.evacuations.revision
        assert revision >= self.least_revision, "a router has an older state"
        self.least_revision = revision


@define
class EvacuatingFleet(SimulatedGroup):
    """Control group whose operators evacuate zones, and routers that follow."""

    router_count: int = 1
    routers: list[SimulatedRouter] = field(factory=list)
    answers: dict[str, AnswerOperator] = field(factory=dict)  # by exchange
    acknowledged_revision: int = 0

    def __attrs_post_init__(self) -> None:
        """Start all hosts with empty disks, and all routers."""
        super().__attrs_post_init__()
        for index in range(self.router_count):
            address = f"tcp://10.0.9.{index + 1}:1"
            self.routers.append(SimulatedRouter(address, self._create_router(address)))
            self.start_router(index)

    def start_router(self, index: int) -> None:
        """Start a router, which knows nothing of its earlier run."""
        router = self.routers[index]
        router.generation += 1
        router.state = self._create_router(router.address)
        router.least_revision = self.acknowledged_revision
        self._handle_router(index, ProcessStarted(router.generation))

    def isolate_router(self, index: int) -> None:
        """Cut the links between a router and all hosts."""
        own = self.routers[index].address
        for host in self.hosts:
            self.cut_links |= {(own, host.address), (host.address, own)}

    def order(self, number: int, zone: str, is_evacuated: bool) -> str:
        """Send an order to a host and return its exchange."""
        exchange = f"order-{next(self._ids)}"
        event = EvacuationRequested(exchange, "olwen", zone, is_evacuated)
        # A frozen process finds the connection closed once it resumes.
        if self.hosts[number].is_up and not self.hosts[number].is_frozen:
            self._deliver(number, 0, event)
        return exchange

    def is_acknowledged(self, exchange: str) -> bool:
        """Return whether an order was acknowledged."""
        answer = self.answers.get(exchange)
        return answer is not None and answer.report is not None

    def list_zones(self, number: int) -> set[str]:
        """Return the evacuated zones that a host has applied."""
        return set(self.hosts[number].state.control.replicated.evacuations.zones)

    def list_known_zones(self, index: int) -> set[str]:
        """Return the evacuated zones that a router knows."""
        return set(self.routers[index].state.evacuations.zones)

    def _create_router(self, address: str) -> State:
        return State(
            node=Node(address, Role.ROUTER, "region", "zone", address, ""),
            control_addresses=tuple(host.address for host in self.hosts),
            gateway=GatewayState(),
        )

    def _deliver(self, number: int, generation: int, event: Event) -> None:
        if number < self.size:
            super()._deliver(number, generation, event)
        elif generation in {0, self.routers[number - self.size].generation}:
            self._handle_router(number - self.size, event)

    def _handle_router(self, index: int, event: Event) -> None:
        router = self.routers[index]
        for effect in reduce(event, router.state, self.now):
            if isinstance(effect, SendMessage):
                self._send(router.address, effect)
            elif isinstance(effect, SetTimer):
                delay = max(0.0, effect.due_at - self.now)
                own = self.size + index
                self.schedule(delay, own, effect.event, router.generation)
        router.check()

    def _perform_all(self, number: int, effects: list[Effect]) -> None:
        for effect in effects:
            self._record(effect)
            perform(effect, self, number)
            if isinstance(effect, SendMessage):
                self._send(self.hosts[number].address, effect, to_hosts=False)

    def _record(self, effect: Effect) -> None:
        if not isinstance(effect, AnswerOperator):
            return
        self.answers[effect.exchange] = effect
        if isinstance(effect.report, EvacuationReport):
            self.acknowledged_revision = max(
                self.acknowledged_revision, effect.report.revision
            )

    def _send(self, source: str, effect: SendMessage, to_hosts: bool = True) -> None:
        """Send a message from or to a router."""
        hosts = [host.address for host in self.hosts] if to_hosts else []
        routers = [router.address for router in self.routers]
        targets = {address: index for index, address in enumerate(hosts)}
        for index, address in enumerate(routers):
            targets[address] = self.size + index
        is_cut = (source, effect.address) in self.cut_links
        if effect.address not in targets or is_cut:
            return
        if self.rng.random() < self.loss_rate:
            return
        delay = self.rng.uniform(0.0, MAX_MESSAGE_DELAY)
        self.schedule(delay, targets[effect.address], effect.message, 0)


def form_fleet(seed: int, size: int = 3, router_count: int = 1) -> EvacuatingFleet:
    """Return a fleet whose hosts are all voters and know the members."""
    fleet = EvacuatingFleet(size, seed, router_count=router_count)
    while not fleet.has_full_membership():
        assert fleet.now < START_TIME + FORMING_TIME, "the group was not formed in time"
        fleet.run(0.05)
    fleet.run(1.0)
    return fleet
