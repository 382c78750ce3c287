"""Membership: heartbeats, load reports, and the platform's list of hosts."""

from __future__ import annotations

from attrs import field, frozen

from gentianworks.core.busy_replicas.loads import SharedLoad
from gentianworks.core.cold_replicas.registry import ColdRates
from gentianworks.core.events.base import Event, Message
from gentianworks.core.gateway.replicas import ListVersion
from gentianworks.core.request_limits.replica_limits import LentShare, ReportedLimit
from gentianworks.core.types import (
    EndpointName,
    Load,
    RankLoad,
    ServiceLoad,
    ServiceName,
)


@frozen
class ControlHostsTold(Message):
    """Addresses of the control hosts, sent to a node by one that doesn't lead."""

    peer_addresses: tuple[str, ...]


@frozen
class HeartbeatDue(Event):
    """Occurs when the next heartbeat is due."""


@frozen
class Heartbeat(Message):
    """A node's incarnation, load and revision, sent to the leading control host.

    `epoch` and `version` identify the state of the fleet's endpoints that the node has,
    and `suspects_version` its list of suspects; `replica_suspects_version` that of what
    crashes replicas, and `evacuations_revision` that of the evacuated zones. With
    `asks_sum`, any control host
    responds with the load sum that it knows. `sent_at` is in seconds of the node's
    clock. `limits` are the replicas' request limits that a router has learned, and
    `limits_version` is its version of the leader's table of them. `cold_rates` are
    those of the services in its route table. `busy_replicas` are the loads that
    answers have told the router since its last heartbeat.
    """

    endpoint: EndpointName
    incarnation: int
    is_leaving: bool
    load: Load
    revision: int
    peer_address: str
    epoch: str = ""
    version: int = 0
    suspects_version: int = 0
    replica_suspects_version: int = 0
    evacuations_revision: int = 0
    ranks: tuple[RankLoad, ...] = ()
    sent_at: float = 0.0
    asks_sum: bool = False
    limits: tuple[ReportedLimit, ...] = ()
    limits_version: ListVersion = field(factory=ListVersion)
    cold_rates: ColdRates = field(factory=ColdRates)
    busy_replicas: tuple[SharedLoad, ...] = ()


@frozen
class EndpointState:
    """State of one endpoint as the control hosts know it.

    A held endpoint is live but gets no new work yet, because it has disconnected and
    returned too often of late.
    """

    endpoint: EndpointName
    incarnation: int
    is_live: bool
    is_leaving: bool
    is_held: bool = False


@frozen
class HeartbeatAnswer(Message):
    """Response to a heartbeat, with the changes in the fleet since the node's last one.

    `control_addresses` are those of the control group, and `routers` is the number of
    routers that send heartbeats to the leader; both are empty if the settings name all
    control hosts. `endpoints` has the changes from `base_version` to `version` of the
    leader's `epoch`, oldest first and at most one page of them. `loads` has the sum
    over all regions for the service of the node's endpoint. `list_version` and
    `list_age`, in seconds, describe the leader's list of replicas. `limits` is the
    table of the replicas' request limits if its `limits_version` is new to the router.
    `busy_replicas` are those of the leader's table.
    """

    peer_address: str
    revision: int
    loads: tuple[ServiceLoad, ...]
    endpoints: tuple[EndpointState, ...]
    epoch: str = ""
    base_version: int = 0
    version: int = 0
    control_addresses: tuple[str, ...] = ()
    routers: int = 0
    list_version: ListVersion = field(factory=ListVersion)
    list_age: float = 0.0
    limits_version: ListVersion = field(factory=ListVersion)
    limits: tuple[LentShare, ...] = ()
    busy_replicas: tuple[SharedLoad, ...] = ()


@frozen
class LoadSumOverdue(Event):
    """Occurs when the load sum that the heartbeat of `sent_at` requested is overdue."""

    sent_at: float


@frozen
class LoadSum(Message):
    """Response to a heartbeat that requested the load sum of its endpoint's service.

    `asked_at` is the `sent_at` of that heartbeat. `total` counts every declared
    endpoint; unless `is_whole` is set, some of them have reported no load and count as
    idle.
    """

    peer_address: str
    total: ServiceLoad
    asked_at: float
    is_whole: bool


@frozen
class LoadReport(Message):
    """Endpoint's load between heartbeats, sent to the source of its latest sum."""

    endpoint: EndpointName
    incarnation: int
    load: Load


@frozen
class LoadReportDue(Event):
    """Occurs when a delayed report of a load change may be sent."""


@frozen
class LoadFell(Message):
    """Notice to an endpoint between heartbeats that the load of its service has fallen.

    `peer_address` is that of the control host; `total` is the sum over all regions.
    """

    peer_address: str
    total: ServiceLoad


@frozen
class LoadFellDue(Event):
    """Occurs when a delayed notice that a service's load has fallen may be sent."""

    service: ServiceName


@frozen
class RegionLoads(Message):
    """Load sums over a region's endpoints, for the control hosts of other regions."""

    region: str
    loads: tuple[ServiceLoad, ...]


@frozen
class LivenessCheckDue(Event):
    """Occurs when a control host is due to look for endpoints without heartbeats."""


@frozen
class PlatformPollDue(Event):
    """Occurs when the control host is due to fetch the platform's list of hosts."""


@frozen
class PlatformHost:
    """One host of the platform's list; the address is an IP or IP:PORT."""

    address: str
    is_leaving: bool


@frozen
class PlatformHostsListed(Event):
    """Occurs when the platform's list of hosts has been fetched.

    The list lags behind the actual state.
    """

    hosts: tuple[PlatformHost, ...]


@frozen
class SeedCheckDue(Event):
    """Occurs when a control host is due to read the seeds of its settings again."""


@frozen
class SeedsRead(Event):
    """Occurs when the settings have changed; `addresses` are those of the seeds."""

    addresses: tuple[str, ...]
