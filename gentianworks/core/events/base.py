"""Base: the base classes of events and of messages between processes."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.types import (
    NodeId,
)


@frozen
class Event:
    """Base class of every input of the reducer."""


@frozen
class Message(Event):
    """Base class of events that another process sent."""

    sender: NodeId
