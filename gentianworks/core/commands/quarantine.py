"""Quarantine: changes of the registry of suspects."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.commands.base import Command, Outcome
from gentianworks.core.quarantine.suspects import Fingerprint, Suspect
from gentianworks.core.types import AttemptId, ServiceName


@frozen
class ReportCrash(Command):
    """Crash to count for a request; `peer_address` is that of the agent."""

    peer_address: str
    report: str
    incident: str
    fingerprint: Fingerprint
    service: ServiceName


@frozen
class CrashCounted(Outcome):
    """Suspect after the crash was counted."""

    suspect: Suspect


@frozen
class BeginTrial(Command):
    """Start of a trial: one copy of a suspect may run, for up to `lifetime` seconds."""

    peer_address: str
    fingerprint: Fingerprint
    attempt: AttemptId
    lifetime: float


@frozen
class TrialDecided(Outcome):
    """Decision whether the copy may run."""

    is_granted: bool


@frozen
class EndTrial(Command):
    """End of a trial, after which another copy of the suspect may run."""

    peer_address: str
    fingerprint: Fingerprint
    attempt: AttemptId


@frozen
class TrialReleased(Outcome):
    """Confirmation that the copy has no trial any more."""


@frozen
class ReleaseSuspect(Command):
    """Operator's release of a suspect, which removes its crashes."""

    operator: str
    fingerprint: Fingerprint


@frozen
class SuspectReleased(Outcome):
    """Result of a release: whether the request was a suspect."""

    was_known: bool
