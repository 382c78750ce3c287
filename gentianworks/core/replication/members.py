"""Members: the control hosts of a group, and its next membership change."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator
from functools import singledispatch

from attrs import evolve, frozen

HostId = str
GroupId = str


@frozen
class ControlMember:
    """Control host, identified by its data folder; a learner has no vote.

    A host without a disk does not keep its data, and stays a learner.
    """

    host: HostId
    peer_address: str
    is_learner: bool = False
    keeps_data: bool = True


@frozen
class Membership:
    """Members of a control group, which has none until it is formed."""

    group: GroupId = ""
    members: tuple[ControlMember, ...] = ()

    def find(self, host: HostId) -> ControlMember | None:
        """Return the member with the identity `host`, or None."""
        return next((item for item in self.members if item.host == host), None)

    def list_voters(self) -> tuple[HostId, ...]:
        """Return the members with a vote."""
        return tuple(item.host for item in self.members if not item.is_learner)

    def list_peers(self, host: HostId) -> tuple[ControlMember, ...]:
        """Return the members other than `host`."""
        return tuple(item for item in self.members if item.host != host)

    def has_quorum(self, hosts: Collection[HostId]) -> bool:
        """Return whether `hosts` include a majority of the voters."""
        voters = self.list_voters()
        return sum(voter in hosts for voter in voters) > len(voters) // 2


def compute_quorum_value(values: Iterable[float]) -> float:
    """Return the highest value that a majority of the voters has reached."""
    ordered = sorted(values, reverse=True)
    return ordered[len(ordered) // 2]


def compute_required_voters(tolerated_losses: int) -> int:
    """Return the number of voters of which a majority survives the tolerated losses."""
    return 2 * tolerated_losses + 1


@frozen
class ListedHostsPolicy:
    """Policy that admits only the hosts at the addresses in the settings."""

    addresses: tuple[str, ...]

    @property
    def voter_count(self) -> int:
        """Return the number of voters that the group needs."""
        return len(self.addresses)


@frozen
class DiscoveredHostsPolicy:
    """Policy that admits every host that discovers the group.

    A learner gets a vote while fewer than `voter_count` voters respond. Voters beyond
    `voter_count` are removed, unresponsive ones first.
    """

    voter_count: int


MembershipPolicy = ListedHostsPolicy | DiscoveredHostsPolicy


@frozen
class GroupView:
    """Leader's view of the members of its group.

    `caught_up` are the hosts in contact whose log is complete, with the leader;
    `superseded` are the identities whose host has come back with a new data folder.
    """

    leader: HostId
    caught_up: frozenset[HostId]
    unresponsive: frozenset[HostId] = frozenset()
    superseded: frozenset[HostId] = frozenset()

    def compute_spare_voters(self, membership: Membership) -> int:
        """Return how many more voters may lose their data; negative without quorum."""
        voters = membership.list_voters()
        remaining = [host for host in voters if host not in self.superseded]
        return len(remaining) - (len(voters) // 2 + 1)


def plan_change(
    current: Membership,
    view: GroupView,
    policy: MembershipPolicy,
    joining: Iterable[ControlMember],
) -> Membership | None:
    """Return the membership after the next single change, or None.

    `joining` are the hosts that request to join, as learners.
    """
    for learner in joining:
        if admits(policy, learner.peer_address) and current.find(learner.host) is None:
            return _add_learner(current, learner)
    changes = _list_changes(current, view, policy)
    allowed = (item for item in changes if may_change(current, item, view, policy))
    return next(allowed, None)


def may_change(
    current: Membership,
    planned: Membership,
    view: GroupView,
    policy: MembershipPolicy,
) -> bool:
    """Return whether the group stays recoverable if the planned change is appended.

    A membership is in force from its place in the leader's log, before any other host
    has it. So its quorum has to be at hand, and it has to bear as many lost disks as
    the current one, or as the policy asks for.
    """
    tolerated = (policy.voter_count - 1) // 2
    needed = min(view.compute_spare_voters(current), tolerated)
    return (
        planned.has_quorum(view.caught_up)
        and view.compute_spare_voters(planned) >= needed
    )


@singledispatch
def admits(policy: MembershipPolicy, address: str) -> bool:
    """Return whether a host at an address may join."""
    raise NotImplementedError(
        f"No admits for {type(policy).__name__}; register one with admits.register."
    )


@admits.register
def _(policy: ListedHostsPolicy, address: str) -> bool:
    return address in policy.addresses


@admits.register
def _(policy: DiscoveredHostsPolicy, address: str) -> bool:
    return True


@singledispatch
def needs_voter(policy: MembershipPolicy, current: Membership, view: GroupView) -> bool:
    """Return whether a further learner may get a vote."""
    return True


@needs_voter.register
def _(policy: DiscoveredHostsPolicy, current: Membership, view: GroupView) -> bool:
    responsive = set(current.list_voters()) - view.unresponsive
    return len(responsive) < policy.voter_count


@singledispatch
def list_surplus_members(
    policy: MembershipPolicy, current: Membership, view: GroupView
) -> list[HostId]:
    """Return the members that the group can do without, the preferred ones first."""
    raise NotImplementedError(
        f"No list_surplus_members for {type(policy).__name__}; "
        f"register one with list_surplus_members.register."
    )


@list_surplus_members.register
def _(policy: ListedHostsPolicy, current: Membership, view: GroupView) -> list[HostId]:
    if len(current.members) <= len(policy.addresses):
        return []
    return [
        member.host
        for member in current.members
        if member.peer_address not in policy.addresses
    ]


@list_surplus_members.register
def _(
    policy: DiscoveredHostsPolicy, current: Membership, view: GroupView
) -> list[HostId]:
    silent_learners = [
        member.host
        for member in current.members
        if member.is_learner and member.host in view.unresponsive
    ]
    voters = current.list_voters()
    if len(voters) <= policy.voter_count:
        return silent_learners
    newest_first = reversed(voters)
    silent_first = sorted(newest_first, key=lambda host: host not in view.unresponsive)
    return [*silent_first, *silent_learners]


def _list_changes(
    current: Membership, view: GroupView, policy: MembershipPolicy
) -> Iterator[Membership]:
    """Yield the changes that would improve the group, best first.

    A silent voter may come back with its data, so its replacement gets a vote before
    the silent one loses it. A superseded one is gone, so it is removed first; until it
    is known to be, its successor at the same address waits.
    """
    removable = [host for host in current.list_voters() if host != view.leader]
    for host in removable:
        if host in view.superseded:
            yield _remove_member(current, host)
    taken = {item.peer_address for item in current.members if not item.is_learner}
    for member in current.members:
        is_candidate = member.is_learner and member.keeps_data
        if (
            is_candidate
            and member.host in view.caught_up
            and member.peer_address not in taken
            and needs_voter(policy, current, view)
        ):
            yield _promote_learner(current, member)
    for host in list_surplus_members(policy, current, view):
        if host != view.leader:
            yield _remove_member(current, host)


def _add_learner(current: Membership, learner: ControlMember) -> Membership:
    kept = tuple(
        item
        for item in current.members
        if not (item.is_learner and item.peer_address == learner.peer_address)
    )
    return evolve(current, members=(*kept, learner))


def _promote_learner(current: Membership, learner: ControlMember) -> Membership:
    members = tuple(
        evolve(item, is_learner=False) if item.host == learner.host else item
        for item in current.members
    )
    return evolve(current, members=members)


def _remove_member(current: Membership, host: HostId) -> Membership:
    members = tuple(item for item in current.members if item.host != host)
    return evolve(current, members=members)
