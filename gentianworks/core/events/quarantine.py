"""Quarantine: messages about requests that crashed an engine."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.events.base import Event, Message
from gentianworks.core.events.operators import OperatorRequest
from gentianworks.core.quarantine.suspects import Fingerprint, Suspect
from gentianworks.core.types import AttemptId, ServiceName


@frozen
class CrashReported(Message):
    """Tell a control host that a request was in flight when an engine crashed.

    `incident` names the crash, which is one for all requests that were in flight;
    `report` is what this request's agent calls the report across resends.
    """

    peer_address: str
    report: str
    incident: str
    fingerprint: Fingerprint
    service: ServiceName


@frozen
class CrashAcknowledged(Message):
    """Tell an agent that a crash is counted and the other agents are told."""

    report: str


@frozen
class SuspectsChanged(Message):
    """Tell a node the fleet's suspects as of `version`."""

    version: int
    suspects: tuple[Suspect, ...]


@frozen
class CrashRetryDue(Event):
    """Report that an unacknowledged crash is to be reported again."""

    report: str


@frozen
class TrialWanted(Message):
    """Ask a control host to let one copy of a suspect run alone.

    It would run for `lifetime` seconds at most.
    """

    peer_address: str
    fingerprint: Fingerprint
    attempt: AttemptId
    lifetime: float


@frozen
class TrialAnswered(Message):
    """Tell an agent whether its copy of a suspect may run."""

    fingerprint: Fingerprint
    attempt: AttemptId
    is_granted: bool


@frozen
class TrialEnded(Message):
    """Tell a control host that a copy of a suspect does not run any more."""

    peer_address: str
    fingerprint: Fingerprint
    attempt: AttemptId


@frozen
class TrialClosed(Message):
    """Tell an agent that the next copy of a suspect may run."""

    attempt: AttemptId


@frozen
class TrialDue(Event):
    """Report that an agent is to ask again for a trial, or to end it again."""

    attempt: AttemptId


@frozen
class ReleaseRequested(OperatorRequest):
    """Report that an operator releases a request from quarantine."""

    fingerprint: Fingerprint
