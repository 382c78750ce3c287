"""Cold fleet: routers and control hosts before replicas that turn cold.

The platform's list tells of a cold replica with a lag. The fleet counts the requests
that reach each cold replica once all routers can know that it is cold.
"""

from __future__ import annotations

from collections import deque

from attrs import define, evolve, field

from gentianworks.core.effects.gateway import CallReplica
from gentianworks.core.events.base import Event
from gentianworks.core.events.cold_replicas import ReplicaDisconnected
from gentianworks.core.events.gateway import ReplicaCallFailed, ReplicaFailure
from gentianworks.core.gateway.calls import Call
from gentianworks.core.gateway.replicas import ReplicaName
from gentianworks.tests.gateways import TABLE
from properties.crashing_fleet import CONNECT_TIME, CrashingFleet
from properties.listed_fleet import Platform

COLD_RATE = 12.0  # requests a second
COLD_TABLE = evolve(
    TABLE,
    services=tuple(
        evolve(item, cold_rate=COLD_RATE, cold_time=3.0) for item in TABLE.services
    ),
)
ALLOWED = COLD_RATE * 1.5 + 5  # requests in any second
LIST_LAG = 0.8  # seconds
KNOWN_TIME = 2.3  # seconds; the lag, a fetch interval and a heartbeat interval
ZONES = 3
MAX_CLOSE_TIME = 0.01  # seconds until a router learns of a closed connection


@define
class ColdPeriod:
    """Time in which a replica is cold, and from which its requests are counted."""

    begin: float
    end: float
    counted_from: float

    def is_cold(self, at: float) -> bool:
        """Return whether the replica is cold at a time."""
        return self.begin <= at < self.end


@define
class ColdPlatform(Platform):
    """Platform whose list lags behind the replicas."""

    periods: dict[ReplicaName, ColdPeriod] = field(factory=dict)

    def fetch(self, now: float) -> tuple[float, Event]:
        """Return the outcome of a fetch with the state of a moment ago."""
        for name, period in self.periods.items():
            is_cold = period.is_cold(now - LIST_LAG)
            self.replicas[name] = evolve(self.replicas[name], is_cold=is_cold)
        return super().fetch(now)


@define
class ColdFleet(CrashingFleet):
    """Fleet whose replicas turn cold; none of its calls is deadly."""

    deadly_share: float = 0.0
    replica_count: int = 24
    router_count: int = 28
    calls_per_second: float = 300.0
    platform: ColdPlatform = field(factory=ColdPlatform)
    counted: int = 0  # requests to cold replicas
    highest: int = 0  # requests to one of them in a second
    _recent: dict[ReplicaName, deque[float]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Start the nodes and the replicas, and spread these over zones."""
        super().__attrs_post_init__()
        for number, (name, item) in enumerate(self.platform.replicas.items()):
            zone = f"z{number % ZONES}"
            self.platform.replicas[name] = evolve(item, availability_zone=zone)
        for number in range(self.size, len(self.hosts)):
            self._set_table(number)

    def _set_table(self, number: int) -> None:
        gateway = self.hosts[number].state.gateway
        assert gateway is not None
        gateway.table = COLD_TABLE

    def list_zone(self, zone: str) -> list[ReplicaName]:
        """Return the replicas of a zone."""
        replicas = self.platform.replicas.values()
        return [item.name for item in replicas if item.availability_zone == zone]

    def turn_cold(
        self, names: list[ReplicaName], seconds: float, known_time: float = KNOWN_TIME
    ) -> None:
        """Let replicas be cold from now on."""
        for name in names:
            period = ColdPeriod(self.now, self.now + seconds, self.now + known_time)
            self.platform.periods[name] = period

    def restart_replica(self, name: ReplicaName, seconds: float) -> None:
        """Start a replica again under its name; its connections to routers close."""
        for attempt, call in self.running[name].items():
            failed = ReplicaCallFailed(attempt, ReplicaFailure.CUT, "closed")
            self.schedule(CONNECT_TIME, call.router, failed, 0)
        self.running[name].clear()
        for router in range(self.size, len(self.hosts)):
            delay = self.rng.uniform(0.0, MAX_CLOSE_TIME)
            self.schedule(delay, router, ReplicaDisconnected(name), 0)
        self.turn_cold([name], seconds, 0.0)

    def stop_router(self, number: int) -> None:
        """End a router and its calls."""
        self.hosts[number].is_up = False
        for calls in self.running.values():
            for attempt, call in list(calls.items()):
                if call.router == number:
                    del calls[attempt]

    def restart_router(self, number: int) -> None:
        """Replace a router by one that knows nothing of before."""
        self.stop_router(number)
        self.start_router(number)
        self._set_table(number)

    def send_call(self, call: Call, retries: int) -> None:
        """Send a client's call to a router that runs."""
        numbers = range(self.size, len(self.hosts))
        running = [number for number in numbers if self.hosts[number].is_up]
        self.send_call_to(self.rng.choice(running), call, retries)

    def call_replica(self, router: int, effect: CallReplica) -> None:
        """Let a call reach its replica, and count it if the replica is cold."""
        name = effect.replica.name
        period = self.platform.periods.get(name)
        if period and period.counted_from <= self.now < period.end:
            self._count(name)
        super().call_replica(router, effect)

    def _count(self, name: ReplicaName) -> None:
        recent = self._recent.setdefault(name, deque())
        recent.append(self.now)
        while recent[0] <= self.now - 1.0:
            recent.popleft()
        self.counted += 1
        self.highest = max(self.highest, len(recent))
