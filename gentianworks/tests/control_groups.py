"""Control groups in virtual time, and helpers for their tests."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from gentianworks.core.events.replication import (
    PeerMessage,
)
from gentianworks.core.replication.members import HostId
from gentianworks.core.replication.replication import Replication
from properties.control_group import SimulatedGroup, SimulatedHost

WAIT_TIMEOUT = 30.0  # seconds of virtual time

M = TypeVar("M", bound=PeerMessage)


def wait_for(group: SimulatedGroup, condition: Callable[[], bool]) -> None:
    """Advance virtual time until a condition holds."""
    end = group.now + WAIT_TIMEOUT
    while not condition():
        assert group.now < end, "the condition was not met in time"
        group.run(0.05)


def wait_for_leader(group: SimulatedGroup) -> None:
    """Advance virtual time until a host leads."""
    wait_for(group, lambda: group.find_leader() is not None)


def form_group(size: int = 3, seed: int = 1) -> SimulatedGroup:
    """Return a group whose hosts are all voters and know the members."""
    group = SimulatedGroup(size, seed)
    wait_for(group, group.has_full_membership)
    return group


def get_leader(group: SimulatedGroup) -> int:
    """Return the number of the leader."""
    leader = group.find_leader()
    assert leader is not None
    return leader


def get_host_id(group: SimulatedGroup, number: int) -> HostId:
    """Return the identity of a host."""
    return group.hosts[number].replication.host


def create_message(
    message_class: type[M],
    group: SimulatedGroup,
    source: SimulatedHost,
    target: SimulatedHost,
    **values: Any,
) -> M:
    """Return a message of the next term from one host to another."""
    return message_class(
        sender="",
        group=target.replication.membership.group,
        source=source.replication.host,
        target=target.replication.host,
        term=target.replication.vote.term + 1,
        peer_address=source.address,
        **values,
    )


def mark_all_synced(replication: Replication) -> None:
    """Mark the leader's complete log as on disk on all hosts of its group."""
    last = replication.log.last.index
    replication.log.synced_index = last
    for progress in replication.peer_progress.values():
        progress.match_index = last
