"""Roster: how the leading control host tells which endpoints are live."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import takewhile

from attrs import define, evolve, field, frozen

from gentianworks.core.events.membership import (
    EndpointState,
    Heartbeat,
    LoadReport,
    PlatformHost,
)
from gentianworks.core.membership.membership import HEARTBEAT_INTERVAL
from gentianworks.core.types import (
    Configuration,
    Endpoint,
    EndpointName,
    NodeId,
)

HEARTBEAT_TIMEOUT = 2.0  # seconds
SWEEP_INTERVAL = 0.25  # seconds
SETTLE_TIME = 2 * HEARTBEAT_INTERVAL + SWEEP_INTERVAL
FIRST_HOLD = 1.0  # seconds
MAX_HOLD = 60.0  # seconds
FLAP_MEMORY = 60.0  # seconds
PAGE_STATES = 32


@define
class Member:
    """Hold the last heartbeat of one node; times are in seconds.

    `returns` counts how often it has come back since it last stayed up long.
    """

    heartbeat: Heartbeat
    heard_at: float
    up_since: float
    returns: int = 0

    def is_live(self, now: float) -> bool:
        """Tell whether the node has been heard lately."""
        return now - self.heard_at < HEARTBEAT_TIMEOUT

    def is_held(self, now: float) -> bool:
        """Tell whether the node has come back too often to be given new work yet."""
        return now - self.up_since < compute_hold(self.returns)


def compute_hold(returns: int) -> float:
    """Return the seconds for which a node that came back must stay up first.

    One restart costs nothing; each return after it doubles the time.
    """
    if returns < 2:
        return 0.0
    return min(MAX_HOLD, FIRST_HOLD * 2.0 ** (returns - 2))


@frozen
class PublishedState:
    """Hold an endpoint's state and the version that brought it."""

    state: EndpointState
    version: int


@frozen
class ChangesPage:
    """Hold changed states and the version that a node reaches with them."""

    states: tuple[EndpointState, ...]
    version: int


@define
class Roster:
    """Hold the members of the fleet at the control host that leads.

    `published` is in the order of its versions, the newest last, so that what
    changed since a version is found without looking at the rest.
    """

    epoch: str = ""
    led_since: float = 0.0
    version: int = 0
    members: dict[NodeId, Member] = field(factory=dict)
    node_of_endpoint: dict[EndpointName, NodeId] = field(factory=dict)
    published: dict[EndpointName, PublishedState] = field(factory=dict)
    platform_leaving: frozenset[str] = frozenset()

    def begin_epoch(self, epoch: str, now: float) -> None:
        """Start anew after this host has come to lead."""
        self.epoch = epoch
        self.led_since = now
        self.version = 0
        self.members = {}
        self.node_of_endpoint = {}
        self.published = {}

    def has_settled(self, now: float) -> bool:
        """Tell whether every live node has had time to turn to this leader.

        The former leader stopped answering before the election, and nodes turn to all
        control hosts after one heartbeat that is not answered.
        """
        return now - self.led_since >= SETTLE_TIME

    def hear(
        self, heartbeat: Heartbeat, configuration: Configuration, now: float
    ) -> None:
        """Note a heartbeat and publish its endpoint's state if that has changed."""
        member = self.members.get(heartbeat.sender)
        if member is None:
            self.members[heartbeat.sender] = Member(heartbeat, now, up_since=now)
        else:
            self._renew(member, heartbeat, now)
        endpoint = configuration.find_endpoint_at(
            heartbeat.endpoint, heartbeat.peer_address
        )
        if endpoint is not None:
            self.node_of_endpoint[endpoint.name] = heartbeat.sender
            self._publish(endpoint, now)

    def hear_report(self, report: LoadReport) -> None:
        """Note a member's load between heartbeats."""
        member = self.find_member(report.endpoint)
        if member is not None:
            member.heartbeat = evolve(member.heartbeat, load=report.load)

    def _renew(self, member: Member, heartbeat: Heartbeat, now: float) -> None:
        has_restarted = heartbeat.incarnation != member.heartbeat.incarnation
        if has_restarted or not member.is_live(now):
            was_stable = member.heard_at - member.up_since > FLAP_MEMORY
            member.returns = 1 if was_stable else member.returns + 1
            member.up_since = now
        member.heartbeat = heartbeat
        member.heard_at = now

    def sweep(self, configuration: Configuration, now: float) -> None:
        """Publish every change that time has brought."""
        for endpoint in configuration.endpoints:
            self._publish(endpoint, now)

    def find_member(self, endpoint: EndpointName) -> Member | None:
        """Return the member that serves an endpoint, or None."""
        return self.members.get(self.node_of_endpoint.get(endpoint, ""))

    def _publish(self, endpoint: Endpoint, now: float) -> None:
        state = self._judge(endpoint, now)
        present = self.published.get(endpoint.name)
        if state is None or (present is not None and present.state == state):
            return
        self.version += 1
        self.published.pop(endpoint.name, None)
        self.published[endpoint.name] = PublishedState(state, self.version)

    def _judge(self, endpoint: Endpoint, now: float) -> EndpointState | None:
        """Return an endpoint's state, None where it is too early to tell."""
        member = self.find_member(endpoint.name)
        is_leaving = self.is_listed_leaving(endpoint)
        if member is None:
            if now - self.led_since < 2 * HEARTBEAT_TIMEOUT:
                return None
            return EndpointState(endpoint.name, 0, False, is_leaving)
        return EndpointState(
            endpoint=endpoint.name,
            incarnation=member.heartbeat.incarnation,
            is_live=member.is_live(now),
            is_leaving=is_leaving or member.heartbeat.is_leaving,
            is_held=member.is_held(now),
        )

    def take_hosts(self, hosts: Iterable[PlatformHost]) -> None:
        """Note which hosts the platform lists as leaving."""
        self.platform_leaving = frozenset(
            host.address for host in hosts if host.is_leaving
        )

    def is_listed_leaving(self, endpoint: Endpoint) -> bool:
        """Tell whether the platform lists an endpoint's host as leaving."""
        host = endpoint.http_address.rpartition(":")[0]
        return not self.platform_leaving.isdisjoint({host, endpoint.http_address})

    def list_changes(self, epoch: str, version: int) -> tuple[EndpointState, ...]:
        """Return the states that changed since a version, all for another epoch."""
        return tuple(item.state for item in self._list_published(epoch, version))

    def page_changes(self, epoch: str, version: int) -> ChangesPage:
        """Return the oldest of the changes since a version, up to a page."""
        items = self._list_published(epoch, version)
        page = items[:PAGE_STATES]
        reached = page[-1].version if len(page) < len(items) else self.version
        return ChangesPage(tuple(item.state for item in page), reached)

    def _list_published(self, epoch: str, version: int) -> list[PublishedState]:
        known = version if epoch == self.epoch else 0
        newest_first = takewhile(
            lambda item: item.version > known, reversed(self.published.values())
        )
        return list(newest_first)[::-1]
