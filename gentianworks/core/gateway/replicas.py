"""Replicas: registry of the listed replicas and estimates of their load."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash
from attrs import astuple, define, field, frozen

from gentianworks.core.evacuations.registry import LIST_LAG, KnownEvacuations
from gentianworks.core.types import ServiceName

ReplicaName = str

WARM_UP_TIME = 20.0  # seconds; most shared prompts are requested again within it
REPORTED_LOAD_LIFETIME = 2.0  # seconds; about the duration of an answer


@frozen
class Replica:
    """Entry of the list of replicas."""

    name: ReplicaName
    service: ServiceName
    address: str  # IP:PORT
    availability_zone: str
    slots: int
    is_leaving: bool = False
    is_cold: bool = False  # tolerates few requests for some time


def digest_replicas(replicas: Iterable[Replica]) -> int:
    """Return a number that is equal for equal lists in any order."""
    texts = sorted(repr(astuple(item)) for item in replicas)
    return xxhash.xxh3_64_intdigest("\n".join(texts).encode())


@frozen(order=True)
class ListVersion:
    """Version of the list of replicas that the leading control host fetched.

    `number` is 0 for a list that a router fetched itself.
    """

    term: int = 0  # of the control group; a later leader's lists are newer
    number: int = 0


@define
class ReplicaLoad:
    """Load of a replica, from its last report and this gateway's own calls."""

    own_calls: int = 0
    reported_calls: int = 0
    own_calls_at_report: int = 0
    reported_at: float = float("-inf")  # seconds

    def record_report(self, calls: int, now: float) -> None:
        """Record the number of calls that the replica reported in an answer."""
        self.reported_calls = calls
        self.own_calls_at_report = self.own_calls
        self.reported_at = now

    def estimate(self, now: float) -> int:
        """Return the reported calls, adjusted by this gateway's changes since then."""
        if now - self.reported_at > REPORTED_LOAD_LIFETIME:
            return self.own_calls
        return max(
            self.own_calls,
            self.reported_calls + self.own_calls - self.own_calls_at_report,
        )


@define
class ReplicaRegistry:
    """Replicas of the latest list and their loads."""

    replicas: dict[ReplicaName, Replica] = field(factory=dict)
    # Seconds; minus infinity for the replicas of the first list, whose age is unknown
    # and which count as warmed up.
    first_seen_at: dict[ReplicaName, float] = field(factory=dict)
    loads: dict[ReplicaName, ReplicaLoad] = field(factory=dict)
    # Replicas whose listed address belongs to another replica.
    misaddressed: set[ReplicaName] = field(factory=set)
    version: ListVersion = field(factory=ListVersion)
    # Seconds; the last time at which the platform is known to have had this list.
    current_at: float = float("-inf")
    evacuations: KnownEvacuations = field(factory=KnownEvacuations)
    # Times in seconds at which this router lost its connections to replicas that are
    # cold after a start; a list that is older does not tell whether they started again.
    lost_at: dict[ReplicaName, float] = field(factory=dict)

    def update(
        self,
        replicas: tuple[Replica, ...],
        version: ListVersion,
        current_at: float,
        now: float,
    ) -> None:
        """Replace the replicas by those of a newer list."""
        is_first = not self.replicas
        self.replicas = {item.name: item for item in replicas}
        seen_at = float("-inf") if is_first else now
        self.first_seen_at = {
            name: self.first_seen_at.get(name, seen_at) for name in self.replicas
        }
        self.misaddressed &= set(self.replicas)
        self.misaddressed |= self._list_superseded()
        self.version = version
        self.current_at = current_at
        for name in list(self.loads):
            if name not in self.replicas and not self.loads[name].own_calls:
                del self.loads[name]

    def _list_superseded(self) -> set[ReplicaName]:
        """Return the replicas whose address a later replica uses.

        A crashed replica stays on the list for some seconds, in which its address may
        be assigned again.
        """
        latest: dict[str, float] = {}
        for item in self.replicas.values():
            seen_at = self.first_seen_at[item.name]
            latest[item.address] = max(seen_at, latest.get(item.address, seen_at))
        return {
            item.name
            for item in self.replicas.values()
            if self.first_seen_at[item.name] < latest[item.address]
        }

    def get_load(self, name: ReplicaName) -> ReplicaLoad:
        """Return the load of a replica, created if it has none."""
        return self.loads.setdefault(name, ReplicaLoad())

    def list_usable(self, service: ServiceName) -> list[Replica]:
        """Return the replicas of a service that accept new calls."""
        return [
            item
            for item in self.replicas.values()
            if item.service == service
            and not item.is_leaving
            and item.name not in self.misaddressed
            and not self.is_evacuated(item)
            and not (self.lost_at and self._may_have_restarted(item))
        ]

    def _may_have_restarted(self, replica: Replica) -> bool:
        """Return whether a replica may be cold without the list saying so."""
        lost_at = self.lost_at.get(replica.name)
        if lost_at is None or replica.is_cold:
            return False
        return self.current_at < lost_at + LIST_LAG

    def is_evacuated(self, replica: Replica) -> bool:
        """Return whether calls avoid the zone of a replica."""
        zone = replica.availability_zone
        return self.evacuations.is_closed(zone, self.current_at)

    def count_evacuated(self, service: ServiceName) -> int:
        """Return the number of replicas that get no calls because of their zone."""
        return sum(
            item.service == service and not item.is_leaving and self.is_evacuated(item)
            for item in self.replicas.values()
        )

    def count_restarting(self, service: ServiceName) -> int:
        """Return the number of replicas that are avoided as they may have restarted."""
        if not self.lost_at:
            return 0
        return sum(
            item.service == service
            and not item.is_leaving
            and item.name not in self.misaddressed
            and not self.is_evacuated(item)
            and self._may_have_restarted(item)
            for item in self.replicas.values()
        )

    def list_reachable(self, service: ServiceName) -> list[Replica]:
        """Return the replicas of a service, including those that are leaving."""
        return [
            item
            for item in self.replicas.values()
            if item.service == service and item.name not in self.misaddressed
        ]

    def is_warming_up(self, name: ReplicaName, now: float) -> bool:
        """Return whether a replica is too new to have shared prompts cached."""
        return now - self.first_seen_at.get(name, now) < WARM_UP_TIME

    def mark_misaddressed(self, name: ReplicaName) -> None:
        """Exclude a replica whose address is answered by another replica."""
        self.misaddressed.add(name)
