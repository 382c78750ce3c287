"""Usage: the token counts in the answers of model engines."""

from __future__ import annotations

import re

from attrs import define, frozen

# A longer count would fit into no message or metric.
_COUNT = rb"\s*(\d{1,12})(?!\d)"
PROMPT_TOKENS = re.compile(rb'"prompt_tokens":' + _COUNT)
CACHED_TOKENS = re.compile(rb'"cached_tokens":' + _COUNT)
COMPLETION_TOKENS = re.compile(rb'"completion_tokens":' + _COUNT)
TAIL_BYTES = 4096  # engines report the usage at the end


@frozen
class Usage:
    """Number of tokens in a prompt, and how many of them were cached."""

    prompt_tokens: int
    cached_tokens: int


def find_usage(data: bytes) -> Usage | None:
    """Return the usage that a piece of an answer reports, or None."""
    prompt = PROMPT_TOKENS.search(data)
    if prompt is None:
        return None
    cached = CACHED_TOKENS.search(data)
    return Usage(int(prompt[1]), int(cached[1]) if cached else 0)


@define
class AnswerTail:
    """Last bytes of an answer, which report the number of its tokens."""

    tail: bytes = b""

    def feed(self, data: bytes) -> None:
        """Append the next piece of the answer."""
        self.tail = (self.tail + data)[-TAIL_BYTES:]

    def count_generated_tokens(self) -> int:
        """Return the number of generated tokens, or 0 if the answer reports none."""
        counts = COMPLETION_TOKENS.findall(self.tail)
        return int(counts[-1]) if counts else 0
