"""Reports: what a control host tells operators."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.gateway.documents import RouteDocument
from gentianworks.core.operators.audit import AuditEntry
from gentianworks.core.orders.fencing import Order
from gentianworks.core.quarantine.suspects import Suspect
from gentianworks.core.types import Configuration, Role


@frozen
class Report:
    """Stand for any answer to an operator."""


@frozen
class ChangeReport(Report):
    """Tell which revision a change made; `audit_digest` is its audit entry's."""

    change: str
    revision: int
    is_repeated: bool
    audit_digest: str


@frozen
class OrderReport(Report):
    """Tell an order's number and when it is passed on."""

    order: Order
    request: str
    is_repeated: bool


@frozen
class ReleaseReport(Report):
    """Tell whether a released request had crashed any engine."""

    fingerprint: str
    was_known: bool


@frozen
class RoutesReport(Report):
    """Carry the accepted table of routes as it was sent."""

    document: RouteDocument


@frozen
class ConfigurationReport(Report):
    """Carry the accepted configuration."""

    configuration: Configuration


@frozen
class AuditReport(Report):
    """Carry entries of the audit trail; more follow while it is not empty."""

    entries: tuple[AuditEntry, ...]


@frozen
class KeyReport(Report):
    """Tell what the ledger knows of an idempotency key.

    `status` is that of the endpoint's answer, 0 where it has none.
    """

    workspace: str
    key: str
    outcome: str
    endpoint: str = ""
    status: int = 0
    changed_at: float = 0.0


@frozen
class ControlReport:
    """Tell of one member of the control group; a learner has no vote yet."""

    host: str
    peer_address: str
    is_leader: bool
    is_learner: bool


@frozen
class NodeReport:
    """Tell what was last heard of one router or agent."""

    name: str
    role: Role
    endpoint: str
    revision: int
    seconds_ago: float
    is_live: bool
    is_leaving: bool
    is_held: bool
    requests: int
    queued: int


@frozen
class ServiceReport:
    """Tell the summed load of a service's live endpoints."""

    service: str
    endpoints: int
    live: int
    requests: int
    queued: int
    cost: int


@frozen
class RankReport:
    """Tell the summed load of one rank over all live endpoints."""

    rank: str
    requests: int
    queued: int


@frozen
class StatusReport(Report):
    """Tell the state of the fleet as one control host knows it.

    `is_confirmed` tells whether a quorum has confirmed that the host is current.
    `orders` holds those that are pending and the latest that are settled.
    """

    host: str
    is_confirmed: bool
    revision: int
    controls: tuple[ControlReport, ...]
    nodes: tuple[NodeReport, ...]
    services: tuple[ServiceReport, ...]
    ranks: tuple[RankReport, ...]
    quarantined: tuple[Suspect, ...] = ()
    orders: tuple[Order, ...] = ()


@frozen
class CandidateReport:
    """Tell of one endpoint in the order for a chat, and why it is passed over."""

    endpoint: str
    availability_zone: str
    is_usable: bool
    reason: str


@frozen
class PlacementReport(Report):
    """Tell the order of endpoints for a chat; the first usable one serves it."""

    service: str
    workspace: str
    chat: str
    revision: int
    candidates: tuple[CandidateReport, ...]
