"""Lifecycle: timers, messages, log events and the exit of a process."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.effects.base import Effect
from gentianworks.core.events.base import Event, Message


@frozen
class SetTimer(Effect):
    """Deliver `event` at `due_at`, in seconds of the process's clock."""

    due_at: float
    event: Event


@frozen
class SendMessage(Effect):
    """Send a message to the node at a peer address, without a guarantee of delivery."""

    address: str
    message: Message


@frozen
class LogEvent(Effect):
    """Write a log event with a code and details."""

    code: str
    details: tuple[tuple[str, str], ...] = ()


@frozen
class StopProcess(Effect):
    """Exit the process, which has no more work in flight."""
