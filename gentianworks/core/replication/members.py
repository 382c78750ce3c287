"""Members: the control hosts that keep the log, and which change comes next."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from functools import singledispatch

from attrs import evolve, frozen

HostId = str
GroupId = str


@frozen
class ControlMember:
    """Identify a control host by its data folder; a learner has no vote."""

    host: HostId
    peer_address: str
    is_learner: bool = False


@frozen
class Membership:
    """Hold the members of a control group; it has none until it is formed."""

    group: GroupId = ""
    members: tuple[ControlMember, ...] = ()

    def find(self, host: HostId) -> ControlMember | None:
        """Return the member that is `host`, or None."""
        return next((item for item in self.members if item.host == host), None)

    def list_voters(self) -> tuple[HostId, ...]:
        """Return the hosts that vote."""
        return tuple(item.host for item in self.members if not item.is_learner)

    def list_peers(self, host: HostId) -> tuple[ControlMember, ...]:
        """Return the members besides `host`."""
        return tuple(item for item in self.members if item.host != host)

    def has_quorum(self, hosts: Collection[HostId]) -> bool:
        """Tell whether `hosts` hold a majority of the voters."""
        voters = self.list_voters()
        return sum(voter in hosts for voter in voters) > len(voters) // 2


def choose_quorum_value(values: Iterable[float]) -> float:
    """Return the highest value that a majority of the voters has reached."""
    ordered = sorted(values, reverse=True)
    return ordered[len(ordered) // 2]


@frozen
class ListedHosts:
    """Take in the hosts at the addresses of the settings and no others."""

    addresses: tuple[str, ...]


@frozen
class FoundHosts:
    """Take in every host that finds the group, in place of those that are silent.

    Of a group that would stay larger than `min_voters`, silent voters are removed.
    """

    silent: frozenset[HostId]
    min_voters: int


HostPolicy = ListedHosts | FoundHosts


def plan_change(
    present: Membership,
    leader: HostId,
    policy: HostPolicy,
    joining: dict[str, HostId],
    caught_up: Collection[HostId],
) -> Membership | None:
    """Return the membership after the next single change, or None.

    `joining` are the hosts that ask to be taken in by address, and `caught_up` the
    learners whose log is complete.
    """
    for address, host in joining.items():
        if admits(policy, address) and present.find(host) is None:
            return _add_learner(present, ControlMember(host, address, True))
    for member in present.members:
        if member.is_learner and member.host in caught_up:
            return _admit(present, member, leader, policy)
    removed = choose_removed(policy, present, leader)
    return _remove(present, removed) if removed else None


@singledispatch
def admits(policy: HostPolicy, address: str) -> bool:
    """Tell whether a host at an address may join."""
    raise NotImplementedError(f"Register admits for {type(policy).__name__}.")


@admits.register
def _(policy: ListedHosts, address: str) -> bool:
    return address in policy.addresses


@admits.register
def _(policy: FoundHosts, address: str) -> bool:
    return True


@singledispatch
def choose_replaced(policy: HostPolicy, present: Membership) -> HostId:
    """Return the voter at another address that a new voter replaces, if any."""
    return ""


@choose_replaced.register
def _(policy: FoundHosts, present: Membership) -> HostId:
    silent = [host for host in present.list_voters() if host in policy.silent]
    return silent[0] if silent else ""


@singledispatch
def choose_removed(policy: HostPolicy, present: Membership, leader: HostId) -> HostId:
    """Return the member that is removed without another in its place, if any."""
    raise NotImplementedError(f"Register choose_removed for {type(policy).__name__}.")


@choose_removed.register
def _(policy: ListedHosts, present: Membership, leader: HostId) -> HostId:
    for member in present.members:
        is_unlisted = member.peer_address not in policy.addresses
        has_room = len(present.members) > len(policy.addresses)
        if is_unlisted and has_room and member.host != leader:
            return member.host
    return ""


@choose_removed.register
def _(policy: FoundHosts, present: Membership, leader: HostId) -> HostId:
    has_room = len(present.list_voters()) > policy.min_voters
    for member in present.members:
        is_removable = member.is_learner or has_room
        if member.host in policy.silent and is_removable and member.host != leader:
            return member.host
    return ""


def _add_learner(present: Membership, learner: ControlMember) -> Membership:
    kept = tuple(
        item
        for item in present.members
        if not (item.is_learner and item.peer_address == learner.peer_address)
    )
    return evolve(present, members=(*kept, learner))


def _admit(
    present: Membership, learner: ControlMember, leader: HostId, policy: HostPolicy
) -> Membership:
    for member in present.members:
        is_replaced = member.peer_address == learner.peer_address
        if is_replaced and member.host not in {learner.host, leader}:
            return _remove(present, member.host)
    replaced = choose_replaced(policy, present)
    if replaced and replaced != leader:
        return _remove(present, replaced)
    members = tuple(
        evolve(item, is_learner=False) if item.host == learner.host else item
        for item in present.members
    )
    return evolve(present, members=members)


def _remove(present: Membership, host: HostId) -> Membership:
    members = tuple(item for item in present.members if item.host != host)
    return evolve(present, members=members)
