"""Backoff: which endpoints a router skips after refusals and failures, and how long."""

from __future__ import annotations

from itertools import islice

from attrs import define, field, frozen

from gentianworks.core.admission.wait_estimates import LEVEL_LIFETIME, is_closed
from gentianworks.core.delays import double_delay
from gentianworks.core.types import (
    AdmissionLevel,
    Endpoint,
    EndpointName,
    Problem,
    ProblemKind,
    RankName,
    Request,
    WorkspaceName,
)

MAX_REFUSAL_SKIP = 0.25  # seconds
LEAVING_SKIP = 5.0  # seconds
FIRST_FAILURE_SKIP = 0.25  # seconds
MAX_FAILURE_SKIP = 5.0  # seconds
SPILL_WAIT_THRESHOLD = 0.5  # seconds; a longer estimated wait spills
MAX_REFUSALS = 4096  # entries
SPILL_CANDIDATES = 3  # endpoints


@frozen
class RefusalKey:
    """Endpoint, and the rank and workspace whose work it refused."""

    endpoint: EndpointName
    rank: RankName
    workspace: WorkspaceName


@frozen
class ReceivedLevel:
    """Admission level that an endpoint's last answer carried."""

    level: AdmissionLevel
    received_at: float  # seconds


@define
class ConsecutiveFailures:
    """Consecutive failures to reach an endpoint."""

    count: int = 0
    skip_until: float = 0.0  # seconds


@define
class EndpointBackoff:
    """Endpoints to skip for a while, and their admission levels; times in seconds.

    Refusals are recorded by rank and workspace, because an endpoint that is full for
    one of them may have room for another.
    """

    refused_until: dict[RefusalKey, float] = field(factory=dict)
    leaving_until: dict[EndpointName, float] = field(factory=dict)
    failures: dict[EndpointName, ConsecutiveFailures] = field(factory=dict)
    levels: dict[EndpointName, ReceivedLevel] = field(factory=dict)

    def record_contact(self, endpoint: EndpointName) -> None:
        """Reset the failures of an endpoint that has answered."""
        self.failures.pop(endpoint, None)

    def record_level(
        self, endpoint: EndpointName, level: AdmissionLevel, now: float
    ) -> None:
        """Store the admission level that an endpoint reported."""
        self.levels[endpoint] = ReceivedLevel(level, now)

    def get_level(self, endpoint: EndpointName, now: float) -> AdmissionLevel:
        """Return the admission level of an endpoint; an unknown level is open."""
        received = self.levels.get(endpoint)
        if received is None or now - received.received_at > LEVEL_LIFETIME:
            return AdmissionLevel()
        return received.level

    def record_refusal(
        self, endpoint: EndpointName, request: Request, problem: Problem, now: float
    ) -> None:
        """Skip an endpoint that refused this rank and workspace, or that leaves."""
        if problem.kind is ProblemKind.LEAVING:
            self.leaving_until[endpoint] = now + LEAVING_SKIP
            return
        if len(self.refused_until) >= MAX_REFUSALS:
            self._drop_expired(now)
        key = RefusalKey(endpoint, request.rank, request.workspace)
        self.refused_until[key] = now + min(problem.retry_after, MAX_REFUSAL_SKIP)

    def clear_leaving(self, endpoint: EndpointName) -> None:
        """Stop skipping an endpoint that was leaving and has returned."""
        self.leaving_until.pop(endpoint, None)

    def record_failure(self, endpoint: EndpointName, now: float) -> None:
        """Skip a lost endpoint; each consecutive loss doubles the time."""
        failures = self.failures.setdefault(endpoint, ConsecutiveFailures())
        skip = double_delay(FIRST_FAILURE_SKIP, failures.count, MAX_FAILURE_SKIP)
        failures.skip_until = now + skip
        failures.count += 1

    def is_unavailable(self, endpoint: EndpointName, now: float) -> bool:
        """Return whether an endpoint is leaving or was lost recently."""
        failures = self.failures.get(endpoint)
        lost_until = failures.skip_until if failures else 0.0
        return now < max(self.leaving_until.get(endpoint, 0.0), lost_until)

    def is_skipped(self, endpoint: EndpointName, request: Request, now: float) -> bool:
        """Return whether to skip an endpoint for a request now."""
        is_backing_off = now < self.get_skip_end(endpoint, request)
        return is_backing_off or is_closed(self.get_level(endpoint, now), request)

    def get_skip_end(self, endpoint: EndpointName, request: Request) -> float:
        """Return when an endpoint may be tried again for a request, in seconds."""
        key = RefusalKey(endpoint, request.rank, request.workspace)
        failures = self.failures.get(endpoint)
        return max(
            self.refused_until.get(key, 0.0),
            self.leaving_until.get(endpoint, 0.0),
            failures.skip_until if failures else 0.0,
        )

    def estimate_wait(
        self, endpoint: EndpointName, request: Request, now: float
    ) -> float:
        """Return the seconds that a request would wait at an endpoint, 0 if unknown."""
        received = self.levels.get(endpoint)
        waits = {
            item.workspace: item.seconds
            for item in self.get_level(endpoint, now).waits
            if item.rank == request.rank
        }
        seconds = waits.get(request.workspace, waits.get("", 0.0))
        return max(0.0, seconds - (now - received.received_at)) if received else 0.0

    def _drop_expired(self, now: float) -> None:
        fresh = {key: until for key, until in self.refused_until.items() if until > now}
        self.refused_until = fresh if len(fresh) < MAX_REFUSALS else {}


def choose_endpoint(
    order: list[Endpoint], request: Request, backoff: EndpointBackoff, now: float
) -> Endpoint | None:
    """Return the first endpoint in a request's order that can serve it in time.

    The first candidate whose estimated wait is at most `SPILL_WAIT_THRESHOLD` is
    chosen; if there is none, the one with the shortest wait.
    """
    open_endpoints = (
        endpoint
        for endpoint in order
        if not backoff.is_skipped(endpoint.name, request, now)
    )
    candidates = list(islice(open_endpoints, SPILL_CANDIDATES))
    for endpoint in candidates:
        if backoff.estimate_wait(endpoint.name, request, now) <= SPILL_WAIT_THRESHOLD:
            return endpoint
    return min(
        candidates,
        key=lambda item: backoff.estimate_wait(item.name, request, now),
        default=None,
    )
