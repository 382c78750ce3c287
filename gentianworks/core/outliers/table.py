"""Table: the leader's failure counts, and the replicas that routers are to avoid."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable

from attrs import define, field, frozen

from gentianworks.core.delays import double_delay
from gentianworks.core.gateway.replicas import ReplicaName
from gentianworks.core.outliers.outcomes import WINDOW, FailureReport
from gentianworks.core.types import ServiceName

MIN_FAILURES = 4  # three meet by chance where replicas spoil a few of their answers
MIN_REPORTERS = 2  # one router may itself be cut off from the replica
MIN_FAILURE_RATE = 0.25  # a replica that spoils a few answers still serves most
FIRST_EJECTION = 2.0  # seconds
MAX_EJECTION = 8.0  # seconds; a replica that has recovered is used again by then
MEMORY_TIME = 20.0  # seconds without an ejection, after which the first is short again
# Of a service's replicas; if more fail, the calls may be at fault, and too few would be
# left for the others' calls.
MAX_EJECTED_SHARE = 0.34
# Times the mean failures of the other replicas; if most fail, none is an outlier, and
# to avoid some would only move calls from where their prompts are cached.
OUTLIER_MULTIPLE = 3.0
MAX_REPORTS = 256  # of a replica within the window


@frozen
class ReceivedReport:
    """Report of a router, received at a time in seconds."""

    router: str
    report: FailureReport
    at: float


@define
class Ejection:
    """Latest ejection of a replica, until a time in seconds."""

    service: ServiceName
    until: float
    count: int = 1


@define
class OutlierTable:
    """Reports of the last seconds and the ejections that follow from them."""

    reports: dict[ReplicaName, deque[ReceivedReport]] = field(factory=dict)
    ejections: dict[ReplicaName, Ejection] = field(factory=dict)

    def clear(self) -> None:
        """Begin with an empty table, after this host has become the leader."""
        self.reports.clear()
        self.ejections.clear()

    def record(
        self,
        router: str,
        report: FailureReport,
        routers: int,
        replicas: int,
        now: float,
    ) -> Ejection | None:
        """Count a report, and return the ejection if it makes the replica an outlier.

        `routers` and `replicas` are the numbers of routers and of replicas of the
        service.
        """
        self._remove_old(now)
        known = self.ejections.get(report.replica)
        if known is not None and now < known.until:
            return None
        recent = self.reports.setdefault(report.replica, deque(maxlen=MAX_REPORTS))
        recent.append(ReceivedReport(router, report, now))
        if not self._fails_often(recent, routers):
            return None
        if not self._fails_more_than_others(report, recent, replicas):
            return None
        if not self._has_room(report.service, replicas, now):
            return None
        del self.reports[report.replica]
        return self._eject(report, now)

    def retain_replicas(self, service: ServiceName, names: set[ReplicaName]) -> None:
        """Forget the replicas of a service that get no calls any more.

        Their ejections would take the room of others, and their failures would make the
        others' failures look usual.
        """
        for name, ejection in list(self.ejections.items()):
            if ejection.service == service and name not in names:
                del self.ejections[name]
        for name, recent in list(self.reports.items()):
            is_of_service = any(item.report.service == service for item in recent)
            if is_of_service and name not in names:
                del self.reports[name]

    def _fails_often(self, recent: deque[ReceivedReport], routers: int) -> bool:
        """Return whether the fleet's failures exceed what is usual by far.

        Routers without failures report nothing, so their answers are estimated from
        those of the routers that do.
        """
        failures = _count_failures(recent)
        latest = {item.router: item.report for item in recent}
        if failures < MIN_FAILURES or len(latest) < min(MIN_REPORTERS, routers):
            return False
        counted = sum(item.answers for item in latest.values())
        mean = sum(item.expected_answers for item in latest.values()) / len(latest)
        answers = max(counted, mean * max(1, routers))
        return failures >= MIN_FAILURE_RATE * answers

    def _fails_more_than_others(
        self, report: FailureReport, recent: deque[ReceivedReport], replicas: int
    ) -> bool:
        total = sum(
            _count_failures(received)
            for received in self.reports.values()
            if received and received[0].report.service == report.service
        )
        failures = _count_failures(recent)
        others = (total - failures) / max(1, replicas - 1)
        return failures >= MIN_FAILURES + OUTLIER_MULTIPLE * others

    def _has_room(self, service: ServiceName, replicas: int, now: float) -> bool:
        ejected = sum(
            item.service == service and now < item.until
            for item in self.ejections.values()
        )
        return ejected + 1 <= MAX_EJECTED_SHARE * replicas

    def _eject(self, report: FailureReport, now: float) -> Ejection:
        known = self.ejections.get(report.replica)
        count = known.count if known is not None else 0
        seconds = double_delay(FIRST_EJECTION, count, MAX_EJECTION)
        ejection = Ejection(report.service, now + seconds, count + 1)
        self.ejections[report.replica] = ejection
        return ejection

    def _remove_old(self, now: float) -> None:
        for name, recent in list(self.reports.items()):
            while recent and recent[0].at < now - WINDOW:
                recent.popleft()
            if not recent:
                del self.reports[name]
        for name, ejection in list(self.ejections.items()):
            if now > ejection.until + MEMORY_TIME:
                del self.ejections[name]

    def list_ejected(self, now: float) -> dict[ReplicaName, float]:
        """Return the replicas that are ejected, with the seconds that remain."""
        return {
            name: item.until - now
            for name, item in self.ejections.items()
            if now < item.until
        }


def _count_failures(reports: Iterable[ReceivedReport]) -> int:
    """Return the failures that some reports of a replica tell.

    A router's failures are at most its answers, so that a report which arrives twice
    does not count twice.
    """
    failures: Counter[str] = Counter()
    answers: dict[str, int] = {}
    for item in reports:
        failures[item.router] += item.report.failures
        answers[item.router] = max(
            answers.get(item.router, 0), item.report.answers, item.report.failures
        )
    return sum(min(count, answers[router]) for router, count in failures.items())
