"""Dispatch: the messages of an attempt between router and agent."""

from __future__ import annotations

from attrs import field, frozen

from gentianworks.core.events.base import Event, Message
from gentianworks.core.ledger.types import Claim
from gentianworks.core.types import (
    AdmissionLevel,
    AttemptId,
    EndpointName,
    Header,
    Load,
    Problem,
    Request,
)


@frozen
class Dispatch(Message):
    """Request to an agent to run one attempt.

    `incarnation` is that of the agent for which the attempt was created, 0 for any.
    `deadline` is the time remaining when the message was sent, in seconds.
    `resume_after` is the number of the last event that the caller has received, -1 to
    start at the beginning of the response. `claim` is set for a request that must not
    be repeated. `crashes` counts the engines that crashed during earlier attempts.
    """

    attempt: AttemptId
    endpoint: EndpointName
    incarnation: int
    deadline: float
    revision: int
    request: Request
    resume_after: int = -1
    claim: Claim | None = None
    crashes: int = 0


@frozen
class AnswerHead(Message):
    """Status and headers of an attempt's response."""

    attempt: AttemptId
    status: int
    headers: tuple[Header, ...]
    incarnation: int
    load: Load
    revision: int
    level: AdmissionLevel = field(factory=AdmissionLevel)


@frozen
class AnswerPiece(Message):
    """One piece of an attempt's response; `sequence` counts from 0.

    `first_event` and `last_event` are the numbers of the complete events in the piece,
    -1 if it contains anything else.
    """

    attempt: AttemptId
    sequence: int
    data: bytes
    first_event: int = -1
    last_event: int = -1


@frozen
class AnswerEnd(Message):
    """End mark of a complete response of `pieces` pieces."""

    attempt: AttemptId
    pieces: int
    load: Load


@frozen
class AttemptRefused(Message):
    """Refusal or failure of an attempt, with the reason."""

    attempt: AttemptId
    problem: Problem
    incarnation: int
    load: Load
    revision: int
    level: AdmissionLevel = field(factory=AdmissionLevel)


@frozen
class AttemptConnectionLost(Event):
    """Occurs when the connection to an agent failed before the end of the response.

    `was_sent` is False only if no byte of the dispatch was written to the connection.
    """

    attempt: AttemptId
    was_sent: bool


@frozen
class RouterDisconnected(Event):
    """Occurs when the router closed the connection of an attempt."""

    attempt: AttemptId
