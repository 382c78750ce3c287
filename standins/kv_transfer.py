"""KV transfer: encoding of a prefix's KV cache between stand-in engines."""

from __future__ import annotations

import json
import random

from attrs import asdict

from standins.cache import PrefixSegment


def encode_kv(segments: list[PrefixSegment], bytes_per_token: int) -> bytes:
    """Return the encoding of a prefix, padded to the size of its KV cache."""
    if not segments:
        return b""
    head = json.dumps([asdict(segment) for segment in segments]).encode()
    return head + b"\n" + _generate_payload(segments, bytes_per_token)


def decode_kv(data: bytes, bytes_per_token: int) -> list[PrefixSegment]:
    """Return the segments of a prefix, or none if the data are incomplete."""
    head, _, rest = data.partition(b"\n")
    try:
        segments = [PrefixSegment(**item) for item in json.loads(head)]
    except ValueError:
        return []
    is_complete = bool(segments) and rest == _generate_payload(
        segments, bytes_per_token
    )
    return segments if is_complete else []


def _generate_payload(segments: list[PrefixSegment], bytes_per_token: int) -> bytes:
    """Return incompressible bytes that differ between prefixes."""
    tokens = sum(segment.tokens for segment in segments)
    return random.Random(segments[-1].prefix).randbytes(tokens * bytes_per_token)
