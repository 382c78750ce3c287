"""Configuration: decodes the operators' documents into route tables."""

from __future__ import annotations

import json
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
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise DocumentError(
            f"The configuration can't be read ({error!r}); send a complete document."
        ) from error


def _read_version(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"version is {value!r}, not a non-negative integer")
    return value


def _decode_route(item: dict[str, Any]) -> Route:
    kind = item["kind"]
    if kind not in ROUTE_KINDS:
        raise ValueError(f"kind is {kind!r}, not one of {sorted(ROUTE_KINDS)}")
    return Route(
        name=str(item["name"]),
        host=str(item["host"]).lower(),
        path_prefix=str(item["pathPrefix"]),
        shares=_decode_shares(item),
        retry_policy=_decode_retry_policy(kind, bool(item.get("resumeStreams", False))),
        is_stream=kind == KIND_STREAMING,
        timeout=float(item["timeoutMs"]) / 1000,
        latency_objective=float(item.get("targetLatencyMs", 0)) / 1000,
        rank=int(item.get("priority", 0)),
        max_attempts=max(1, int(item.get("maxAttempts", 1))),
        allows_anonymous=bool(item.get("allowAnonymous", False)),
        gap_objective=float(item.get("gapAimMs") or 0) / 1000,
    )


def _decode_shares(item: dict[str, Any]) -> tuple[TrafficShare, ...]:
    split = item.get("trafficSplit")
    if split is None:
        return (TrafficShare(str(item["service"])),)
    return tuple(
        TrafficShare(str(part["service"]), int(part["weight"])) for part in split
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
        EngineCapacity(int(engine["slots"]), int(engine["kvCapacity"]))
        if engine
        else None
    )
    return GatewayService(
        name=str(item["name"]),
        health_path=str(item.get("healthPath", "")),
        max_connections=int(item.get("maxConnections", 0)),
        engine=capacity,
    )


def _decode_workspace(item: dict[str, Any]) -> WorkspaceKeys:
    rank = item.get("priority")
    return WorkspaceKeys(
        name=str(item["name"]),
        key_digests=tuple(digest_key(str(key)) for key in item["apiKeys"]),
        rank=None if rank is None else int(rank),
    )


def _decode_limits(item: dict[str, Any]) -> RequestLimits:
    return RequestLimits(
        header_bytes=int(item["maxHeaderBytes"]),
        body_bytes=int(item["maxBodyBytes"]),
        header_timeout=float(item["headerTimeoutMs"]) / 1000,
        idle_timeout=float(item["idleTimeoutMs"]) / 1000,
    )
