"""Lifecycle: the start and the graceful stop of a process."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.events.base import Event


@frozen
class ProcessStarted(Event):
    """Occurs when the process has started under a new incarnation number."""

    incarnation: int


@frozen
class ShutdownRequested(Event):
    """Occurs when the operator has requested a graceful stop."""


@frozen
class StopCheckDue(Event):
    """Occurs when a stopping process is due to check whether it may exit."""
