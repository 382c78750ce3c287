"""Replica limits: how many requests a router may send to a replica that limits them.

A limit holds for all routers together, so the leading control host lends shares of it
to a few routers; the others send nothing to the replica. While no host leads, every
router takes the same small share.
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from enum import Enum

from attrs import define, field, frozen

from gentianworks.core.cold_replicas import registry as cold_registry
from gentianworks.core.cold_replicas.registry import ColdReplicas
from gentianworks.core.gateway.notices import ReplicaNotices
from gentianworks.core.gateway.replicas import ListVersion, Replica, ReplicaName
from gentianworks.core.hashing import hash_to_fraction

# Requests a second; a replica that names less still gets requests now and then, since
# only its answers tell that the limit has ended.
MIN_LIMIT = 0.1
END_DELAY = 0.5  # seconds without the limit; answers of one moment overtake each other
CHANGE_TOLERANCE = 0.1  # of the limit; the fleet need not hear of smaller changes
RAISE_DELAY = 5.0  # seconds until a higher limit counts, so that two don't alternate
RENEWAL_TIME = 2.0  # seconds without an answer of a limited replica
TRANSITION_TIME = 2.0  # seconds in which the calls beyond a new limit move elsewhere
BURST_TIME = 1.0  # seconds of a share that may be used at once
LEADER_TIMEOUT = 5.0  # seconds; ten heartbeats
NEWS_LIFETIME = 5.0  # seconds; ten heartbeats
MAX_REPORTED_LIMITS = 64  # in a heartbeat; the next one has the others


@frozen
class ReportedLimit:
    """Limit that a router learned from a replica `age` seconds ago.

    `limit` is in requests a second, None if the replica no longer names one.
    """

    replica: ReplicaName
    limit: float | None
    age: float


@frozen
class LentShare:
    """A replica's limit and the part of it that a router may use.

    Both are in requests a second; `rate` is 0 for a router without a part. `age` is the
    time in seconds since the limit was first named. `is_cold` is set if the limit is
    that of a cold replica, which applies while the router's list says that it is cold.
    """

    replica: ReplicaName
    limit: float
    rate: float
    age: float = 0.0
    is_cold: bool = False


class LimitChange(Enum):
    """Ways in which an answer can change what is known of a replica's limit."""

    NAMED = "named"
    CHANGED = "changed"
    ENDED = "ended"


@define
class RequestTokens:
    """Token bucket of one replica.

    Its first level is under one request, as another router may have had the share, and
    differs between routers, since their shares may begin at the same moment.
    """

    updated_at: float  # seconds
    level: float  # requests

    def refill(self, rate: float, burst_time: float, now: float) -> None:
        """Add the requests that `rate` allows since the last update."""
        added = rate * max(0.0, now - self.updated_at)
        self.level = min(max(1.0, rate * burst_time), self.level + added)
        self.updated_at = now


@define
class LimitNews:
    """Limit that an answer named, None if it ended, until the leader's table has it."""

    limit: float | None
    heard_at: float  # seconds


@define
class NamingTimes:
    """When a replica named its limit; times are in seconds.

    `kept_at` is the last time at which it was named no higher than it counts, and
    `renewal_at` the one at which the replica is to be sent a call, so that its answer
    tells whether the limit still holds.
    """

    named_at: float
    kept_at: float
    renewal_at: float


