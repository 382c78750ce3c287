"""Cold replicas: signs that a replica may have started again, and timers."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.events.base import Event


@frozen
class ReplicaDisconnected(Event):
    """Occurs when a replica closes an idle connection before its time."""

    replica: str


@frozen
class RestartWaitEnded(Event):
    """Occurs when a replica that was lost at a time in seconds is warm for certain."""

    replica: str
    lost_at: float
