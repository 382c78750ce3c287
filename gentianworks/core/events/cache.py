"""Cache: messages and events of the transfer of cached prompts between endpoints."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.cache.state import CachedPrompt, MoveFailure, TransferId
from gentianworks.core.events.base import Event, Message
from gentianworks.core.types import EndpointName


@frozen
class PromptOffer(Message):
    """Offer of a cached prompt to an endpoint, sent ahead of the prompt's pieces."""

    transfer: TransferId
    endpoint: EndpointName
    prompt: CachedPrompt


@frozen
class PromptPiece(Message):
    """One piece of a cached prompt; `sequence` counts from 0."""

    transfer: TransferId
    sequence: int
    data: bytes


@frozen
class PromptEnd(Message):
    """End mark of a completely sent cached prompt of `pieces` pieces."""

    transfer: TransferId
    pieces: int


@frozen
class PromptMoved(Event):
    """Occurs when the target endpoint has imported a prompt; `size` is in bytes."""

    transfer: TransferId
    size: int


@frozen
class MoveFailed(Event):
    """Occurs when the transfer of a prompt failed."""

    transfer: TransferId
    failure: MoveFailure


@frozen
class MovesExpired(Event):
    """Occurs when the time allowed for the transfer of prompts has passed."""


@frozen
class PromptImportEnded(Event):
    """Occurs when the import of a prompt has ended.

    `is_imported` is set if the engine has all of the prompt.
    """

    transfer: TransferId
    is_imported: bool
