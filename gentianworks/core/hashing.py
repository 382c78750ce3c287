"""Hashing: pseudo-random fractions derived from a key, the same at every process."""

from __future__ import annotations

import xxhash

DIGEST_COUNT = 1 << 64


def hash_to_fraction(key: str) -> float:
    """Return a fraction in [0, 1) that is uniformly distributed over keys."""
    return xxhash.xxh3_64_intdigest(key.encode()) / DIGEST_COUNT
