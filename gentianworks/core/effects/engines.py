"""Engines: calls of an agent to its engine."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.effects.base import Effect
from gentianworks.core.types import (
    AttemptId,
    Request,
)


@frozen
class CallEngine(Effect):
    """Run an attempt at the engine and report its response as events.

    The engine resumes after event `resume_after`; -1 requests the complete response.
    `timeout` is in seconds.
    """

    attempt: AttemptId
    request: Request
    priority: int
    timeout: float
    call: int = 1
    resume_after: int = -1


@frozen
class CancelEngineCall(Effect):
    """Cancel a call to the engine."""

    attempt: AttemptId


@frozen
class FetchEngineLoad(Effect):
    """Query the engine for its running calls and report the response as an event."""


@frozen
class CancelOrphanedCall(Effect):
    """Cancel an engine call that an earlier process of this agent left running."""

    name: str
