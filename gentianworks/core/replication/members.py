"""Members: the control hosts of a group, and its next membership change."""

from __future__ import annotations

from collections.abc import Collection, Iterable
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


@frozen
class DiscoveredHostsPolicy:
    """Policy that admits every host that discovers the group.

    A learner gets a vote while there are fewer than `voter_count` voters, or in place
    of an unresponsive voter. Unresponsive voters beyond `voter_count` are removed
    without a replacement.
    """

    unresponsive: frozenset[HostId]
    voter_count: int


MembershipPolicy = ListedHostsPolicy | DiscoveredHostsPolicy


def plan_change(
    current: Membership,
    leader: HostId,
    policy: MembershipPolicy,
    joining: Iterable[ControlMember],
    caught_up: Collection[HostId],
) -> Membership | None:
    """Return the membership after the next single change, or None.

    `joining` are the hosts that request to join, as learners; `caught_up` are the
    members whose log is complete.
    """
    for learner in joining:
        if admits(policy, learner.peer_address) and current.find(learner.host) is None:
            return _add_learner(current, learner)
    for member in current.members:
        is_candidate = member.is_learner and member.keeps_data
        if is_candidate and member.host in caught_up:
            changed = _promote_learner(current, member, leader, policy)
            if changed is not None:
                return changed
    removed = choose_removed_member(policy, current, leader)
    return _remove_member(current, removed) if removed else None


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
def has_voter_vacancy(policy: MembershipPolicy, current: Membership) -> bool:
    """Return whether a further learner may get a vote."""
    return True


@has_voter_vacancy.register
def _(policy: DiscoveredHostsPolicy, current: Membership) -> bool:
    return len(current.list_voters()) < policy.voter_count


@singledispatch
def choose_replaced_voter(policy: MembershipPolicy, current: Membership) -> HostId:
    """Return the voter at another address that a new voter replaces, or ""."""
    return ""


@choose_replaced_voter.register
def _(policy: DiscoveredHostsPolicy, current: Membership) -> HostId:
    candidates = [host for host in current.list_voters() if host in policy.unresponsive]
    return candidates[0] if candidates else ""


@singledispatch
def choose_removed_member(
    policy: MembershipPolicy, current: Membership, leader: HostId
) -> HostId:
    """Return the member to remove without a replacement, or ""."""
    raise NotImplementedError(
        f"No choose_removed_member for {type(policy).__name__}; "
        f"register one with choose_removed_member.register."
    )


@choose_removed_member.register
def _(policy: ListedHostsPolicy, current: Membership, leader: HostId) -> HostId:
    for member in current.members:
        is_unlisted = member.peer_address not in policy.addresses
        has_room = len(current.members) > len(policy.addresses)
        if is_unlisted and has_room and member.host != leader:
            return member.host
    return ""


@choose_removed_member.register
def _(policy: DiscoveredHostsPolicy, current: Membership, leader: HostId) -> HostId:
    has_surplus = len(current.list_voters()) > policy.voter_count
    for member in current.members:
        is_removable = member.is_learner or has_surplus
        if (
            member.host in policy.unresponsive
            and is_removable
            and member.host != leader
        ):
            return member.host
    return ""


def _add_learner(current: Membership, learner: ControlMember) -> Membership:
    kept = tuple(
        item
        for item in current.members
        if not (item.is_learner and item.peer_address == learner.peer_address)
    )
    return evolve(current, members=(*kept, learner))


def _promote_learner(
    current: Membership,
    learner: ControlMember,
    leader: HostId,
    policy: MembershipPolicy,
) -> Membership | None:
    for member in current.members:
        is_replaced = member.peer_address == learner.peer_address
        if is_replaced and member.host not in {learner.host, leader}:
            return _remove_member(current, member.host)
    replaced = choose_replaced_voter(policy, current)
    if replaced and replaced != leader:
        return _remove_member(current, replaced)
    if not has_voter_vacancy(policy, current):
        return None
    members = tuple(
        evolve(item, is_learner=False) if item.host == learner.host else item
        for item in current.members
    )
    return evolve(current, members=members)


def _remove_member(current: Membership, host: HostId) -> Membership:
    members = tuple(item for item in current.members if item.host != host)
    return evolve(current, members=members)
