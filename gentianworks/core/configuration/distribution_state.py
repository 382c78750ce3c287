"""Distribution state: the accepted configurations that a process stores and relays."""

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
    """Newest configuration of a process, and the data with which it is distributed.

    `newest` takes effect once its revision has reached `confirmed_revision`, which a
    quorum confirmed after this process started; None means not yet confirmed.
    `highest_known_revision` is the highest revision that any peer has reported.
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
        """Return whether a newer configuration is known to exist."""
        return self.newest.revision < max(
            self.highest_known_revision, self.confirmed_revision or 0, 1
        )

    def add_delta(self, delta: Delta) -> None:
        """Store a delta for peers that are behind, and drop the oldest."""
        self.deltas[delta.from_revision] = delta
        while len(self.deltas) > MAX_DELTAS:
            del self.deltas[min(self.deltas)]

    def find_deltas(self, revision: int) -> tuple[Delta, ...] | None:
        """Return deltas from a revision to the newest, or None if any is missing."""
        chain: list[Delta] = []
        while revision < self.newest.revision:
            delta = self.deltas.get(revision)
            if delta is None:
                return None
            chain.append(delta)
            revision = delta.to_revision
        return tuple(chain)

    def get_next_neighbour(self) -> str:
        """Return the next neighbour to poll, or an empty string if there is none."""
        if not self.neighbours:
            return ""
        self.poll_count += 1
        return self.neighbours[self.poll_count % len(self.neighbours)]

    def record_relayed_request(self, nonce: str, address: str) -> None:
        """Store the address of a process whose revision request this one relays."""
        self.relayed_requesters[nonce] = address
        while len(self.relayed_requesters) > MAX_RELAYED_REQUESTS:
            del self.relayed_requesters[next(iter(self.relayed_requesters))]


def apply_deltas(
    configuration: Configuration, deltas: tuple[Delta, ...]
) -> Configuration:
    """Return the configuration after all deltas that apply to its revision in turn."""
    for delta in deltas:
        if delta.from_revision == configuration.revision:
            configuration = apply_delta(configuration, delta)
    return configuration


def choose_neighbours(
    name: NodeId, own_address: str, configuration: Configuration
) -> tuple[str, ...]:
    """Return the peer addresses of the agents to which a process pushes changes.

    They are chosen by rendezvous hashing.
    """
    addresses = [
        endpoint.peer_address
        for endpoint in configuration.endpoints
        if endpoint.peer_address != own_address
    ]
    addresses.sort(key=lambda address: _score(name, address))
    return tuple(addresses[:NEIGHBOUR_COUNT])


def _score(name: NodeId, address: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{address}".encode())
