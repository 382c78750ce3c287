"""Limit shares: the leading control host divides replicas' limits among routers.

A limit is lent to a few routers, one for each request a second, so that every share
allows a request now and then, and the bursts of all shares together stay small.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from attrs import define, field, frozen

from gentianworks.core.cold_replicas.registry import ColdRates, list_cold_limits
from gentianworks.core.gateway.replicas import ListVersion, Replica, ReplicaName
from gentianworks.core.request_limits.replica_limits import (
    END_DELAY,
    LentShare,
    ReportedLimit,
)
from gentianworks.core.routing.placement import order_by_score
from gentianworks.core.types import ServiceName

SETTLE_TIME = 1.0  # seconds; two heartbeats, after which a new leader knows the routers
MIN_SHARE = 1.0  # requests a second, of a limit that has several shares
MAX_ASSIGNMENTS = 16  # limits at a time; one takes 1.5 ms with 1,700 routers
ENDED_LIFETIME = 60.0  # seconds; reports that are still under way are younger


EntryKey = tuple[ReplicaName, bool]  # the flag is set for the limit of a cold replica


@frozen
class ShareHolder:
    """Router that may hold shares; `name` is its peer address."""

    name: str


@define
class LimitEntry:
    """Limit of one replica, in requests a second, and the routers that share it.

    `began_at` is the time in seconds at which the replica first named a limit,
    `named_at` that of the last report of it.
    """

    limit: float
    began_at: float
    named_at: float
    holders: tuple[str, ...] = ()

    def get_rate(self, address: str) -> float:
        """Return a router's share, in requests a second."""
        return self.limit / len(self.holders) if address in self.holders else 0.0


