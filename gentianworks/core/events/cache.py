"""Cache: the messages and events of moving cached prompts between endpoints."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.cache.state import CachedPrompt, MoveFailure, TransferId
from gentianworks.core.events.base import Event, Message
from gentianworks.core.types import EndpointName


@frozen
class PromptOffer(Message):
    """Offer a cached prompt to an endpoint; its pieces follow."""

    transfer: TransferId
    endpoint: EndpointName
    prompt: CachedPrompt


@frozen
class PromptPiece(Message):
    """Carry one piece of a cached prompt; `sequence` counts from 0."""

    transfer: TransferId
    sequence: int
    data: bytes


@frozen
class PromptEnd(Message):
    """Mark the whole end of a cached prompt after `pieces` pieces."""

    transfer: TransferId
    pieces: int


@frozen
class PromptMoved(Event):
    """Report that another endpoint holds a prompt now; `size` is in bytes."""

    transfer: TransferId
    size: int


@frozen
class MoveFailed(Event):
    """Report that a prompt was not moved."""

    transfer: TransferId
    failure: MoveFailure


@frozen
class MovesExpired(Event):
    """Report that the time for moving prompts away is over."""


@frozen
class PromptTaken(Event):
    """Report the end of an import; `is_held` tells whether the engine has it whole."""

    transfer: TransferId
    is_held: bool
