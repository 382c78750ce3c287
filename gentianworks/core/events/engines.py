"""Engines: responses and loads of an agent's engine, and timers of its queue.

`call` numbers the engine calls of one attempt from 1: a suspended attempt is called
again when it resumes.
"""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from gentianworks.core.events.base import Event
from gentianworks.core.types import (
    AttemptId,
    Header,
)


class CallFailure(Enum):
    """Ways in which a call to an engine can fail."""

    NOT_SENT = "not-sent"
    CUT = "cut"
    TIMED_OUT = "timed-out"


@frozen
class EngineAnswerStarted(Event):
    """Occurs when the status and headers of an engine's response have been received."""

    attempt: AttemptId
    status: int
    headers: tuple[Header, ...]
    call: int = 1


@frozen
class EngineAnswerPiece(Event):
    """Occurs when a piece of an engine's response has been received.

    `first_event` and `last_event` are the numbers of the complete events in the piece,
    -1 if it contains anything else.
    """

    attempt: AttemptId
    data: bytes
    first_event: int = -1
    last_event: int = -1
    call: int = 1


@frozen
class EngineAnswerEnded(Event):
    """Occurs when an engine's response is complete.

    `generated` is the number of tokens that the response reports as generated, 0 if
    none.
    """

    attempt: AttemptId
    call: int = 1
    generated: int = 0


@frozen
class EngineCallFailed(Event):
    """Occurs when a call to an engine ended without an end mark."""

    attempt: AttemptId
    failure: CallFailure
    call: int = 1


@frozen
class QueueTimedOut(Event):
    """Occurs when a queued attempt has waited for the queue timeout of its rank."""

    attempt: AttemptId


@frozen
class PreemptionDue(Event):
    """Occurs when a queued attempt has waited long enough to pre-empt another one."""

    attempt: AttemptId


@frozen
class LoadsReceived(Event):
    """Occurs when the loads and states of the fleet's endpoints have been received."""


@frozen
class LoadsOverdue(Event):
    """Occurs when the loads that the last heartbeat requested are overdue."""


@frozen
class EngineLoadPollDue(Event):
    """Occurs when the agent is due to poll the engine for its running calls."""


@frozen
class EngineLoadFetched(Event):
    """Occurs when an engine has reported its running calls.

    `running` are the names of the calls that ran `age` seconds ago.
    """

    running: tuple[str, ...]
    age: float


@frozen
class EngineLoadUnavailable(Event):
    """Occurs when an engine's load could not be read.

    `may_be_running` is True if the engine may be running calls nevertheless.
    """

    may_be_running: bool
