"""Draws: fractions that follow from a text alone, the same at every process."""

from __future__ import annotations

import xxhash

DIGESTS = 1 << 64


def draw_fraction(key: str) -> float:
    """Return a fraction from 0 to below 1 that is evenly spread over keys."""
    return xxhash.xxh3_64_intdigest(key.encode()) / DIGESTS
