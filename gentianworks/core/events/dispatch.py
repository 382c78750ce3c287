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
    """Ask an agent to run one attempt of a request.

    `incarnation` is that of the agent the attempt was made for, 0 where any
    will do; `deadline` is in seconds left when the message was sent;
    `resume_after` is the number of the last event that the caller already has,
    -1 where the answer is to begin at its start; `claim` is that of a request
    which must not be repeated; `crashes` counts the engines that failed during
    the request's earlier attempts.
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
    """Carry the status and headers of an attempt's answer."""

    attempt: AttemptId
    status: int
    headers: tuple[Header, ...]
    incarnation: int
    load: Load
    revision: int
    level: AdmissionLevel = field(factory=AdmissionLevel)


@frozen
class AnswerPiece(Message):
    """Carry one piece of an attempt's answer; `sequence` counts from 0.

    `first_event` and `last_event` number the whole events that make up the piece,
    -1 where it is made of anything else.
    """

    attempt: AttemptId
    sequence: int
    data: bytes
    first_event: int = -1
    last_event: int = -1


@frozen
class AnswerEnd(Message):
    """Mark the whole end of an answer after `pieces` pieces."""

    attempt: AttemptId
    pieces: int
    load: Load


@frozen
class AttemptRefused(Message):
    """Say that an attempt was refused, or failed, and why."""

    attempt: AttemptId
    problem: Problem
    incarnation: int
    load: Load
    revision: int
    level: AdmissionLevel = field(factory=AdmissionLevel)


@frozen
class AttemptCut(Event):
    """Report that the connection to an agent failed before the answer ended.

    `was_sent` is False only where no byte of the dispatch left this process.
    """

    attempt: AttemptId
    was_sent: bool


@frozen
class RouterLeft(Event):
    """Report that the router closed its connection for an attempt."""

    attempt: AttemptId