@define
class ReplicaLimits:
    """A router's knowledge of the replicas that limit their requests.

    `lent` is the leader's table in `version`, `news` what the answers told since.
    `began_at` is the time in seconds at which the replica's first limit began, as the
    leader told it; without that, a limit applies to all calls at once. `lent_cold` is
    the part of the table that is about cold replicas.
    """

    router: str = ""  # name of this router
    version: ListVersion = field(factory=ListVersion)
    lent: dict[ReplicaName, LentShare] = field(factory=dict)
    lent_cold: dict[ReplicaName, LentShare] = field(factory=dict)
    cold: ColdReplicas = field(factory=ColdReplicas)
    news: dict[ReplicaName, LimitNews] = field(factory=dict)
    began_at: dict[ReplicaName, float] = field(factory=dict)
    # Replicas that named a limit which could not be read.
    defective: set[ReplicaName] = field(factory=set)
    is_leader_silent: bool = False
    router_count: int = 1
    _tokens: dict[ReplicaName, RequestTokens] = field(factory=dict)
    _times: dict[ReplicaName, NamingTimes] = field(factory=dict)

    def is_empty(self) -> bool:
        """Return whether this router knows of no limit."""
        return not self.lent and not self.news and not self.cold.limits

    def get_limit(self, name: ReplicaName) -> float | None:
        """Return a replica's limit in requests a second, or None."""
        named, cold = self._get_named_limit(name), self.cold.limits.get(name)
        if named is None or cold is None:
            return named if cold is None else cold
        return min(named, cold)

    def _get_named_limit(self, name: ReplicaName) -> float | None:
        news = self.news.get(name)
        if news is not None:
            return news.limit
        lent = self.lent.get(name)
        return None if lent is None else lent.limit

    def list_limited(self) -> list[ReplicaName]:
        """Return the replicas that name a limit, cold or not."""
        names = dict.fromkeys((*self.lent, *self.news))
        return [name for name in names if self._get_named_limit(name) is not None]

    def get_rate(self, name: ReplicaName) -> float:
        """Return this router's share of a replica's limit, in requests a second."""
        limit = self.get_limit(name)
        if limit is None:
            return float("inf")
        if name in self.cold.limits:
            return self._get_cold_rate(name, limit)
        if self.is_leader_silent:
            return limit / max(1, self.router_count)
        lent = self.lent.get(name)
        return lent.rate if lent is not None else 0.0

    def _get_cold_rate(self, name: ReplicaName, limit: float) -> float:
        """Return the share of a cold replica, which may have just named a limit."""
        if self.is_leader_silent:
            return self.cold.compute_even_rate(limit)
        lent = self.lent_cold.get(name)
        return lent.rate * min(1.0, limit / lent.limit) if lent is not None else 0.0

    def may_send(self, name: ReplicaName, key: str, now: float) -> bool:
        """Return whether this router may send a replica a call now.

        Calls with the same `key` move to other replicas at the same moment.
        """
        limit = self.get_limit(name)
        if limit is None:
            return True
        if name in self.cold.limits and self.is_leader_silent:
            return self.cold.may_take_turn(self.router, name, limit, now)
        moved = self._compute_moved_share(name, now)
        if moved < 1 and hash_to_fraction(f"{name}/{key}") >= moved:
            return True
        return self._may_use_share(name, now)

    def _may_use_share(self, name: ReplicaName, now: float) -> bool:
        return self._refill(name, now).level >= 1

    def is_in_force(self, name: ReplicaName, now: float) -> bool:
        """Return whether a replica has a limit that applies to all of its calls."""
        limit = self.get_limit(name)
        return limit is not None and self._compute_moved_share(name, now) >= 1

    def _compute_moved_share(self, name: ReplicaName, now: float) -> float:
        """Return the share of the calls that a limit applies to by now."""
        if name in self.cold.limits:
            return 1.0
        began_at = self.began_at.get(name, float("-inf"))
        return min(1.0, max(0.0, now - began_at) / TRANSITION_TIME)

    def record_sent(self, name: ReplicaName, now: float) -> None:
        """Use one request of this router's share."""
        limit = self.cold.limits.get(name)
        if limit is not None:
            limit = self.get_limit(name) or limit
            self.cold.record_turn(self.router, name, limit, now)
        self._refill(name, now).level -= 1
        if self._get_named_limit(name) is not None:
            self._get_times(name, now).renewal_at = now + RENEWAL_TIME

    def _get_times(self, name: ReplicaName, now: float) -> NamingTimes:
        """Return the times of a limit, which counts as named now if it is new."""
        times = self._times.get(name)
        if times is None:
            times = self._times[name] = NamingTimes(now, now, now + RENEWAL_TIME)
        return times

    def is_renewal_due(self, name: ReplicaName, now: float) -> bool:
        """Return whether a replica is to be asked whether its limit still holds."""
        times = self._times.get(name)
        if times is None or now < times.renewal_at:
            return False
        return self.is_in_force(name, now) and self._may_use_share(name, now)

    def compute_wait(self, names: Iterable[ReplicaName], now: float) -> float:
        """Return the seconds until the first of some replicas may get a request."""
        waits = [float("inf")]
        for name in names:
            rate, limit = self.get_rate(name), self.cold.limits.get(name)
            if limit is not None and self.is_leader_silent:
                limit = self.get_limit(name) or limit
                waits.append(self.cold.compute_turn_wait(self.router, name, limit, now))
            elif rate > 0:
                waits.append(max(0.0, 1 - self._refill(name, now).level) / rate)
        return min(waits)

    def _refill(self, name: ReplicaName, now: float) -> RequestTokens:
        tokens = self._tokens.get(name)
        if tokens is None:
            level = hash_to_fraction(f"{self.router}/{name}")
            tokens = self._tokens[name] = RequestTokens(now, level)
        is_cold = name in self.cold.limits
        burst_time = cold_registry.BURST_TIME if is_cold else BURST_TIME
        tokens.refill(self.get_rate(name), burst_time, now)
        return tokens

    def _refill_all(self, now: float) -> None:
        """Fill the buckets at the present rates, before these change."""
        for name in self._tokens:
            self._refill(name, now)

    def update_leader_contact(self, is_silent: bool, now: float) -> None:
        """Update whether the leader's shares are out of date."""
        if is_silent != self.is_leader_silent:
            self._refill_all(now)
            self.is_leader_silent = is_silent
            if is_silent:
                self.cold.begin_turns(now)
            for name in self.cold.limits if not is_silent else ():
                self._begin_moved_share(name, now)

    def record_notices(
        self, replica: Replica, notices: ReplicaNotices, now: float
    ) -> LimitChange | None:
        """Record whether an answer names a limit, and return what this changes."""
        name, known = replica.name, self._get_named_limit(replica.name)
        if notices.request_limit is not None:
            limit = max(MIN_LIMIT, notices.request_limit)
            times = self._get_times(name, now)
            times.named_at = now
            times.renewal_at = now + RENEWAL_TIME
            if known is not None and not _is_changed(limit, known, times, now):
                return None
            times.kept_at = now
            self._refill_all(now)
            self.news[name] = LimitNews(limit, now)
            return LimitChange.NAMED if known is None else LimitChange.CHANGED
        if known is None or notices.defect:
            return None
        times = self._get_times(name, now)
        if now < times.named_at + END_DELAY:
            times.renewal_at = times.named_at + END_DELAY
            return None
        self._set_unlimited(name)
        self.news[name] = LimitNews(None, now)
        return LimitChange.ENDED

    def _set_unlimited(self, name: ReplicaName) -> None:
        self._times.pop(name, None)
        # The share of a cold replica goes on, and a new bucket would be a burst.
        if name not in self.cold.limits:
            self._tokens.pop(name, None)

    def update_cold(
        self,
        limits: dict[ReplicaName, float],
        listed: Mapping[ReplicaName, Replica],
        now: float,
    ) -> tuple[list[ReplicaName], list[ReplicaName]]:
        """Replace the cold replicas; return those that became cold, and warm."""
        if limits == self.cold.limits:
            return [], []
        self._refill_all(now)
        cold, warm = self.cold.update(limits, listed, now)
        for name in (*cold, *warm):
            self._tokens.pop(name, None)
        return cold, warm

    def list_reports(self, now: float) -> tuple[ReportedLimit, ...]:
        """Return the limits to report to the leader with a heartbeat."""
        reports = tuple(
            ReportedLimit(name, news.limit, now - news.heard_at)
            for name, news in self.news.items()
        )
        return reports[:MAX_REPORTED_LIMITS]

    def confirm(
        self, version: ListVersion, shares: tuple[LentShare, ...], now: float
    ) -> None:
        """Apply a leader's answer; `shares` is its whole table if it is a newer one.

        A new leader that has no table yet learns the limits from the routers.
        """
        if version.term > self.version.term and not version.number:
            self.version = ListVersion(version.term)
            for name, share in self.lent.items():
                heard_at = self.began_at.get(name, now)
                self.news.setdefault(name, LimitNews(share.limit, heard_at))
        elif version > self.version:
            self.version = version
            self._replace_table(shares, now)
        for name, news in list(self.news.items()):
            lent = self.lent.get(name)
            known = lent.limit if lent is not None else None
            is_old = now - news.heard_at > NEWS_LIFETIME
            if self.version.number and (known == news.limit or is_old):
                del self.news[name]

    def retain_listed(self, names: Container[ReplicaName]) -> None:
        """Forget what was known of replicas that the list has no more."""
        self.defective = {name for name in self.defective if name in names}
        for name in list(self.began_at):
            if name not in names:
                del self.began_at[name]
        for name in list(self._tokens):
            if name not in names and self.get_limit(name) is None:
                del self._tokens[name]

    def _replace_table(self, shares: tuple[LentShare, ...], now: float) -> None:
        self._refill_all(now)
        before = set(self.list_limited())
        self.lent = {item.replica: item for item in shares if not item.is_cold}
        self._replace_cold_shares({x.replica: x for x in shares if x.is_cold}, now)
        limited = set(self.list_limited())
        for name in limited:
            self._get_times(name, now)
        for share in self.lent.values():
            began_at = now - share.age
            known = self.began_at.setdefault(share.replica, began_at)
            self.began_at[share.replica] = min(known, began_at)
            self._refill(share.replica, now)
        for name in before - limited:
            self._set_unlimited(name)

    def _replace_cold_shares(
        self, shares: dict[ReplicaName, LentShare], now: float
    ) -> None:
        """Replace the shares of cold replicas."""
        known, self.lent_cold = self.lent_cold, shares
        for name, share in shares.items():
            before = known.get(name)
            self._refill(name, now)
            if before is not None and share.rate and not before.rate:
                self._begin_moved_share(name, now)

    def _begin_moved_share(self, name: ReplicaName, now: float) -> None:
        """Begin a share of a cold replica that others have just used."""
        level = hash_to_fraction(f"{self.router}/{name}")
        level -= self.get_rate(name) * cold_registry.HANDOVER_TIME
        self._tokens[name] = RequestTokens(now, level)


def _is_changed(limit: float, known: float, times: NamingTimes, now: float) -> bool:
    """Return whether a named limit replaces the known one."""
    if limit > known * (1 + CHANGE_TOLERANCE):
        return now - times.kept_at >= RAISE_DELAY
    times.kept_at = now
    return limit < known * (1 - CHANGE_TOLERANCE)
