"""Load table: the endpoint loads that a control host has received, and their sums."""

from __future__ import annotations

from attrs import define, evolve, field, frozen

from gentianworks.core.events.membership import Heartbeat, LoadReport, RegionLoads
from gentianworks.core.load.bound import replace_load, sum_loads
from gentianworks.core.types import (
    Configuration,
    EndpointName,
    Load,
    Service,
    ServiceLoad,
    ServiceName,
)

REGION_TIMEOUT = 10.0  # seconds
MAX_SWEEP_GAP = 0.75  # seconds; beyond it, the host was paused
BACKLOG_TIME = 1.0  # seconds


@frozen
class ReceivedLoad:
    """Load that an endpoint last reported."""

    service: ServiceName
    load: Load
    incarnation: int
    received_at: float  # seconds


@frozen
class RegionSums:
    """Sums that another region last reported."""

    sums: dict[ServiceName, ServiceLoad]
    received_at: float  # seconds


@define
class FallAnnouncement:
    """Last announcement of a fall of a service's load."""

    sent_at: float = 0.0  # seconds
    highest_sum: Load = field(factory=Load)  # highest sum since then
    is_scheduled: bool = False  # a timer for the next announcement is set


@frozen
class SentSum:
    """Sum that an endpoint was last sent."""

    load: Load
    sent_at: float  # seconds


@define
class LoadFalls:
    """Sums last sent to each endpoint, and the last announcement for each service."""

    sent_sums: dict[EndpointName, SentSum] = field(factory=dict)
    announcements: dict[ServiceName, FallAnnouncement] = field(factory=dict)

    def get_announcement(self, service: ServiceName) -> FallAnnouncement:
        """Return the last announcement for a service."""
        return self.announcements.setdefault(service, FallAnnouncement())


@define
class LoadTable:
    """Loads that a control host, leading or not, has received; times in seconds.

    A host that was paused first receives a backlog of old messages; until
    `trusted_at` it can't tell them from new ones.
    """

    loads: dict[EndpointName, ReceivedLoad] = field(factory=dict)
    sums: dict[ServiceName, ServiceLoad] = field(factory=dict)
    regions: dict[str, RegionSums] = field(factory=dict)
    falls: LoadFalls = field(factory=LoadFalls)
    # heartbeats that requested a sum before it was complete
    pending_heartbeats: dict[ServiceName, dict[EndpointName, Heartbeat]] = field(
        factory=dict
    )
    swept_at: float = 0.0
    trusted_at: float = 0.0

    def record_heartbeat(
        self, heartbeat: Heartbeat, configuration: Configuration, now: float
    ) -> None:
        """Store the load that a heartbeat reports."""
        self._detect_pause(now)
        endpoint = configuration.find_endpoint_at(
            heartbeat.endpoint, heartbeat.peer_address
        )
        if endpoint is None:
            return
        load = ReceivedLoad(
            endpoint.service, heartbeat.load, heartbeat.incarnation, now
        )
        self._update(endpoint.name, load)

    def record_report(self, report: LoadReport, now: float) -> bool:
        """Store a load reported between heartbeats; return False if it is outdated."""
        self._detect_pause(now)
        received = self.loads.get(report.endpoint)
        if received is None or received.incarnation != report.incarnation:
            return False
        self._update(
            report.endpoint, evolve(received, load=report.load, received_at=now)
        )
        return True

    def _update(self, endpoint: EndpointName, present: ReceivedLoad) -> None:
        """Store the load of an endpoint and update its service's sum."""
        before = self.loads.get(endpoint)
        if before is not None and before.service != present.service:
            self._subtract(before)
            before = None
        self.loads[endpoint] = present
        counted = before.load if before is not None else Load()
        total = self.sums.get(present.service, ServiceLoad(present.service)).load
        changed = replace_load(total, counted, present.load)
        self.sums[present.service] = ServiceLoad(present.service, changed)

    def _subtract(self, received: ReceivedLoad) -> None:
        total = replace_load(self.sums[received.service].load, received.load, Load())
        self.sums[received.service] = ServiceLoad(received.service, total)

    def sweep(self, configuration: Configuration, timeout: float, now: float) -> None:
        """Remove loads received over `timeout` seconds ago, and recompute the sums."""
        self._detect_pause(now)
        self.swept_at = now
        if not self.loads:
            self.sums = {}
            return
        self.loads = {
            endpoint.name: received
            for endpoint in configuration.endpoints
            if (received := self.loads.get(endpoint.name)) is not None
            and received.service == endpoint.service
            and now - received.received_at < timeout
        }
        self.sums = {
            service.name: self._sum_service(service, configuration)
            for service in configuration.services
        }

    def _sum_service(
        self, service: Service, configuration: Configuration
    ) -> ServiceLoad:
        loads = [
            self.loads[endpoint.name].load
            for endpoint in configuration.list_endpoints(service.name)
            if endpoint.name in self.loads
        ]
        return ServiceLoad(service.name, sum_loads(loads))

    def _detect_pause(self, now: float) -> None:
        """Distrust messages for a while if this host was paused."""
        if self.swept_at and now - self.swept_at > MAX_SWEEP_GAP:
            self.trusted_at = now + BACKLOG_TIME
            self.swept_at = now

    def count_missing(self, service: ServiceName, configuration: Configuration) -> int:
        """Return how many endpoints of a service have no recently reported load."""
        declared = len(configuration.list_endpoints(service))
        known = self.sums.get(service, ServiceLoad(service)).load.endpoints
        return max(0, declared - known)

    def record_region(self, message: RegionLoads, now: float) -> None:
        """Store the sums that another region reports."""
        loads = {item.service: item for item in message.loads}
        self.regions[message.region] = RegionSums(loads, now)

    def sum_regions(self, service: ServiceName, now: float) -> ServiceLoad:
        """Return a service's load over this region and those that reported recently."""
        others = [
            region.sums[service]
            for region in self.regions.values()
            if service in region.sums and now - region.received_at < REGION_TIMEOUT
        ]
        sums = [self.sums.get(service, ServiceLoad(service)), *others]
        return ServiceLoad(service, sum_loads(item.load for item in sums))

    def list_sums(self) -> tuple[ServiceLoad, ...]:
        """Return this region's sum for each service."""
        return tuple(self.sums.values())
