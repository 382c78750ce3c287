"""Cold replicas: timers of replicas that may have started again."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.events.base import Event


@frozen
class RestartWaitEnded(Event):
    """Occurs when a replica that was lost at a time in seconds is warm for certain."""

    replica: str
    lost_at: float
