"""Quarantine: changes of the list of requests that crashed an engine."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.commands.base import Command, Outcome
from gentianworks.core.quarantine.suspects import Fingerprint, Suspect
from gentianworks.core.types import AttemptId, ServiceName


@frozen
class ReportCrash(Command):
    """Count a crash against a request; `peer_address` is that of the agent."""

    peer_address: str
    report: str
    incident: str
    fingerprint: Fingerprint
    service: ServiceName


@frozen
class CrashCounted(Outcome):
    """Carry what is now known of the request."""

    suspect: Suspect


@frozen
class BeginTrial(Command):
    """Let one copy of a suspect run alone for up to `lifetime` seconds."""

    peer_address: str
    fingerprint: Fingerprint
    attempt: AttemptId
    lifetime: float


@frozen
class TrialDecided(Outcome):
    """Say whether the copy may run."""

    is_granted: bool


@frozen
class EndTrial(Command):
    """Let the next copy of a suspect run."""

    peer_address: str
    fingerprint: Fingerprint
    attempt: AttemptId


@frozen
class TrialReleased(Outcome):
    """Say that the copy holds no trial any more."""


@frozen
class ReleaseSuspect(Command):
    """Forget the crashes of a request, as an operator asked."""

    operator: str
    fingerprint: Fingerprint


@frozen
class SuspectReleased(Outcome):
    """Say whether the request was known."""

    was_known: bool
