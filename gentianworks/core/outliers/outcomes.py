"""Outcomes: a router's recent answers and failures by replica, and its reports."""

from __future__ import annotations

from collections import deque

from attrs import define, field, frozen

from gentianworks.core.gateway.replicas import ReplicaName
from gentianworks.core.types import ServiceName

WINDOW = 2.0  # seconds; a replica that has recovered must not look faulty for long
REPORT_INTERVAL = 0.1  # seconds between reports about one replica
MAX_OUTCOMES = 4096  # of a service


@frozen
class Outcome:
    """Answer or failure of a replica at a time in seconds."""

    replica: ReplicaName
    is_failure: bool
    at: float


@frozen
class FailureReport:
    """A router's failures at a replica since its last report.

    `answers` are its answers of that replica in the window, failed ones included, and
    `expected_answers` those that it has of each replica of the service on average.
    """

    replica: ReplicaName
    service: ServiceName
    failures: int
    answers: int
    expected_answers: float


@define
class RecentOutcomes:
    """A router's outcomes of the last seconds, and what it has not reported yet."""

    outcomes: dict[ServiceName, deque[Outcome]] = field(factory=dict)
    # Times of failures in seconds. While no leader is known nothing is reported, and
    # failures from before the window must not count as new ones to the next leader.
    unreported: dict[ReplicaName, deque[float]] = field(factory=dict)
    _reported_at: dict[ReplicaName, float] = field(factory=dict)

    def record(self, service: ServiceName, outcome: Outcome) -> None:
        """Add an outcome, and drop those that are too old."""
        recent = self.outcomes.setdefault(service, deque(maxlen=MAX_OUTCOMES))
        recent.append(outcome)
        while recent[0].at < outcome.at - WINDOW:
            recent.popleft()
        if outcome.is_failure:
            times = self.unreported.setdefault(
                outcome.replica, deque(maxlen=MAX_OUTCOMES)
            )
            times.append(outcome.at)
            while times[0] < outcome.at - WINDOW:
                times.popleft()

    def take_report(
        self, replica: ReplicaName, service: ServiceName, replicas: int, now: float
    ) -> FailureReport | None:
        """Return what is to be reported of a replica now, or None.

        `replicas` is the number of replicas of the service.
        """
        times = self.unreported.get(replica, ())
        failures = sum(at >= now - WINDOW for at in times)
        last_at = self._reported_at.get(replica, float("-inf"))
        if not failures or now - last_at < REPORT_INTERVAL:
            return None
        del self.unreported[replica]
        self._reported_at[replica] = now
        recent = self.outcomes.get(service, ())
        answers = sum(item.replica == replica for item in recent)
        expected = len(recent) / max(1, replicas)
        return FailureReport(replica, service, failures, answers, expected)

    def retain_replicas(self, names: set[ReplicaName]) -> None:
        """Forget the replicas that are not listed."""
        for name in [name for name in self.unreported if name not in names]:
            del self.unreported[name]
        for name in [name for name in self._reported_at if name not in names]:
            del self._reported_at[name]
