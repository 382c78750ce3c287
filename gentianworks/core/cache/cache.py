"""Cache: the prompts that an agent knows its engine to hold, and their moves."""

from __future__ import annotations

from collections import Counter, OrderedDict
from enum import Enum

from attrs import define, field, frozen

from gentianworks.core.routing.placement import PlacementKey, build_placement_key
from gentianworks.core.types import EndpointName, Request

TransferId = str

MAX_PROMPTS = 8192
MAX_MOVES = 4
MAX_IMPORTS = 4
MAX_MISSES = 16
MEBIBYTE = 1024 * 1024
MOVE_TIME = 10.0  # seconds
MOVE_RATE = 64.0 * MEBIBYTE  # bytes a second


class MoveFailure(Enum):
    """Tell why a prompt was not moved."""

    NOT_HELD = "not-held"
    REFUSED = "refused"
    LOST = "lost"
    EXPIRED = "expired"


@frozen
class CachedPrompt:
    """Describe the longest prompt of a chat that an engine has run.

    `digest` is that of its messages; `size` is that of the request in bytes.
    """

    key: PlacementKey
    digest: str
    size: int


def describe_prompt(request: Request) -> CachedPrompt:
    """Return the prompt of a request to a model engine."""
    return CachedPrompt(
        build_placement_key(request, ""), request.prompt, len(request.body)
    )


@define
class CachedPrompts:
    """Hold the prompts of the chats that an engine served last, the newest last."""

    prompts: OrderedDict[str, CachedPrompt] = field(factory=OrderedDict)

    def note(self, prompt: CachedPrompt) -> None:
        """Note that the engine holds a prompt now."""
        if not self.holds(prompt):
            self.prompts[prompt.key.chat] = prompt
        self.prompts.move_to_end(prompt.key.chat)
        if len(self.prompts) > MAX_PROMPTS:
            self.prompts.popitem(last=False)

    def holds(self, prompt: CachedPrompt) -> bool:
        """Tell whether the engine holds this prompt of a chat or a longer one."""
        held = self.prompts.get(prompt.key.chat)
        return held is not None and held.size >= prompt.size

    def take_newest(self) -> CachedPrompt | None:
        """Remove and return the prompt that was noted last, or None."""
        return self.prompts.popitem()[1] if self.prompts else None


@define
class MoveCounts:
    """Count the prompts that were moved, their bytes, and why others were not."""

    moved: int = 0
    size: int = 0
    failures: Counter[MoveFailure] = field(factory=Counter)


@define
class CacheState:
    """Hold what an agent knows of its engine's prompt cache.

    `moves` are the prompts on their way to other endpoints, by the endpoint that
    each goes to, and `imports` those on their way here. Moves begin before `until`, 0
    where none have begun since the endpoint came; `misses` counts the prompts in a
    row that the engine no longer held; `passed_over` are endpoints that a move has
    failed at. `move_time` is in seconds and `move_rate` in bytes a second.
    """

    move_time: float = MOVE_TIME
    move_rate: float = MOVE_RATE
    prompts: CachedPrompts = field(factory=CachedPrompts)
    moves: dict[TransferId, EndpointName] = field(factory=dict)
    imports: dict[TransferId, CachedPrompt] = field(factory=dict)
    passed_over: set[EndpointName] = field(factory=set)
    counts: MoveCounts = field(factory=MoveCounts)
    until: float = 0.0
    misses: int = 0

    def may_start_move(self, now: float) -> bool:
        """Tell whether one more prompt may be moved now."""
        has_time = now < self.until
        return has_time and len(self.moves) < MAX_MOVES and self.misses < MAX_MISSES
