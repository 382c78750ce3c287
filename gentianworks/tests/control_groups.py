"""Control groups in virtual time, and what their tests wait for."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from gentianworks.core.events.replication import (
    PeerMessage,
)
from gentianworks.core.replication.members import HostId
from gentianworks.core.replication.replication import Replication
from properties.control_group import Group, Host

LIMIT = 30.0  # seconds

M = TypeVar("M", bound=PeerMessage)


def wait_for(group: Group, condition: Callable[[], bool]) -> None:
    """Let time pass until a condition holds."""
    end = group.now + LIMIT
    while not condition():
        assert group.now < end, "the condition did not come to hold"
        group.run(0.05)


def wait_for_leader(group: Group) -> None:
    """Let time pass until a host leads."""
    wait_for(group, lambda: group.find_leader() is not None)


def form(size: int = 3, seed: int = 1) -> Group:
    """Return a group whose hosts all know its members."""
    group = Group(size, seed)
    wait_for(group, group.is_whole)
    return group


def get_leader(group: Group) -> int:
    """Return the host that leads."""
    leader = group.find_leader()
    assert leader is not None
    return leader


def find_host(group: Group, number: int) -> HostId:
    """Return the identity of a host."""
    return group.hosts[number].replication.host


def ask(kind: type[M], group: Group, source: Host, target: Host, **values: Any) -> M:
    """Return a message of a kind from one host to another, of the next term."""
    return kind(
        sender="",
        group=target.replication.membership.group,
        source=source.replication.host,
        target=target.replication.host,
        term=target.replication.vote.term + 1,
        peer_address=source.address,
        **values,
    )


def pretend_synced(replication: Replication) -> None:
    """Let every host of a group have the leader's whole log on disk."""
    last = replication.log.last.index
    replication.log.synced_index = last
    for progress in replication.peers.values():
        progress.match_index = last
