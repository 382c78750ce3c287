"""Replica suspects: crashes of replicas, and messages about what caused them."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.events.base import Event, Message
from gentianworks.core.gateway.replicas import ReplicaName
from gentianworks.core.quarantine.replica_suspects import LostCall, ReplicaSuspect
from gentianworks.core.quarantine.suspects import Fingerprint
from gentianworks.core.types import ServiceName


@frozen
class CrashCheckDue(Event):
    """Occurs when a replica that lost calls is to be checked for a crash."""

    replica: ReplicaName


@frozen
class ReplicaChecked(Event):
    """Occurs when a replica has accepted or refused a connection, or done neither."""

    replica: ReplicaName
    is_refused: bool


@frozen
class ReplicaCrashReported(Message):
    """Report to a control host of the calls that a router lost in a replica's crash.

    `report` identifies this report across resends.
    """

    peer_address: str
    report: str
    replica: ReplicaName
    service: ServiceName
    calls: tuple[LostCall, ...]


@frozen
class ReplicaCrashAcknowledged(Message):
    """Acknowledgement to a router that a crash is counted."""

    report: str


@frozen
class ReplicaCrashReportDue(Event):
    """Occurs when an unacknowledged crash report is due to be sent again."""

    report: str


@frozen
class ReplicaSuspectsChanged(Message):
    """The fleet's replica suspects as of `version`, sent to a router.

    `unproven` are those that are not quarantined, with their crashes.
    """

    version: int
    quarantined: tuple[ReplicaSuspect, ...]
    unproven: dict[Fingerprint, int]


@frozen
class SuspectsServed(Message):
    """Report to a control host that calls of suspects were served.

    `is_since_crash` is set if they were served after the suspicion, not before it.
    """

    fingerprints: tuple[Fingerprint, ...]
    is_since_crash: bool


@frozen
class TrialWaitExpired(Event):
    """Occurs when a held call has waited for its trial as long as it may."""

    fingerprint: Fingerprint


@frozen
class ReplicaTrialWanted(Message):
    """A router's request to send the quarantined call that it holds."""

    peer_address: str
    fingerprint: Fingerprint
