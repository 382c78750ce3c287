"""Replica suspects: changes of the registry of what crashes replicas."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.commands.base import Command, Outcome
from gentianworks.core.quarantine.replica_suspects import LostCall, ReplicaSuspect
from gentianworks.core.quarantine.suspects import Fingerprint
from gentianworks.core.types import ServiceName


@frozen
class CountReplicaCrash(Command):
    """Crash of a replica to count against the calls that a router lost in it."""

    peer_address: str
    report: str
    replica: str
    service: ServiceName
    calls: tuple[LostCall, ...]


@frozen
class ReplicaCrashCounted(Outcome):
    """Suspects that the crash has quarantined."""

    quarantined: tuple[ReplicaSuspect, ...]
    is_changed: bool


@frozen
class RecordServedCalls(Command):
    """Served calls of suspects, before the crashes or since."""

    fingerprints: tuple[Fingerprint, ...]
    is_since_crash: bool


@frozen
class ServedCallsRecorded(Outcome):
    """Suspects that the served calls have released from quarantine."""

    released: tuple[ReplicaSuspect, ...]


@frozen
class OfferReplicaTrials(Command):
    """Offer of trials to the first router that has a call with a fingerprint."""

    fingerprints: tuple[Fingerprint, ...]


@frozen
class ReplicaTrialsOffered(Outcome):
    """Result of an offer: whether there is a new one."""

    is_changed: bool


@frozen
class BeginReplicaTrial(Command):
    """Start of a trial: one router may send one call with a quarantined fingerprint."""

    fingerprint: Fingerprint
    router: str


@frozen
class ReplicaTrialDecided(Outcome):
    """Decision whether the router may send the call."""

    is_granted: bool
