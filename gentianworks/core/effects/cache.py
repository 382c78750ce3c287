"""Cache: moves of cached prompts between endpoints."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.cache.state import CachedPrompt, TransferId
from gentianworks.core.effects.base import Effect
from gentianworks.core.types import EndpointName


@frozen
class MovePrompt(Effect):
    """Export a prompt from the engine and offer it to another endpoint's agent.

    The end is reported as PromptMoved or MoveFailed; `timeout` is the longest silence
    of either, in seconds, and `rate` is in bytes a second.
    """

    transfer: TransferId
    prompt: CachedPrompt
    endpoint: EndpointName
    http_address: str
    timeout: float
    rate: float


@frozen
class CancelMove(Effect):
    """Give up a move."""

    transfer: TransferId


@frozen
class TakePrompt(Effect):
    """Import an offered prompt into the engine and report its end as PromptTaken."""

    transfer: TransferId
