"""Avoidance: which endpoints a router passes over after refusals and failures."""

from __future__ import annotations

from itertools import islice

from attrs import define, field, frozen

from gentianworks.core.admission.wait_estimates import LEVEL_LIFETIME, is_closed
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

MAX_SKIP = 0.25  # seconds
LEAVING_SKIP = 5.0  # seconds
FIRST_FAILURE_SKIP = 0.25  # seconds
MAX_FAILURE_SKIP = 5.0  # seconds
SPILL_WAIT = 0.5  # seconds
MAX_REFUSALS = 4096
SPILL_CANDIDATES = 3


@frozen
class RefusalKey:
    """Name whose work an endpoint has refused."""

    endpoint: EndpointName
    rank: RankName
    workspace: WorkspaceName


@frozen
class HeardLevel:
    """Hold the admission level that rode on an endpoint's last answer."""

    level: AdmissionLevel
    heard_at: float


@define
class Failures:
    """Hold how often in a row an endpoint could not be reached."""

    count: int = 0
    skip_until: float = 0.0


@define
class Avoidance:
    """Hold what a router remembers of endpoints from their answers; times in seconds.

    Refusals are remembered by rank and workspace, because an endpoint that is full
    for one of them may have room for another.
    """

    refusals: dict[RefusalKey, float] = field(factory=dict)
    leaving: dict[EndpointName, float] = field(factory=dict)
    failures: dict[EndpointName, Failures] = field(factory=dict)
    levels: dict[EndpointName, HeardLevel] = field(factory=dict)

    def note_reached(self, endpoint: EndpointName) -> None:
        """Remember that an endpoint can be reached."""
        self.failures.pop(endpoint, None)

    def note_level(
        self, endpoint: EndpointName, level: AdmissionLevel, now: float
    ) -> None:
        """Remember which work an endpoint refuses at present."""
        self.levels[endpoint] = HeardLevel(level, now)

    def find_level(self, endpoint: EndpointName, now: float) -> AdmissionLevel:
        """Return the admission level of an endpoint, open where it is not known."""
        heard = self.levels.get(endpoint)
        if heard is None or now - heard.heard_at > LEVEL_LIFETIME:
            return AdmissionLevel()
        return heard.level

    def note_refusal(
        self, endpoint: EndpointName, request: Request, problem: Problem, now: float
    ) -> None:
        """Remember that an endpoint has refused work of this rank and workspace."""
        if problem.kind is ProblemKind.LEAVING:
            self.leaving[endpoint] = now + LEAVING_SKIP
            return
        if len(self.refusals) >= MAX_REFUSALS:
            self._drop_old(now)
        key = RefusalKey(endpoint, request.rank, request.workspace)
        self.refusals[key] = now + min(problem.retry_after, MAX_SKIP)

    def forget_leaving(self, endpoint: EndpointName) -> None:
        """Send work again to an endpoint that was leaving and has come back."""
        self.leaving.pop(endpoint, None)

    def note_failure(self, endpoint: EndpointName, now: float) -> None:
        """Remember that an endpoint was lost; each loss in a row doubles the skip."""
        failures = self.failures.setdefault(endpoint, Failures())
        skip = FIRST_FAILURE_SKIP * 2**failures.count
        failures.skip_until = now + min(skip, MAX_FAILURE_SKIP)
        failures.count += 1

    def is_gone(self, endpoint: EndpointName, now: float) -> bool:
        """Tell whether an endpoint has said that it leaves, or was just lost."""
        failures = self.failures.get(endpoint)
        lost_until = failures.skip_until if failures else 0.0
        return now < max(self.leaving.get(endpoint, 0.0), lost_until)

    def is_avoided(self, endpoint: EndpointName, request: Request, now: float) -> bool:
        """Tell whether a request is to pass an endpoint over for now."""
        is_skipped = now < self.find_skip_end(endpoint, request)
        return is_skipped or is_closed(self.find_level(endpoint, now), request)

    def find_skip_end(self, endpoint: EndpointName, request: Request) -> float:
        """Return when a request may try an endpoint again."""
        key = RefusalKey(endpoint, request.rank, request.workspace)
        failures = self.failures.get(endpoint)
        return max(
            self.refusals.get(key, 0.0),
            self.leaving.get(endpoint, 0.0),
            failures.skip_until if failures else 0.0,
        )

    def find_wait(self, endpoint: EndpointName, request: Request, now: float) -> float:
        """Return the seconds that a request would wait, 0 where not known."""
        heard = self.levels.get(endpoint)
        waits = {
            item.workspace: item.seconds
            for item in self.find_level(endpoint, now).waits
            if item.rank == request.rank
        }
        seconds = waits.get(request.workspace, waits.get("", 0.0))
        return max(0.0, seconds - (now - heard.heard_at)) if heard else 0.0

    def _drop_old(self, now: float) -> None:
        fresh = {key: until for key, until in self.refusals.items() if until > now}
        self.refusals = fresh if len(fresh) < MAX_REFUSALS else {}


def choose_endpoint(
    order: list[Endpoint], request: Request, avoidance: Avoidance, now: float
) -> Endpoint | None:
    """Return the first endpoint in a request's order that can serve it in time.

    The home is waited for up to `SPILL_WAIT`; beyond that the shortest wait among the
    first candidates is taken.
    """
    open_endpoints = (
        endpoint
        for endpoint in order
        if not avoidance.is_avoided(endpoint.name, request, now)
    )
    candidates = list(islice(open_endpoints, SPILL_CANDIDATES))
    for endpoint in candidates:
        if avoidance.find_wait(endpoint.name, request, now) <= SPILL_WAIT:
            return endpoint
    return min(
        candidates,
        key=lambda item: avoidance.find_wait(item.name, request, now),
        default=None,
    )
