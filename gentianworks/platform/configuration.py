"""Configuration: decodes the operators' documents into route tables."""

from __future__ import annotations

import json
import math
import zlib
from base64 import b85decode, b85encode
from typing import Any

from gentianworks.core.gateway.documents import RouteDocument
from gentianworks.core.gateway.route_table import (
    EngineCapacity,
    GatewayService,
    RequestLimits,
    RetryPolicy,
    Route,
    RouteTable,
    TrafficShare,
    WorkspaceKeys,
    digest_key,
)

COMPRESSION_LEVEL = 6
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024  # four times the operators' largest document
MAX_INTEGER = 2**53  # what all JSON parsers keep exactly
KIND_SAFE = "safe"
KIND_STREAMING = "streaming"
ROUTE_KINDS = frozenset({KIND_SAFE, "unsafe", KIND_STREAMING})


class DocumentError(Exception):
    """Raised when a document can't be decoded; the message names the fault."""


def encode_document(revision: int, body: bytes) -> RouteDocument:
    """Return a document that stores the body byte for byte, compressed."""
    packed = zlib.compress(body, COMPRESSION_LEVEL)
    return RouteDocument(revision, b85encode(packed).decode())


def decode_document(document: RouteDocument) -> bytes:
    """Return the body that a document stores."""
    packed = b85decode(document.content)
    return zlib.decompressobj().decompress(packed, MAX_DOCUMENT_BYTES)


def decode_table(body: bytes) -> RouteTable:
    """Return the route table of a body, or raise DocumentError with the fault."""
    try:
        document = json.loads(body)
        return RouteTable(
            revision=_read_version(document["version"]),
            routes=tuple(_decode_route(item) for item in document["routes"]),
            services=tuple(_decode_service(item) for item in document["services"]),
            workspaces=tuple(
                _decode_workspace(item) for item in document.get("tenants") or ()
            ),
            limits=_decode_limits(document["limits"]),
        )
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        RecursionError,
        OverflowError,
    ) as error:
        raise DocumentError(
            f"The configuration can't be read ({error!r}); send a complete document."
        ) from error


def _read_version(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"version is {value!r}, not a non-negative integer")
    return _read_integer(value)


def _read_integer(value: Any) -> int:
    """Return an integer that fits into messages between processes."""
    number = int(value)
    if abs(number) > MAX_INTEGER:
        raise ValueError(f"an integer of {number.bit_length()} bits is too large")
    return number


def _read_milliseconds(value: Any) -> float:
    """Return a finite time in seconds."""
    seconds = float(value) / 1000
    if not math.isfinite(seconds):
        raise ValueError(f"a time of {value!r} ms is not finite")
    return seconds


def _read_text(value: Any) -> str:
    """Return a text that can be sent in a header."""
    text = str(value)
    if not text.isprintable():
        raise ValueError(f"{text!r} has characters that can't be sent")
    return text


def _decode_route(item: dict[str, Any]) -> Route:
    kind = item["kind"]
    if kind not in ROUTE_KINDS:
        raise ValueError(f"kind is {kind!r}, not one of {sorted(ROUTE_KINDS)}")
    return Route(
        name=_read_text(item["name"]),
        host=_read_text(item["host"]).lower(),
        path_prefix=_read_text(item["pathPrefix"]),
        shares=_decode_shares(item),
        retry_policy=_decode_retry_policy(kind, bool(item.get("resumeStreams", False))),
        is_stream=kind == KIND_STREAMING,
        timeout=_read_milliseconds(item["timeoutMs"]),
        latency_objective=_read_milliseconds(item.get("targetLatencyMs", 0)),
        rank=_read_integer(item.get("priority", 0)),
        max_attempts=max(1, _read_integer(item.get("maxAttempts", 1))),
        allows_anonymous=bool(item.get("allowAnonymous", False)),
        gap_objective=_read_milliseconds(item.get("gapAimMs") or 0),
    )


def _decode_shares(item: dict[str, Any]) -> tuple[TrafficShare, ...]:
    split = item.get("trafficSplit")
    if split is None:
        return (TrafficShare(_read_text(item["service"])),)
    return tuple(
        TrafficShare(_read_text(part["service"]), _read_integer(part["weight"]))
        for part in split
    )


def _decode_retry_policy(kind: str, is_resumable: bool) -> RetryPolicy:
    if kind == KIND_SAFE:
        return RetryPolicy.REPEATABLE
    if kind == KIND_STREAMING and is_resumable:
        return RetryPolicy.RESUMABLE
    return RetryPolicy.AT_MOST_ONCE


def _decode_service(item: dict[str, Any]) -> GatewayService:
    engine = item.get("engine")
    capacity = (
        EngineCapacity(
            _read_integer(engine["slots"]), _read_integer(engine["kvCapacity"])
        )
        if engine
        else None
    )
    return GatewayService(
        name=_read_text(item["name"]),
        health_path=_read_text(item.get("healthPath", "")),
        max_connections=_read_integer(item.get("maxConnections", 0)),
        engine=capacity,
    )


def _decode_workspace(item: dict[str, Any]) -> WorkspaceKeys:
    rank = item.get("priority")
    return WorkspaceKeys(
        name=_read_text(item["name"]),
        key_digests=tuple(digest_key(str(key)) for key in item["apiKeys"]),
        rank=None if rank is None else _read_integer(rank),
    )


def _decode_limits(item: dict[str, Any]) -> RequestLimits:
    return RequestLimits(
        header_bytes=_read_integer(item["maxHeaderBytes"]),
        body_bytes=_read_integer(item["maxBodyBytes"]),
        header_timeout=_read_milliseconds(item["headerTimeoutMs"]),
        idle_timeout=_read_milliseconds(item["idleTimeoutMs"]),
    )
