"""Load table: what a control host has heard of the endpoints' loads, and their sums."""

from __future__ import annotations

from attrs import define, evolve, field, frozen

from gentianworks.core.events.membership import Heartbeat, LoadReport, RegionLoads
from gentianworks.core.load.load import add_loads, change_load
from gentianworks.core.types import (
    Configuration,
    EndpointName,
    Load,
    Service,
    ServiceLoad,
    ServiceName,
)

REGION_TIMEOUT = 10.0  # seconds
MAX_SWEEP_GAP = 0.75  # seconds
BACKLOG_TIME = 1.0  # seconds


@frozen
class HeardLoad:
    """Hold what one endpoint told of its load last; `at` is in seconds."""

    service: ServiceName
    load: Load
    incarnation: int
    at: float


@frozen
class HeardRegion:
    """Hold the sums of another region and when they came."""

    loads: dict[ServiceName, ServiceLoad]
    heard_at: float


@define
class FallReview:
    """Hold when a fall of a service's load was told last, in seconds.

    `highest` is the highest sum since then; `is_due` tells that a timer will tell
    the next fall.
    """

    at: float = 0.0
    highest: Load = field(factory=Load)
    is_due: bool = False


@frozen
class ToldSum:
    """Hold the sum that an endpoint was told last, and when, in seconds."""

    load: Load
    at: float


@define
class LoadFalls:
    """Hold the sum that each endpoint was told last, and the review of each service."""

    told: dict[EndpointName, ToldSum] = field(factory=dict)
    reviews: dict[ServiceName, FallReview] = field(factory=dict)

    def find_review(self, service: ServiceName) -> FallReview:
        """Return the review of a service."""
        return self.reviews.setdefault(service, FallReview())


@define
class LoadTable:
    """Hold the loads that a control host has heard, whether it leads or not.

    `questions` are heartbeats that asked for a sum before it was whole. A host that
    did not run for a while first takes messages that are old; until `trusted_at`,
    in seconds, it can't tell them from new ones.
    """

    heard: dict[EndpointName, HeardLoad] = field(factory=dict)
    sums: dict[ServiceName, ServiceLoad] = field(factory=dict)
    regions: dict[str, HeardRegion] = field(factory=dict)
    falls: LoadFalls = field(factory=LoadFalls)
    questions: dict[ServiceName, dict[EndpointName, Heartbeat]] = field(factory=dict)
    swept_at: float = 0.0
    trusted_at: float = 0.0

    def hear(
        self, heartbeat: Heartbeat, configuration: Configuration, now: float
    ) -> None:
        """Note the load that a heartbeat tells."""
        self._note_time(now)
        endpoint = configuration.find_endpoint_at(
            heartbeat.endpoint, heartbeat.peer_address
        )
        if endpoint is None:
            return
        load = HeardLoad(endpoint.service, heartbeat.load, heartbeat.incarnation, now)
        self._put(endpoint.name, load)

    def hear_report(self, report: LoadReport, now: float) -> bool:
        """Note a load between heartbeats; False where it is not the endpoint's."""
        self._note_time(now)
        heard = self.heard.get(report.endpoint)
        if heard is None or heard.incarnation != report.incarnation:
            return False
        self._put(report.endpoint, evolve(heard, load=report.load, at=now))
        return True

    def _put(self, endpoint: EndpointName, present: HeardLoad) -> None:
        """Let a service's sum follow the load of an endpoint."""
        before = self.heard.get(endpoint)
        if before is not None and before.service != present.service:
            self._subtract(before)
            before = None
        self.heard[endpoint] = present
        counted = before.load if before is not None else Load()
        total = self.sums.get(present.service, ServiceLoad(present.service)).load
        changed = change_load(total, counted, present.load)
        self.sums[present.service] = ServiceLoad(present.service, changed)

    def _subtract(self, heard: HeardLoad) -> None:
        total = change_load(self.sums[heard.service].load, heard.load, Load())
        self.sums[heard.service] = ServiceLoad(heard.service, total)

    def sweep(self, configuration: Configuration, timeout: float, now: float) -> None:
        """Forget loads heard longer ago than `timeout` seconds, and sum the rest."""
        self._note_time(now)
        self.swept_at = now
        if not self.heard:
            self.sums = {}
            return
        self.heard = {
            endpoint.name: heard
            for endpoint in configuration.endpoints
            if (heard := self.heard.get(endpoint.name)) is not None
            and heard.service == endpoint.service
            and now - heard.at < timeout
        }
        self.sums = {
            service.name: self._sum_service(service, configuration)
            for service in configuration.services
        }

    def _sum_service(
        self, service: Service, configuration: Configuration
    ) -> ServiceLoad:
        loads = [
            self.heard[endpoint.name].load
            for endpoint in configuration.list_endpoints(service.name)
            if endpoint.name in self.heard
        ]
        return ServiceLoad(service.name, add_loads(loads))

    def _note_time(self, now: float) -> None:
        """Note that this host did not run for a while."""
        if self.swept_at and now - self.swept_at > MAX_SWEEP_GAP:
            self.trusted_at = now + BACKLOG_TIME
            self.swept_at = now

    def count_missing(self, service: ServiceName, configuration: Configuration) -> int:
        """Return how many endpoints of a service have not told their load lately."""
        declared = len(configuration.list_endpoints(service))
        heard = self.sums.get(service, ServiceLoad(service)).load.endpoints
        return max(0, declared - heard)

    def hear_region(self, message: RegionLoads, now: float) -> None:
        """Note the sums of another region."""
        loads = {item.service: item for item in message.loads}
        self.regions[message.region] = HeardRegion(loads, now)

    def sum_load(self, service: ServiceName, now: float) -> ServiceLoad:
        """Return a service's load over the endpoints of all regions that are heard."""
        others = [
            region.loads[service]
            for region in self.regions.values()
            if service in region.loads and now - region.heard_at < REGION_TIMEOUT
        ]
        sums = [self.sums.get(service, ServiceLoad(service)), *others]
        return ServiceLoad(service, add_loads(item.load for item in sums))

    def list_sums(self) -> tuple[ServiceLoad, ...]:
        """Return this region's sum for each service."""
        return tuple(self.sums.values())
