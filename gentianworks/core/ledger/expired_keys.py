"""Expired keys: digests of the used idempotency keys whose records have expired."""

from __future__ import annotations

from bisect import bisect_left

from attrs import define, field, frozen

from gentianworks.core.ledger.types import KeyId

DIGEST_BYTES = 8
KEYS_PER_SEGMENT = 16_384
EXPIRED_KEY_WINDOW = 7 * 24 * 3600.0  # seconds


@frozen
class KeySegment:
    """Sorted digests of expired keys."""

    added_at: float  # seconds, of the latest key
    digests: bytes

    def __contains__(self, digest: bytes) -> bool:
        """Return whether the segment contains a digest."""
        index = bisect_left(range(len(self)), digest, key=self._read)
        return index < len(self) and self._read(index) == digest

    def __len__(self) -> int:
        """Return the number of digests."""
        return len(self.digests) // DIGEST_BYTES

    def _read(self, index: int) -> bytes:
        return self.digests[index * DIGEST_BYTES : (index + 1) * DIGEST_BYTES]


@define
class ExpiredKeys:
    """Set of the keys whose records have expired.

    Older keys are stored in segments of KEYS_PER_SEGMENT sorted, truncated digests.
    """

    recent: dict[KeyId, float] = field(factory=dict)  # to the time of expiry
    segments: tuple[KeySegment, ...] = ()

    def __contains__(self, key: KeyId) -> bool:
        """Return whether the record of a key has expired."""
        digest = _truncate(key)
        return key in self.recent or any(digest in part for part in self.segments)

    def add(self, key: KeyId, now: float) -> None:
        """Add a key whose record has expired."""
        self.recent[key] = now
        if len(self.recent) >= KEYS_PER_SEGMENT:
            digests = b"".join(sorted(_truncate(item) for item in self.recent))
            self.segments = (*self.segments, KeySegment(now, digests))
            self.recent = {}

    def drop_old(self, now: float) -> None:
        """Drop the keys that expired longer ago than EXPIRED_KEY_WINDOW."""
        limit = now - EXPIRED_KEY_WINDOW
        while self.segments and self.segments[0].added_at < limit:
            self.segments = self.segments[1:]
        while self.recent and next(iter(self.recent.values())) < limit:
            del self.recent[next(iter(self.recent))]


def _truncate(key: KeyId) -> bytes:
    return bytes.fromhex(key)[:DIGEST_BYTES]
