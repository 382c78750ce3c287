"""Shared list: the list of replicas at a control host, with its latest changes."""

from __future__ import annotations

from attrs import define, field, frozen

from gentianworks.core.events.gateway import ReplicaListWanted
from gentianworks.core.gateway.replicas import (
    ListVersion,
    Replica,
    ReplicaName,
    digest_replicas,
)
from gentianworks.core.replica_list.fetches import ListFetches

# Seconds; a fetch interval of the leader, a heartbeat interval and a margin.
MAX_LIST_AGE = 2.0
MAX_REMOVALS = 1024  # a router that is further behind gets the complete list
MAX_WAITING_REQUESTS = 4096


@frozen
class ListChanges:
    """Changes since a version of the list, or the complete list."""

    is_complete: bool
    changed: tuple[Replica, ...] = ()
    removed: tuple[ReplicaName, ...] = ()


@define
class SharedList:
    """List of replicas that a control host fetches and offers to routers."""

    replicas: dict[ReplicaName, Replica] = field(factory=dict)
    version: ListVersion = field(factory=ListVersion)
    current_at: float = float("-inf")  # seconds; when the fetch was requested
    fetches: ListFetches = field(factory=ListFetches)
    # Requests that came before there was a list, by peer address.
    waiting_requests: dict[str, ReplicaListWanted] = field(factory=dict)
    _digest: int | None = None
    _changed_in: dict[ReplicaName, int] = field(factory=dict)
    _removed_in: dict[ReplicaName, int] = field(factory=dict)
    _oldest_base: int = 1

    def begin_term(self, term: int, now: float) -> None:
        """Number the versions from 1 again, after this host has become the leader."""
        if now - self.current_at >= MAX_LIST_AGE:
            self.replicas = {}
            self._digest = None
        self.version = ListVersion(term, 1 if self.replicas else 0)
        self._changed_in.clear()
        self._removed_in.clear()
        self._oldest_base = 1

    def update(self, replicas: tuple[Replica, ...], current_at: float) -> bool:
        """Replace the list and return whether it differs from the last one."""
        listed = {item.name: item for item in replicas}
        changed = [
            name for name, item in listed.items() if self.replicas.get(name) != item
        ]
        removed = [name for name in self.replicas if name not in listed]
        self.replicas = listed
        self.current_at = current_at
        self._digest = None
        if not changed and not removed and self.version.number:
            return False
        number = self.version.number + 1
        self.version = ListVersion(self.version.term, number)
        self._changed_in.update(dict.fromkeys(changed, number))
        for name in removed:
            self._changed_in.pop(name, None)
            self._removed_in.pop(name, None)
            self._removed_in[name] = number
        self._forget_oldest_removals()
        return True

    def _forget_oldest_removals(self) -> None:
        while len(self._removed_in) > MAX_REMOVALS:
            name = next(iter(self._removed_in))
            self._oldest_base = self._removed_in.pop(name)

    def build_changes(self, version: ListVersion, digest: int | None) -> ListChanges:
        """Return the changes since a version that a router has.

        They are empty if `digest` is that of the same list, which is usual for routers
        that have it from the previous leader. The list is complete if neither is known.
        """
        number = version.number
        is_known = version.term == self.version.term and (
            self._oldest_base <= number <= self.version.number
        )
        if not is_known and digest == self._get_digest():
            return ListChanges(is_complete=False)
        if not is_known:
            return ListChanges(True, tuple(self.replicas.values()))
        changed = (
            self.replicas[name] for name, at in self._changed_in.items() if at > number
        )
        removed = (
            name
            for name, at in self._removed_in.items()
            if at > number and name not in self.replicas
        )
        return ListChanges(False, tuple(changed), tuple(removed))

    def _get_digest(self) -> int:
        if self._digest is None:
            self._digest = digest_replicas(self.replicas.values())
        return self._digest
