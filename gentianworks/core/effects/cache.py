"""Cache: transfers of cached prompts between endpoints."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.cache.state import CachedPrompt, TransferId
from gentianworks.core.effects.base import Effect
from gentianworks.core.types import EndpointName


@frozen
class MovePrompt(Effect):
    """Export a prompt from the engine and offer it to another endpoint's agent.

    The result is reported as `PromptMoved` or `MoveFailed`. `timeout` is the longest
    time in seconds without data from the engine or the agent; `rate` is in bytes per
    second.
    """

    transfer: TransferId
    prompt: CachedPrompt
    endpoint: EndpointName
    http_address: str
    timeout: float
    rate: float


@frozen
class CancelMove(Effect):
    """Cancel the transfer of a prompt."""

    transfer: TransferId


@frozen
class ImportPrompt(Effect):
    """Import an offered prompt into the engine and report `PromptImportEnded`."""

    transfer: TransferId
