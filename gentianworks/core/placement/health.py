"""Health: recent latency and failure rate of each replica.

The list may still report a replica as ready when it is slow, fails some calls or is
unresponsive. Its load then counts more in placement, the more so the further its
latency and failure rate exceed those of its service.
"""

from __future__ import annotations

from attrs import define, field

from gentianworks.core.gateway.replicas import ReplicaName
from gentianworks.core.types import ServiceName

REPLICA_MEAN_WEIGHT = 0.2  # of each answer; averages over some five answers
SERVICE_MEAN_WEIGHT = 0.05  # of each answer; averages over some twenty answers
RECORD_LIFETIME = 5.0  # seconds; then a replica counts as healthy and is tried again
SLOW_LATENCY_MULTIPLE = 2.0  # of the service's latency; smaller differences are noise
FAILURE_RATE_MARGIN = 0.2  # over the service's rate; smaller differences are noise
FAILURE_COST = 8.0  # load factor added for a replica that fails every call
SILENCE_LATENCY_MULTIPLE = 4.0  # of the service's latency
MIN_SILENCE_TIMEOUT = 0.3  # seconds; twice the time to process a long prompt
DEFAULT_LATENCY = 0.25  # seconds; assumed until a service has answered


@define
class AnswerStatistics:
    """Running means over answers; times are in seconds."""

    mean_latency: float = 0.0
    failure_rate: float = 0.0
    answer_count: int = 0
    last_answer_at: float = float("-inf")

    def record(
        self, latency: float, is_failure: bool, weight: float, now: float
    ) -> None:
        """Add one answer to the means; `weight` is its share of the new means."""
        if not self.answer_count:
            self.mean_latency = latency
        self.mean_latency += weight * (latency - self.mean_latency)
        self.failure_rate += weight * (is_failure - self.failure_rate)
        self.answer_count += 1
        self.last_answer_at = now


@define
class HealthTable:
    """Answer statistics of replicas and services."""

    replicas: dict[ReplicaName, AnswerStatistics] = field(factory=dict)
    services: dict[ServiceName, AnswerStatistics] = field(factory=dict)

    def record_answer(
        self,
        replica: ReplicaName,
        service: ServiceName,
        latency: float,
        is_failure: bool,
        now: float,
    ) -> None:
        """Record an answer of a replica; `latency` is the time to its head."""
        of_replica = self.replicas.setdefault(replica, AnswerStatistics())
        of_replica.record(latency, is_failure, REPLICA_MEAN_WEIGHT, now)
        of_service = self.services.setdefault(service, AnswerStatistics())
        of_service.record(latency, is_failure, SERVICE_MEAN_WEIGHT, now)

    def compute_cost_factor(
        self, replica: ReplicaName, service: ServiceName, now: float
    ) -> float:
        """Return the factor, from 1, by which a replica's load counts in placement."""
        of_replica, of_service = self.replicas.get(replica), self.services.get(service)
        if (
            of_replica is None
            or of_service is None
            or now - of_replica.last_answer_at > RECORD_LIFETIME
        ):
            return 1.0
        slowdown = of_replica.mean_latency / max(of_service.mean_latency, 1e-3)
        factor = slowdown if slowdown > SLOW_LATENCY_MULTIPLE else 1.0
        excess = of_replica.failure_rate - of_service.failure_rate
        return factor + (FAILURE_COST * excess if excess > FAILURE_RATE_MARGIN else 0.0)

    def compute_silence_timeout(self, service: ServiceName, objective: float) -> float:
        """Return the seconds after which a replica without an answer is unresponsive.

        The timeout is never shorter than `objective`, the route's latency objective,
        so that a call stays with its replica until then.
        """
        of_service = self.services.get(service)
        latency = of_service.mean_latency if of_service else DEFAULT_LATENCY
        return max(MIN_SILENCE_TIMEOUT, SILENCE_LATENCY_MULTIPLE * latency, objective)

    def has_answered_since(self, replica: ReplicaName, since: float) -> bool:
        """Return whether a replica has answered any call since a time in seconds."""
        of_replica = self.replicas.get(replica)
        return of_replica is not None and of_replica.last_answer_at >= since

    def retain_replicas(self, names: set[ReplicaName]) -> None:
        """Remove the statistics of all replicas but those named."""
        for name in list(self.replicas):
            if name not in names:
                del self.replicas[name]
