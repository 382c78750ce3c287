"""Prefix cache of limited size, with events that arrive late and with gaps."""

from __future__ import annotations

import json
import random
from collections import OrderedDict

import xxhash
from attrs import define, field, frozen

BYTES_PER_TOKEN = 4


def digest_prefix(messages: list[object]) -> str:
    """Return the digest of a list of messages."""
    text = json.dumps(messages, sort_keys=True, separators=(",", ":"))
    return xxhash.xxh3_64_hexdigest(text.encode())


def count_tokens(message: object) -> int:
    """Return the number of tokens that one message counts for."""
    return len(json.dumps(message)) // BYTES_PER_TOKEN + 1


@frozen
class CacheEvent:
    """Event about a stored or evicted prefix."""

    sequence: int
    kind: str
    prefix: str
    at: float  # Unix time from which the event is visible to readers


@frozen
class PrefixSegment:
    """One message of a cached prefix, under the digest of the prefix it completes."""

    prefix: str
    tokens: int


@define
class PrefixCache:
    """Prefixes of chats with least-recently-used eviction.

    `entries` gives the tokens of the last message of each prefix, `parents` the
    prefix without that message.
    """

    capacity_tokens: int
    event_lag: float  # seconds
    event_loss: float  # probability that an event is lost
    entries: OrderedDict[str, int] = field(factory=OrderedDict)
    parents: dict[str, str] = field(factory=dict)
    events: list[CacheEvent] = field(factory=list)
    used_tokens: int = 0
    last_sequence: int = 0
    random_source: random.Random = field(factory=lambda: random.Random(1))

    def count_cached_messages(self, messages: list[object]) -> int:
        """Return the number of leading messages that are cached."""
        for length in range(len(messages), 0, -1):
            if digest_prefix(messages[:length]) in self.entries:
                return length
        return 0

    def store(self, messages: list[object], now: float) -> None:
        """Cache every prefix of a list of messages.

        The shortest becomes the most recently used, so eviction starts at the longest.
        """
        segments = [
            PrefixSegment(digest_prefix(messages[: number + 1]), count_tokens(message))
            for number, message in enumerate(messages)
        ]
        self.store_segments(segments, now)

    def store_segments(self, segments: list[PrefixSegment], now: float) -> None:
        """Cache the segments of a prefix; the first becomes the most recently used."""
        parents = ["", *(segment.prefix for segment in segments)]
        for segment, parent in reversed(list(zip(segments, parents, strict=False))):
            if segment.prefix not in self.entries:
                self.entries[segment.prefix] = segment.tokens
                self.parents[segment.prefix] = parent
                self.used_tokens += segment.tokens
                self._record_event("stored", segment.prefix, now)
            self.entries.move_to_end(segment.prefix)
        while self.used_tokens > self.capacity_tokens:
            prefix, tokens = self.entries.popitem(last=False)
            self.parents.pop(prefix)
            self.used_tokens -= tokens
            self._record_event("evicted", prefix, now)

    def list_segments(self, prefix: str) -> list[PrefixSegment]:
        """Return the segments of a prefix, or none if any of them isn't cached."""
        segments: list[PrefixSegment] = []
        while prefix in self.entries:
            segments.insert(0, PrefixSegment(prefix, self.entries[prefix]))
            prefix = self.parents[prefix]
        return [] if prefix else segments

    def list_events(self, after: int, now: float) -> list[CacheEvent]:
        """Return the events after a sequence number that are visible by now."""
        return [item for item in self.events if item.sequence > after and item.at < now]

    def _record_event(self, kind: str, prefix: str, now: float) -> None:
        self.last_sequence += 1
        if self.random_source.random() >= self.event_loss:
            event = CacheEvent(self.last_sequence, kind, prefix, now + self.event_lag)
            self.events.append(event)
