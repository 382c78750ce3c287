"""Known: the outliers that a router was told of, and how calls avoid them."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import define, field

from gentianworks.core.gateway.replicas import Replica, ReplicaName
from gentianworks.core.outliers.outcomes import WINDOW, RecentOutcomes

# Seconds after an ejection in which only calls that can be repeated elsewhere show
# whether the replica has recovered.
PROBATION = WINDOW


@define
class KnownOutliers:
    """Replicas to avoid, until a time in seconds, and this router's own outcomes."""

    is_enabled: bool = False
    avoided_until: dict[ReplicaName, float] = field(factory=dict)
    recent: RecentOutcomes = field(factory=RecentOutcomes)

    def avoid(self, ejected: Mapping[ReplicaName, float], now: float) -> None:
        """Avoid replicas, each for a time in seconds, and forget past ejections."""
        self.avoided_until = {
            name: until
            for name, until in self.avoided_until.items()
            if now < until + PROBATION
        }
        self.avoided_until.update(
            {name: now + seconds for name, seconds in ejected.items()}
        )

    def prefer_sound(
        self, replicas: list[Replica], is_repeatable: bool, now: float
    ) -> list[Replica]:
        """Return the replicas without the outliers, or all if no other is left."""
        if not self.avoided_until:
            return replicas
        margin = 0.0 if is_repeatable else PROBATION
        sound = [
            item
            for item in replicas
            if now >= self.avoided_until.get(item.name, float("-inf")) + margin
        ]
        return sound or replicas
