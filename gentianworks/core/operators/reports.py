"""Reports: a control host's answers to operators."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.gateway.documents import RouteDocument
from gentianworks.core.operators.audit import AuditEntry
from gentianworks.core.orders.fencing import Order
from gentianworks.core.quarantine.suspects import Suspect
from gentianworks.core.types import Configuration, Role


@frozen
class Report:
    """Base class of the answers to operators."""


@frozen
class ChangeReport(Report):
    """Revision that a change created, with the digest of its audit entry."""

    change: str
    revision: int
    is_repeated: bool
    audit_digest: str


@frozen
class OrderReport(Report):
    """Order as issued, with its number and start time."""

    order: Order
    request: str
    is_repeated: bool


@frozen
class ReleaseReport(Report):
    """Outcome of a release; `was_known` is True if the request crashed an engine."""

    fingerprint: str
    was_known: bool


@frozen
class EvacuationReport(Report):
    """State of a zone after an operator's order, and the revision that has it."""

    zone: str
    is_evacuated: bool
    revision: int


@frozen
class RoutesReport(Report):
    """Accepted table of routes, as it was submitted."""

    document: RouteDocument


@frozen
class ConfigurationReport(Report):
    """Accepted configuration."""

    configuration: Configuration


@frozen
class AuditReport(Report):
    """Page of the audit trail; an empty page is past the last entry."""

    entries: tuple[AuditEntry, ...]


@frozen
class KeyReport(Report):
    """Ledger record of an idempotency key.

    `status` is the HTTP status of the endpoint's answer, 0 if there is none.
    """

    workspace: str
    key: str
    outcome: str
    endpoint: str = ""
    status: int = 0
    changed_at: float = 0.0


@frozen
class ControlReport:
    """Member of the control group; a learner has no vote yet."""

    host: str
    peer_address: str
    is_leader: bool
    is_learner: bool


@frozen
class NodeReport:
    """Last heartbeat of a router or agent, and its state."""

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
    """Summed load of a service's live endpoints."""

    service: str
    endpoints: int
    live: int
    requests: int
    queued: int
    cost: int


@frozen
class RankReport:
    """Summed load of a rank over all live endpoints."""

    rank: str
    requests: int
    queued: int


@frozen
class StatusReport(Report):
    """State of the fleet, as known to one control host.

    `is_confirmed` is True if a quorum has confirmed that the host is current.
    `orders` contains the pending and the latest settled orders.
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
    """Endpoint in the order for a chat; `reason` says why it is skipped."""

    endpoint: str
    availability_zone: str
    is_usable: bool
    reason: str


@frozen
class PlacementReport(Report):
    """Order of endpoints for a chat; the first usable one serves it."""

    service: str
    workspace: str
    chat: str
    revision: int
    candidates: tuple[CandidateReport, ...]
