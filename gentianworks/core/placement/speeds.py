"""Speeds: estimates of how long work takes at each replica, from what it reports.

Some replicas report with each answer how long work takes on their machine, in percent
of the usual. The figure may be old, noisy or false. It is therefore compared with the
other figures of its service, and counts only as far as it has predicted when answers
began. Where nothing is reported, every cost factor is exactly 1.
"""

from __future__ import annotations

from attrs import define, field

from gentianworks.core.gateway.replicas import ReplicaName
from gentianworks.core.types import ServiceName

USUAL_SLOWNESS = 1.0
MIN_SLOWNESS = 0.25  # a faster replica would attract the calls of all routers at once
MAX_SLOWNESS = 4.0  # a slower replica would get no calls, and could report no change
FIGURE_LIFETIME = 3.0  # seconds; then a replica counts as usual
FIGURE_WEIGHT = 0.3  # of each new figure; a speed changes many times between two
MEMORY_TIME = 10.0  # seconds; after as long a pause, a new figure replaces the old ones
SERVICE_WEIGHT = 0.05  # of each answer; averages over some twenty answers
EVIDENCE_WEIGHT = 0.02  # of each answer; a false figure is recognized after some fifty
INITIAL_VARIANCE = 0.1
# Figures count by less than half until answers confirm them. Where they counted in
# full, random figures raised the share of late calls from 3.0 to 3.9 % in a replay.
INITIAL_COVARIANCE = 0.04
MIN_EVIDENCE = 0.01  # keeps the ratio stable if all figures are equal
MAX_DEVIATION = 3.0  # of a delay, relative; limits the effect of a single long prompt


@define
class ReplicaSpeed:
    """Slowness of a replica at its last report."""

    slowness: float
    reported_at: float  # seconds

    def estimate(self, now: float) -> float:
        """Return the slowness, which returns to the usual as the report ages."""
        remaining = max(0.0, 1.0 - (now - self.reported_at) / FIGURE_LIFETIME)
        return USUAL_SLOWNESS + (self.slowness - USUAL_SLOWNESS) * remaining


@define
class ServiceSpeeds:
    """Running means over the answers of a service whose replicas report slowness."""

    mean_slowness: float
    mean_delay: float = 0.0  # seconds to the first event of calls that did not queue
    # Of the figures with the delays, and of the figures; their ratio is the trust.
    covariance: float = INITIAL_COVARIANCE
    variance: float = INITIAL_VARIANCE

    def record_delay(self, deviation: float, delay: float) -> None:
        """Compare a call's delay with the relative slowness by which it was placed."""
        if not self.mean_delay:
            self.mean_delay = delay
        late = min(MAX_DEVIATION, delay / max(self.mean_delay, 1e-6) - 1)
        self.mean_delay += SERVICE_WEIGHT * (delay - self.mean_delay)
        self.covariance += EVIDENCE_WEIGHT * (deviation * late - self.covariance)
        self.variance += EVIDENCE_WEIGHT * (deviation * deviation - self.variance)

    def compute_trust(self) -> float:
        """Return the fraction of the figures' deviation that delays have confirmed."""
        ratio = (self.covariance + MIN_EVIDENCE) / (self.variance + MIN_EVIDENCE)
        return min(1.0, max(0.0, ratio))


@define
class SpeedTable:
    """Slowness of replicas and of services; empty if no replica reports any."""

    replicas: dict[ReplicaName, ReplicaSpeed] = field(factory=dict)
    services: dict[ServiceName, ServiceSpeeds] = field(factory=dict)

    def record_figure(
        self, replica: ReplicaName, service: ServiceName, percent: int, now: float
    ) -> None:
        """Record the slowness that a replica reported in an answer."""
        slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, percent / 100))
        speeds = self.services.setdefault(service, ServiceSpeeds(slowness))
        speeds.mean_slowness += SERVICE_WEIGHT * (slowness - speeds.mean_slowness)
        speed = self.replicas.get(replica)
        if speed is None:
            self.replicas[replica] = ReplicaSpeed(slowness, now)
            return
        weight = max(FIGURE_WEIGHT, min(1.0, (now - speed.reported_at) / MEMORY_TIME))
        speed.slowness += weight * (slowness - speed.slowness)
        speed.reported_at = now

    def is_reported(self, service: ServiceName) -> bool:
        """Return whether a replica of a service has reported its slowness."""
        return service in self.services

    def estimate_slowness(self, replica: ReplicaName, now: float) -> float:
        """Return a replica's slowness, 1.0 if it has not reported any recently."""
        speed = self.replicas.get(replica)
        return USUAL_SLOWNESS if speed is None else speed.estimate(now)

    def compute_deviation(
        self, replica: ReplicaName, service: ServiceName, now: float
    ) -> float:
        """Return how much slower than its service a replica is, 0.0 if as slow.

        The difference is relative to the service's mean, so that a false figure that
        all replicas report has no effect. It fades as the report ages.
        """
        speed, speeds = self.replicas.get(replica), self.services.get(service)
        if speed is None or speeds is None:
            return 0.0
        remaining = max(0.0, 1.0 - (now - speed.reported_at) / FIGURE_LIFETIME)
        return (speed.slowness / speeds.mean_slowness - 1) * remaining

    def compute_cost_factor(
        self, replica: ReplicaName, service: ServiceName, now: float
    ) -> float:
        """Return the factor by which work takes longer at a replica than at others."""
        deviation = self.compute_deviation(replica, service, now)
        if not deviation:
            return 1.0
        factor = 1 + self.services[service].compute_trust() * deviation
        return min(MAX_SLOWNESS, max(MIN_SLOWNESS, factor))

    def record_delay(
        self, service: ServiceName, deviation: float, delay: float
    ) -> None:
        """Record the seconds to the first event of a call that did not queue."""
        speeds = self.services.get(service)
        if speeds is not None:
            speeds.record_delay(deviation, delay)

    def retain_replicas(self, names: set[ReplicaName]) -> None:
        """Remove the estimates of all replicas but those named."""
        for name in list(self.replicas):
            if name not in names:
                del self.replicas[name]
