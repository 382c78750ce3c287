"""Quarantine: messages about requests that crashed an engine."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.events.base import Event, Message
from gentianworks.core.events.operators import OperatorRequest
from gentianworks.core.quarantine.suspects import Fingerprint, Suspect
from gentianworks.core.types import AttemptId, ServiceName


@frozen
class CrashReported(Message):
    """Report to a control host that a request was in flight when an engine crashed.

    `incident` identifies the crash and is the same for all requests in flight at that
    time; `report` identifies this report across resends.
    """

    peer_address: str
    report: str
    incident: str
    fingerprint: Fingerprint
    service: ServiceName


@frozen
class CrashAcknowledged(Message):
    """Acknowledgement to an agent that a crash is counted and all agents know it."""

    report: str


@frozen
class SuspectsChanged(Message):
    """The fleet's suspects as of `version`, sent to a node."""

    version: int
    suspects: tuple[Suspect, ...]


@frozen
class CrashRetryDue(Event):
    """Occurs when an unacknowledged crash report is due to be sent again."""

    report: str


@frozen
class TrialWanted(Message):
    """Request to a control host to let one copy of a suspect run alone.

    The copy runs for at most `lifetime` seconds.
    """

    peer_address: str
    fingerprint: Fingerprint
    attempt: AttemptId
    lifetime: float


@frozen
class TrialAnswered(Message):
    """Response to an agent that says whether its copy of a suspect may run."""

    fingerprint: Fingerprint
    attempt: AttemptId
    is_granted: bool


@frozen
class TrialEnded(Message):
    """Report to a control host that a copy of a suspect has stopped running."""

    peer_address: str
    fingerprint: Fingerprint
    attempt: AttemptId


@frozen
class TrialClosed(Message):
    """Notice to an agent that the next copy of a suspect may run."""

    attempt: AttemptId


@frozen
class TrialRetryDue(Event):
    """Occurs when the request for a trial, or the report of its end, is due again."""

    attempt: AttemptId


@frozen
class SuspectReleaseRequested(OperatorRequest):
    """Operator's request to release a fingerprint from quarantine."""

    fingerprint: Fingerprint
