"""Revisions: what a process holds of accepted configurations, and whom it asks."""

from __future__ import annotations

import xxhash
from attrs import define, field

from gentianworks.core.configuration.deltas import Delta, apply_delta
from gentianworks.core.types import Configuration, NodeId

MAX_DELTAS = 64
MAX_RELAYED_REQUESTS = 256
NEIGHBOUR_COUNT = 4


@define
class DistributionState:
    """Hold the newest configuration known and what is needed to pass it on.

    `newest` comes into force once its revision has reached `floor`, the revision
    that a quorum confirmed after this process started; None stands for not yet
    confirmed. `heard` is the highest revision that a peer has spoken of.
    """

    relay_addresses: tuple[str, ...] = ()
    newest: Configuration = field(factory=Configuration)
    confirmed_revision: int | None = None
    highest_known_revision: int = 0
    deltas: dict[int, Delta] = field(factory=dict)
    neighbours: tuple[str, ...] = ()
    poll_count: int = 0
    relayed_requesters: dict[str, str] = field(factory=dict)

    def is_behind(self) -> bool:
        """Tell whether a newer configuration is known to exist."""
        return self.newest.revision < max(
            self.highest_known_revision, self.confirmed_revision or 0, 1
        )

    def add_delta(self, delta: Delta) -> None:
        """Keep a delta for peers that are behind, and drop the oldest."""
        self.deltas[delta.from_revision] = delta
        while len(self.deltas) > MAX_DELTAS:
            del self.deltas[min(self.deltas)]

    def find_deltas(self, revision: int) -> tuple[Delta, ...] | None:
        """Return the deltas from a revision to the newest, or None with a gap."""
        found: list[Delta] = []
        while revision < self.newest.revision:
            delta = self.deltas.get(revision)
            if delta is None:
                return None
            found.append(delta)
            revision = delta.to_revision
        return tuple(found)

    def get_next_neighbour(self) -> str:
        """Return the next neighbour to ask, or an empty text where there is none."""
        if not self.neighbours:
            return ""
        self.poll_count += 1
        return self.neighbours[self.poll_count % len(self.neighbours)]

    def record_relayed_request(self, nonce: str, address: str) -> None:
        """Remember who asked for a revision through this process."""
        self.relayed_requesters[nonce] = address
        while len(self.relayed_requesters) > MAX_RELAYED_REQUESTS:
            del self.relayed_requesters[next(iter(self.relayed_requesters))]


def apply_deltas(
    configuration: Configuration, deltas: tuple[Delta, ...]
) -> Configuration:
    """Return the configuration that those deltas which follow on it lead to."""
    for delta in deltas:
        if delta.from_revision == configuration.revision:
            configuration = apply_delta(configuration, delta)
    return configuration


def choose_neighbours(
    name: NodeId, own_address: str, configuration: Configuration
) -> tuple[str, ...]:
    """Return the peer addresses of the few agents that a process passes news to."""
    addresses = [
        endpoint.peer_address
        for endpoint in configuration.endpoints
        if endpoint.peer_address != own_address
    ]
    addresses.sort(key=lambda address: _score(name, address))
    return tuple(addresses[:NEIGHBOUR_COUNT])


def _score(name: NodeId, address: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{address}".encode())
