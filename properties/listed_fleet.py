"""Listed fleet: control hosts and routers that learn of replicas from one platform.

The nodes run the real reducer in virtual time. The platform limits the requests of the
whole fleet and serves its list in pages.
"""

from __future__ import annotations

from collections import deque

from attrs import define, evolve, field

from gentianworks.codecs.messages import MessageCodec
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.gateway import FetchReplicas
from gentianworks.core.effects.lifecycle import LogEvent, SendMessage
from gentianworks.core.events.base import Event
from gentianworks.core.events.gateway import (
    ReplicaListFailed,
    ReplicaListFetched,
    ReplicaListOffered,
)
from gentianworks.core.events.lifecycle import ProcessStarted
from gentianworks.core.gateway.replicas import Replica, ReplicaName, ReplicaRegistry
from gentianworks.core.gateway.state import GatewayState
from gentianworks.core.replica_list.fetches import ListFetches
from gentianworks.core.replica_list.shared_list import SharedList
from gentianworks.core.state import State
from gentianworks.core.types import Node, Role
from properties.control_group import SimulatedGroup, SimulatedHost, perform

PAGE_ENTRIES = 50
PAGE_TIME = 0.004  # seconds; two trips and the platform's work
FETCH_TIMEOUT = 1.0  # seconds


@define
class Platform:
    """List of replicas behind a limit of requests per second."""

    permitted_rate: float = 1000.0
    replicas: dict[ReplicaName, Replica] = field(factory=dict)
    is_down: bool = False
    calls: list[float] = field(factory=list)  # times of all requests
    throttled_count: int = 0
    _recent: deque[float] = field(factory=deque)

    def add(self, name: ReplicaName, address: str = "") -> Replica:
        """Add a replica to the list."""
        number = len(self.replicas)
        replica = Replica(
            name,
            "engines",
            address or f"10.1.{number // 250}.{number % 250}:80",
            "a",
            8,
        )
        self.replicas[name] = replica
        return replica

    def drain(self, name: ReplicaName) -> None:
        """Mark a replica as leaving."""
        self.replicas[name] = evolve(self.replicas[name], is_leaving=True)

    def count_pages(self) -> int:
        """Return the number of requests that one fetch takes."""
        return max(1, -(-len(self.replicas) // PAGE_ENTRIES))

    def fetch(self, now: float) -> tuple[float, Event]:
        """Return the outcome of a fetch and the time that it takes."""
        if self.is_down:
            return FETCH_TIMEOUT, ReplicaListFailed("no response")
        pages = self.count_pages()
        for _ in range(pages):
            self.calls.append(now)
            while self._recent and now - self._recent[0] > 1.0:
                self._recent.popleft()
            if len(self._recent) >= self.permitted_rate:
                self.throttled_count += 1
                return PAGE_TIME, ReplicaListFailed("status 429", is_throttled=True)
            self._recent.append(now)
        replicas = tuple(self.replicas.values())
        return pages * PAGE_TIME, ReplicaListFetched(replicas, page_count=pages)

    def count_calls(self, since: float) -> int:
        """Return the number of requests since a time."""
        return sum(at >= since for at in self.calls)


@define
class ListedFleet(SimulatedGroup):
    """Control group with routers; the routers follow the control hosts in `hosts`."""

    router_count: int = 10
    platform: Platform = field(factory=Platform)
    sent_bytes: dict[int, int] = field(factory=dict)  # by number of the node
    received_bytes: dict[int, int] = field(factory=dict)
    logged_codes: list[tuple[int, str]] = field(factory=list)
    complete_lists_sent: int = 0
    counts_bytes: bool = False
    codec: MessageCodec = field(factory=lambda: MessageCodec(b"key"))

    def __attrs_post_init__(self) -> None:
        """Start the control hosts and the routers."""
        super().__attrs_post_init__()
        for number in range(self.router_count):
            address = f"tcp://10.2.{number // 250}.{number % 250}:1"
            router = self._create_router(address)
            self.hosts.append(SimulatedHost(address, self._create_disk(), router))
            self.start_router(self.size + number)

    @property
    def control_hosts(self) -> list[SimulatedHost]:
        """Return the control hosts."""
        return self.hosts[: self.size]

    @property
    def routers(self) -> list[SimulatedHost]:
        """Return the routers."""
        return self.hosts[self.size :]

    def find_leader(self) -> int | None:
        """Return the number of the leader with the highest term, if any."""
        leading = [
            (host.replication.vote.term, number)
            for number, host in enumerate(self.control_hosts)
            if host.is_up and host.replication.is_leader
        ]
        return max(leading)[1] if leading else None

    def start_router(self, number: int) -> None:
        """Start a router that knows nothing of before."""
        host = self.hosts[number]
        host.generation += 1
        host.is_up, host.is_frozen = True, False
        host.state = self._create_router(host.address)
        self._handle(number, ProcessStarted(self.rng.getrandbits(48)))

    def heal(self) -> None:
        """Repair the network and the platform and start or resume every node."""
        self.cut_links.clear()
        self.loss_rate = 0.0
        self.platform.is_down = False
        for number, host in enumerate(self.hosts):
            if host.is_frozen:
                self.thaw(number)
            if host.is_up:
                continue
            if number < self.size:
                self.start(number)
            else:
                self.start_router(number)

    def list_registries(self) -> list[ReplicaRegistry]:
        """Return the registries of the routers that run."""
        return [
            host.state.gateway.registry
            for host in self.routers
            if host.is_up and not host.is_frozen and host.state.gateway is not None
        ]

    def list_ages(self) -> list[float]:
        """Return the age of the list at each router that runs, in seconds."""
        return [self.now - item.current_at for item in self.list_registries()]

    def has_current_lists(self) -> bool:
        """Return whether each router has the platform's list."""
        return all(
            item.replicas == self.platform.replicas for item in self.list_registries()
        )

    def fetch_list(self, number: int) -> None:
        """Deliver the outcome of a node's fetch."""
        seconds, event = self.platform.fetch(self.now)
        self.schedule(seconds, number, event, self.hosts[number].generation)

    def record_message(self, number: int, effect: SendMessage) -> None:
        """Count the bytes of a message at its sender and its receiver."""
        message = effect.message
        if isinstance(message, ReplicaListOffered) and message.is_complete:
            self.complete_lists_sent += 1
        if not self.counts_bytes:
            return
        size = len(self.codec.encode(effect.message))
        self.sent_bytes[number] = self.sent_bytes.get(number, 0) + size
        for target, host in enumerate(self.hosts):
            if host.address == effect.address:
                self.received_bytes[target] = self.received_bytes.get(target, 0) + size

    def _perform_all(self, number: int, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, FetchReplicas):
                self.fetch_list(number)
            elif isinstance(effect, LogEvent):
                self.logged_codes.append((number, effect.code))
            else:
                if isinstance(effect, SendMessage):
                    self.record_message(number, effect)
                perform(effect, self, number)

    def _create_state(self, number: int) -> State:
        state = super()._create_state(number)
        state.discovers_control_hosts = True
        state.shared_list = SharedList(
            fetches=ListFetches(permitted_rate=self.platform.permitted_rate)
        )
        return state

    def _create_router(self, address: str) -> State:
        node = Node(f"router-{address}", Role.ROUTER, "region", "zone", address, "")
        fetches = ListFetches(permitted_rate=self.platform.permitted_rate)
        return State(
            node=node,
            control_addresses=tuple(
                host.address for host in self.hosts[: min(3, self.size)]
            ),
            discovers_control_hosts=True,
            gateway=GatewayState(list_fetches=fetches),
        )