@define
class LimitTable:
    """Limits of the replicas that name one, and their shares; times are in seconds.

    `ended_at` tells when limits ended, so that an older report does not renew them.
    """

    version: ListVersion = field(factory=ListVersion)
    began_at: float = 0.0
    entries: dict[ReplicaName, LimitEntry] = field(factory=dict)
    ended_at: dict[ReplicaName, float] = field(factory=dict)
    routers: dict[str, ShareHolder] = field(factory=dict)
    cold_rates: ColdRates = field(factory=ColdRates)
    cold_limits: dict[ReplicaName, float] = field(factory=dict)
    _cold_entries: dict[ReplicaName, LimitEntry] = field(factory=dict)
    # List and cold rates from which `cold_limits` were computed.
    _cold_source: tuple[ListVersion, ColdRates] | None = None
    _is_outdated: bool = False
    # Limit and holders, as they are in `version`.
    _assigned: dict[EntryKey, tuple[float, tuple[str, ...]]] = field(factory=dict)

    def begin_term(self, term: int, now: float) -> None:
        """Begin with an empty table, after this host has become the leader."""
        self.version = ListVersion(term)
        self.began_at = now
        self.entries.clear()
        self.ended_at.clear()
        self.routers.clear()
        self.cold_rates = ColdRates()
        self.cold_limits = {}
        self._cold_entries.clear()
        self._cold_source = None
        self._assigned = {}
        self._is_outdated = False

    def record_router(self, address: str, is_leaving: bool) -> None:
        """Record that a router lives; one that is leaving gets no share."""
        if is_leaving:
            self.remove_router(address)
        elif address not in self.routers:
            self.routers[address] = ShareHolder(address)
            self._is_outdated = True

    def remove_router(self, address: str) -> None:
        """Take back the shares of a router that is silent or leaving."""
        if self.routers.pop(address, None) is not None:
            self._is_outdated = True

    def record_reports(self, reports: tuple[ReportedLimit, ...], now: float) -> None:
        """Record what a router has heard of limits."""
        for report in reports:
            heard_at = now - report.age
            known = self.entries.get(report.replica)
            if report.limit is None:
                self._record_end(report.replica, heard_at)
            elif known is not None:
                known.began_at = min(known.began_at, heard_at)
                if heard_at >= known.named_at and report.limit != known.limit:
                    known.limit, known.named_at = report.limit, heard_at
                    self._is_outdated = True
            elif heard_at > self.ended_at.get(report.replica, float("-inf")):
                self.entries[report.replica] = LimitEntry(
                    report.limit, heard_at, heard_at
                )
                self._is_outdated = True

    def _record_end(self, name: ReplicaName, ended_at: float) -> None:
        known = self.entries.get(name)
        if known is None:
            self.ended_at[name] = max(ended_at, self.ended_at.get(name, ended_at))
        elif ended_at >= known.named_at + END_DELAY:
            del self.entries[name]
            self.ended_at[name] = ended_at
            self._is_outdated = True

    def retain_listed(
        self, replicas: Mapping[ReplicaName, Replica], now: float
    ) -> None:
        """Remove the limits of replicas that the list no longer has."""
        for name in list(self.entries) if replicas else []:
            if name not in replicas:
                del self.entries[name]
                self._is_outdated = True
        for name, ended_at in list(self.ended_at.items()):
            if now - ended_at > ENDED_LIFETIME:
                del self.ended_at[name]

    def record_cold_rates(self, rates: ColdRates) -> None:
        """Record the cold rates of a router's route table, unless it is older."""
        if rates.revision >= self.cold_rates.revision:
            self.cold_rates = rates

    def update_cold(
        self, replicas: Mapping[ReplicaName, Replica], version: ListVersion
    ) -> None:
        """Apply a version of the list to the limits of cold replicas."""
        source = (version, self.cold_rates)
        if source == self._cold_source:
            return
        self._cold_source = source
        rates = {item.service: item.rate for item in self.cold_rates.rates}
        limits = list_cold_limits(replicas.values(), rates)
        if limits != self.cold_limits:
            self.cold_limits = limits
            self._is_outdated = True

    def is_settled(self, now: float) -> bool:
        """Return whether this leader has led long enough to know the routers."""
        return now - self.began_at >= SETTLE_TIME

    def list_shares(
        self,
        address: str,
        known: ListVersion,
        replicas: Mapping[ReplicaName, Replica],
        now: float,
    ) -> tuple[LentShare, ...]:
        """Return a router's table, or nothing if it knows the current version."""
        if not self.is_settled(now):
            return ()
        if self._is_outdated:
            self._assign(replicas)
        if known == self.version:
            return ()
        return tuple(
            LentShare(
                name, item.limit, item.get_rate(address), now - item.began_at, is_cold
            )
            for (name, is_cold), item in self._list_entries().items()
        )

    def _list_entries(self) -> dict[EntryKey, LimitEntry]:
        return {
            **{(name, False): item for name, item in self.entries.items()},
            **{(name, True): item for name, item in self._cold_entries.items()},
        }

    def _update_cold_entries(self) -> None:
        """Limit each cold replica to its cold limit, or to the lower one it names."""
        known, self._cold_entries = self._cold_entries, {}
        for name, cold_limit in self.cold_limits.items():
            named = self.entries.get(name)
            limit = min(cold_limit, named.limit) if named else cold_limit
            entry = known.get(name) or LimitEntry(limit, self.began_at, self.began_at)
            entry.limit = limit
            self._cold_entries[name] = entry

    def _assign(self, replicas: Mapping[ReplicaName, Replica]) -> None:
        """Lend the limits to routers; a router keeps a share that it has."""
        self._update_cold_entries()
        entries, wanted = self._list_entries(), {}
        counts: Counter[tuple[ServiceName, str]] = Counter()
        for key, entry in entries.items():
            count = max(1, min(len(self.routers), int(entry.limit / MIN_SHARE)))
            kept = [item for item in entry.holders if item in self.routers]
            entry.holders = tuple(kept[:count])
            wanted[key] = count - len(entry.holders)
            service = _find_service(key[0], replicas)
            counts.update((service, item) for item in entry.holders)
        missing = sorted(item for item in wanted if wanted[item])
        self._is_outdated = len(missing) > MAX_ASSIGNMENTS
        for key in missing[:MAX_ASSIGNMENTS]:
            entry, service = entries[key], _find_service(key[0], replicas)
            added = self._choose_holders(key[0], entry, service, counts)[: wanted[key]]
            entry.holders = (*entry.holders, *added)
            counts.update((service, item) for item in added)
        shares = {key: (item.limit, item.holders) for key, item in entries.items()}
        if shares != self._assigned:
            self._assigned = shares
            self.version = ListVersion(self.version.term, self.version.number + 1)

    def _choose_holders(
        self,
        name: ReplicaName,
        entry: LimitEntry,
        service: ServiceName,
        counts: Counter[tuple[ServiceName, str]],
    ) -> list[str]:
        """Return the routers in the order in which they get a new share.

        Those with few shares of the service come first, so that as many as possible can
        serve some calls if all its replicas limit their requests.
        """
        holders = entry.holders
        free = [item for item in self.routers.values() if item.name not in holders]
        ordered = order_by_score(name, free)
        return sorted(
            (item.name for item in ordered), key=lambda item: counts[service, item]
        )


def _find_service(
    name: ReplicaName, replicas: Mapping[ReplicaName, Replica]
) -> ServiceName:
    replica = replicas.get(name)
    return replica.service if replica is not None else ""
