"""Loads: what routers and the leader tell each other of busy replicas."""

from __future__ import annotations

from attrs import define, field, frozen

from gentianworks.core.gateway.replicas import REPORTED_LOAD_LIFETIME, ReplicaName
from gentianworks.core.types import ServiceName

MEAN_WEIGHT = 0.1  # of each new load; averages over some ten answers
MAX_SENT_LOADS = 64  # in a message; those with the most calls


@frozen
class SharedLoad:
    """Number of calls that a replica reported `age` seconds ago.

    A replica that is not busy is told once, so that it is no longer listed.
    """

    replica: ReplicaName
    calls: int
    age: float
    is_busy: bool = True


@frozen
class TimedLoad:
    """Number of calls that a replica reported at a time in seconds."""

    calls: int
    at: float


@define
class BusyTable:
    """The leader's busy replicas with the latest load that any router has reported."""

    loads: dict[ReplicaName, TimedLoad] = field(factory=dict)

    def clear(self) -> None:
        """Begin with an empty table, after this host has become the leader."""
        self.loads.clear()

    def record(self, reports: tuple[SharedLoad, ...], now: float) -> None:
        """Store the loads of a router that are newer than the known ones."""
        for report in reports:
            load = TimedLoad(report.calls, now - report.age)
            known = self.loads.get(report.replica)
            if known is not None and known.at >= load.at:
                continue
            if report.is_busy:
                self.loads[report.replica] = load
            else:
                self.loads.pop(report.replica, None)

    def list_busy(self, now: float) -> tuple[SharedLoad, ...]:
        """Return the busy replicas, those with the most calls first."""
        self.loads = {
            name: load
            for name, load in self.loads.items()
            if now - load.at < REPORTED_LOAD_LIFETIME
        }
        busiest = sorted(self.loads.items(), key=lambda item: -item[1].calls)
        return tuple(
            SharedLoad(name, load.calls, now - load.at)
            for name, load in busiest[:MAX_SENT_LOADS]
        )


@define
class KnownBusy:
    """A router's busy replicas, and the loads that it has yet to tell the leader.

    `mean_loads` are running means, by service, of the calls that answers have told.
    """

    names: frozenset[ReplicaName] = frozenset()
    mean_loads: dict[ServiceName, float] = field(factory=dict)
    _unsent: dict[ReplicaName, tuple[TimedLoad, bool]] = field(factory=dict)

    def update_mean(self, service: ServiceName, calls: int) -> None:
        """Add a load to the mean of a service."""
        mean = self.mean_loads.get(service, float(calls))
        self.mean_loads[service] = mean + MEAN_WEIGHT * (calls - mean)

    def record(
        self, replica: ReplicaName, calls: int, is_busy: bool, now: float
    ) -> None:
        """Keep the load of a replica that is busy, or was, for the next heartbeat."""
        if is_busy or replica in self.names:
            self._unsent[replica] = (TimedLoad(calls, now), is_busy)
        else:
            self._unsent.pop(replica, None)

    def take_reports(self, now: float) -> tuple[SharedLoad, ...]:
        """Return the loads since the last call, those with the most calls first."""
        taken, self._unsent = self._unsent, {}
        reports = [
            SharedLoad(name, load.calls, now - load.at, is_busy)
            for name, (load, is_busy) in taken.items()
            if now - load.at < REPORTED_LOAD_LIFETIME
        ]
        reports.sort(key=lambda item: -item.calls)
        return tuple(reports[:MAX_SENT_LOADS])
