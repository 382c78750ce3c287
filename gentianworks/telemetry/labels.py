"""Labels: bounds the number of values of each metric label."""

from __future__ import annotations

from collections import Counter

from attrs import define, field

MAX_LABEL_VALUES = 100
OTHER = "other"


@define
class LabelLimiter:
    """Values of one label; those beyond the limit are replaced with `other`."""

    values: set[str] = field(factory=set)

    def limit(self, value: str) -> str:
        """Return the value, or `other` if it is new and the limit is reached."""
        if value not in self.values:
            if len(self.values) >= MAX_LABEL_VALUES:
                return OTHER
            self.values.add(value)
        return value


@define
class PeerTraffic:
    """Number of bytes transferred in one direction, by peer and in total."""

    bytes_of_peer: Counter[str] = field(factory=Counter)
    total: int = 0
    _limit: LabelLimiter = field(factory=LabelLimiter)

    def add(self, peer: str, count: int) -> None:
        """Add bytes of a peer; peers beyond the limit are counted as `other`."""
        self.bytes_of_peer[self._limit.limit(peer)] += count
        self.total += count
