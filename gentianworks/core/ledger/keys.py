"""Ledger keys: which idempotency keys were used before their records expired."""

from __future__ import annotations

from bisect import bisect_left

from attrs import define, field, frozen

from gentianworks.core.ledger.types import KeyId

DIGEST_BYTES = 8
SEGMENT_KEYS = 16_384
EXPIRED_KEY_WINDOW = 7 * 24 * 3600.0  # seconds


@frozen
class KeySegment:
    """Hold sorted digests of expired keys; `added_at` is that of the latest."""

    added_at: float
    digests: bytes

    def __contains__(self, digest: bytes) -> bool:
        """Tell whether a digest is in the segment."""
        index = bisect_left(range(len(self)), digest, key=self._read)
        return index < len(self) and self._read(index) == digest

    def __len__(self) -> int:
        """Return the number of digests."""
        return len(self.digests) // DIGEST_BYTES

    def _read(self, index: int) -> bytes:
        return self.digests[index * DIGEST_BYTES : (index + 1) * DIGEST_BYTES]


@define
class ExpiredKeys:
    """Hold the digests of keys whose records have expired."""

    recent: dict[KeyId, float] = field(factory=dict)
    segments: tuple[KeySegment, ...] = ()

    def __contains__(self, key: KeyId) -> bool:
        """Tell whether a key was used and has expired."""
        digest = _shorten(key)
        return key in self.recent or any(digest in part for part in self.segments)

    def add(self, key: KeyId, now: float) -> None:
        """Add a key whose record has expired."""
        self.recent[key] = now
        if len(self.recent) >= SEGMENT_KEYS:
            digests = b"".join(sorted(_shorten(item) for item in self.recent))
            self.segments = (*self.segments, KeySegment(now, digests))
            self.recent = {}

    def drop_old(self, now: float) -> None:
        """Drop the keys that have been expired for the whole window."""
        limit = now - EXPIRED_KEY_WINDOW
        while self.segments and self.segments[0].added_at < limit:
            self.segments = self.segments[1:]
        while self.recent and next(iter(self.recent.values())) < limit:
            del self.recent[next(iter(self.recent))]


def _shorten(key: KeyId) -> bytes:
    return bytes.fromhex(key)[:DIGEST_BYTES]
