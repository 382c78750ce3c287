"""Roster: the leading control host's table of live, leaving and held endpoints."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import takewhile

from attrs import define, evolve, field, frozen

from gentianworks.core.delays import double_delay
from gentianworks.core.events.membership import (
    EndpointState,
    Heartbeat,
    LoadReport,
    PlatformHost,
)
from gentianworks.core.membership.fleet import HEARTBEAT_INTERVAL
from gentianworks.core.types import (
    Configuration,
    Endpoint,
    EndpointName,
    NodeId,
)

HEARTBEAT_TIMEOUT = 2.0  # seconds
LIVENESS_CHECK_INTERVAL = 0.25  # seconds
SETTLE_TIME = 2 * HEARTBEAT_INTERVAL + LIVENESS_CHECK_INTERVAL  # seconds
MIN_HOLD_TIME = 1.0  # seconds
MAX_HOLD_TIME = 60.0  # seconds
STABLE_UPTIME = 60.0  # seconds; a longer uptime resets the count of returns
MAX_PAGE_STATES = 32


@define
class Member:
    """Node of the fleet with its last heartbeat; times are in seconds.

    `return_count` is the number of restarts and recoveries since the node was last up
    for longer than `STABLE_UPTIME`.
    """

    heartbeat: Heartbeat
    last_heartbeat_at: float
    up_since: float
    return_count: int = 0

    def is_live(self, now: float) -> bool:
        """Return whether the node has sent a heartbeat recently."""
        return now - self.last_heartbeat_at < HEARTBEAT_TIMEOUT

    def is_held(self, now: float) -> bool:
        """Return whether the node flaps and must stay up longer to get new work."""
        return now - self.up_since < compute_hold_time(self.return_count)


def compute_hold_time(return_count: int) -> float:
    """Return the seconds for which a node that returned must stay up before new work.

    One restart costs nothing; each later return doubles the time.
    """
    if return_count < 2:
        return 0.0
    return double_delay(MIN_HOLD_TIME, return_count - 2, MAX_HOLD_TIME)


@frozen
class PublishedState:
    """State of an endpoint and the version that introduced it."""

    state: EndpointState
    version: int


@frozen
class ChangesPage:
    """Changed states and the version that a node reaches by applying them."""

    states: tuple[EndpointState, ...]
    version: int


@define
class Roster:
    """Members of the fleet, as the leading control host tracks them.

    `published` is ordered by version, newest last, so that the changes since a version
    are found without scanning the rest.
    """

    epoch: str = ""
    leading_since: float = 0.0
    version: int = 0
    members: dict[NodeId, Member] = field(factory=dict)
    node_by_endpoint: dict[EndpointName, NodeId] = field(factory=dict)
    published: dict[EndpointName, PublishedState] = field(factory=dict)
    leaving_addresses: frozenset[str] = frozenset()

    def begin_epoch(self, epoch: str, now: float) -> None:
        """Reset the roster after this host has become the leader."""
        self.epoch = epoch
        self.leading_since = now
        self.version = 0
        self.members = {}
        self.node_by_endpoint = {}
        self.published = {}

    def has_settled(self, now: float) -> bool:
        """Return whether every live node has had time to find this leader.

        The former leader stopped answering before the election, and a node sends its
        heartbeat to all control hosts after one that was not answered.
        """
        return now - self.leading_since >= SETTLE_TIME

    def record_heartbeat(
        self, heartbeat: Heartbeat, configuration: Configuration, now: float
    ) -> None:
        """Record a heartbeat and publish its endpoint's state if that has changed."""
        member = self.members.get(heartbeat.sender)
        if member is None:
            self.members[heartbeat.sender] = Member(heartbeat, now, up_since=now)
        else:
            self._update_member(member, heartbeat, now)
        endpoint = configuration.find_endpoint_at(
            heartbeat.endpoint, heartbeat.peer_address
        )
        if endpoint is not None:
            self.node_by_endpoint[endpoint.name] = heartbeat.sender
            self._publish(endpoint, now)

    def record_report(self, report: LoadReport) -> None:
        """Record a member's load between heartbeats."""
        member = self.find_member(report.endpoint)
        if member is not None:
            member.heartbeat = evolve(member.heartbeat, load=report.load)

    def _update_member(self, member: Member, heartbeat: Heartbeat, now: float) -> None:
        has_restarted = heartbeat.incarnation != member.heartbeat.incarnation
        if has_restarted or not member.is_live(now):
            was_stable = member.last_heartbeat_at - member.up_since > STABLE_UPTIME
            member.return_count = 1 if was_stable else member.return_count + 1
            member.up_since = now
        member.heartbeat = heartbeat
        member.last_heartbeat_at = now

    def publish_changes(self, configuration: Configuration, now: float) -> None:
        """Publish the state of every endpoint that has changed."""
        for endpoint in configuration.endpoints:
            self._publish(endpoint, now)

    def find_member(self, endpoint: EndpointName) -> Member | None:
        """Return the member that serves an endpoint, or None."""
        return self.members.get(self.node_by_endpoint.get(endpoint, ""))

    def _publish(self, endpoint: Endpoint, now: float) -> None:
        state = self._compute_state(endpoint, now)
        current = self.published.get(endpoint.name)
        if state is None or (current is not None and current.state == state):
            return
        self.version += 1
        self.published.pop(endpoint.name, None)
        self.published[endpoint.name] = PublishedState(state, self.version)

    def _compute_state(self, endpoint: Endpoint, now: float) -> EndpointState | None:
        """Return an endpoint's state, or None if the leader is too new to know it."""
        member = self.find_member(endpoint.name)
        is_leaving = self.is_listed_leaving(endpoint)
        if member is None:
            if now - self.leading_since < 2 * HEARTBEAT_TIMEOUT:
                return None
            return EndpointState(endpoint.name, 0, False, is_leaving)
        return EndpointState(
            endpoint=endpoint.name,
            incarnation=member.heartbeat.incarnation,
            is_live=member.is_live(now),
            is_leaving=is_leaving or member.heartbeat.is_leaving,
            is_held=member.is_held(now),
        )

    def set_platform_hosts(self, hosts: Iterable[PlatformHost]) -> None:
        """Record the hosts that the platform lists as leaving."""
        self.leaving_addresses = frozenset(
            host.address for host in hosts if host.is_leaving
        )

    def is_listed_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether the platform lists an endpoint's host as leaving."""
        host = endpoint.http_address.rpartition(":")[0]
        return not self.leaving_addresses.isdisjoint({host, endpoint.http_address})

    def list_changes(self, epoch: str, version: int) -> tuple[EndpointState, ...]:
        """Return the states that changed since a version; all, if the epoch differs."""
        return tuple(item.state for item in self._list_published(epoch, version))

    def page_changes(self, epoch: str, version: int) -> ChangesPage:
        """Return the oldest changes since a version, one page at most."""
        items = self._list_published(epoch, version)
        page = items[:MAX_PAGE_STATES]
        reached = page[-1].version if len(page) < len(items) else self.version
        return ChangesPage(tuple(item.state for item in page), reached)

    def _list_published(self, epoch: str, version: int) -> list[PublishedState]:
        known = version if epoch == self.epoch else 0
        newest_first = takewhile(
            lambda item: item.version > known, reversed(self.published.values())
        )
        return list(newest_first)[::-1]
