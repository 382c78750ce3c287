"""Cache state: the prompts that an agent's engine has cached, and their moves."""

from __future__ import annotations

from collections import Counter, OrderedDict
from enum import Enum

from attrs import define, field, frozen

from gentianworks.core.routing.placement import PlacementKey, build_placement_key
from gentianworks.core.types import EndpointName, Request

TransferId = str

MAX_PROMPTS = 8192  # prompts
MAX_MOVES = 4  # at a time
MAX_IMPORTS = 4  # at a time
MAX_MISSES = 16  # consecutive prompts that the engine had evicted
MEBIBYTE = 1024 * 1024  # bytes
MOVE_TIME = 10.0  # seconds
MOVE_RATE = 64.0 * MEBIBYTE  # bytes a second


class MoveFailure(Enum):
    """Reason for which a prompt was not moved."""

    NOT_HELD = "not-held"
    REFUSED = "refused"
    LOST = "lost"
    EXPIRED = "expired"


@frozen
class CachedPrompt:
    """Longest prompt of a chat that an engine has run."""

    key: PlacementKey
    digest: str  # of the messages
    size: int  # of the request, in bytes


def build_cached_prompt(request: Request) -> CachedPrompt:
    """Return the prompt of a request to a model engine."""
    return CachedPrompt(
        build_placement_key(request, ""), request.prompt, len(request.body)
    )


@define
class CachedPrompts:
    """Prompts of the chats that an engine served most recently, the newest last."""

    prompts: OrderedDict[str, CachedPrompt] = field(factory=OrderedDict)

    def add(self, prompt: CachedPrompt) -> None:
        """Add a prompt that the engine has cached, or make it the newest."""
        if not self.covers(prompt):
            self.prompts[prompt.key.chat] = prompt
        self.prompts.move_to_end(prompt.key.chat)
        if len(self.prompts) > MAX_PROMPTS:
            self.prompts.popitem(last=False)

    def covers(self, prompt: CachedPrompt) -> bool:
        """Return whether the engine has cached this prompt or a longer one."""
        cached = self.prompts.get(prompt.key.chat)
        return cached is not None and cached.size >= prompt.size

    def pop_newest(self) -> CachedPrompt | None:
        """Remove and return the newest prompt, or None."""
        return self.prompts.popitem()[1] if self.prompts else None


@define
class MoveCounts:
    """Counts of moved prompts and of failed moves by reason."""

    moved: int = 0
    moved_bytes: int = 0
    failures: Counter[MoveFailure] = field(factory=Counter)


@define
class CacheState:
    """State of an engine's prompt cache at its agent."""

    move_time: float = MOVE_TIME  # seconds
    move_rate: float = MOVE_RATE  # bytes a second
    prompts: CachedPrompts = field(factory=CachedPrompts)
    # destinations of the moves in progress
    moves: dict[TransferId, EndpointName] = field(factory=dict)
    imports: dict[TransferId, CachedPrompt] = field(factory=dict)
    # endpoints excluded after a failed move
    failed_endpoints: set[EndpointName] = field(factory=set)
    counts: MoveCounts = field(factory=MoveCounts)
    # end of the time for starting moves, in seconds; 0 before they start
    moves_until: float = 0.0
    consecutive_misses: int = 0  # prompts that the engine had evicted

    def may_start_move(self, now: float) -> bool:
        """Return whether one more prompt may be moved now."""
        has_time = now < self.moves_until
        return (
            has_time
            and len(self.moves) < MAX_MOVES
            and self.consecutive_misses < MAX_MISSES
        )
