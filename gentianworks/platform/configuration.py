"""Configuration: decodes the operators' documents into route tables."""

from __future__ import annotations

import json
import math
import zlib
from base64 import b85decode, b85encode
from collections.abc import Iterator
from itertools import chain
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
MAX_SHOWN_CHARACTERS = 80  # of a text in a message
MAX_INTEGER = 2**53  # what all JSON parsers keep exactly
MAX_VERSION = 2**63 - 1  # operators may take a time in nanoseconds as the version
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
    """Return the body that a document stores, or raise DocumentError with the fault."""
    try:
        packed = b85decode(document.content)
        return zlib.decompressobj().decompress(packed, MAX_DOCUMENT_BYTES)
    except (ValueError, zlib.error) as error:
        raise DocumentError(
            f"Stored configuration {document.revision} can't be unpacked ({error}); "
            f"send a configuration with a higher version."
        ) from error


def decode_table(body: bytes, *, is_stored: bool = False) -> RouteTable:
    """Return the route table of a body, or raise DocumentError with the fault.

    Texts that can't be sent are decoded too, since a stored document may have some;
    `find_unsendable_texts` lists them. What should be a list and isn't counts as an
    empty list in a stored document and is a fault in a new one.
    """
    try:
        document = json.loads(body)
        if not is_stored:
            _check_lists(document)
        return RouteTable(
            revision=_read_version(document["version"]),
            routes=tuple(map(_decode_route, _read_list(document["routes"]))),
            services=tuple(map(_decode_service, _read_list(document["services"]))),
            workspaces=_decode_workspaces(document.get("tenants")),
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


def find_unsendable_texts(table: RouteTable) -> tuple[str, ...]:
    """Return a message for each text that no message can carry, with the remedy."""
    return (
        *chain.from_iterable(
            _check_route_texts(f"routes[{index}]", route)
            for index, route in enumerate(table.routes)
        ),
        *chain.from_iterable(
            _check_printable(f"services[{index}].name", service.name)
            for index, service in enumerate(table.services)
        ),
        *chain.from_iterable(
            _check_header_value(f"tenants[{index}].name", workspace.name)
            for index, workspace in enumerate(table.workspaces or ())
        ),
    )


def _check_route_texts(field: str, route: Route) -> Iterator[str]:
    yield from _check_printable(f"{field}.name", route.name)
    yield from _check_printable(f"{field}.host", route.host)
    yield from _check_printable(f"{field}.pathPrefix", route.path_prefix)


def _check_printable(field: str, text: str) -> Iterator[str]:
    if not text.isprintable():
        yield (
            f"{field} is {shorten_text(text)}, which has characters that can't be "
            f"sent; remove control characters, separators and surrogates."
        )


def _check_header_value(field: str, text: str) -> Iterator[str]:
    """Check a text that is sent in a header, which ends with its last non-space."""
    yield from _check_printable(field, text)
    if not text:
        yield f"{field} is empty, as for a call without a key; give it a name."
    elif text != text.strip():
        yield (
            f"{field} is {shorten_text(text)}, which begins or ends with a space, and "
            f"no header keeps it; remove the space."
        )


def shorten_text(text: str) -> str:
    """Return the representation of a text, cut if it is long."""
    shown = ascii(text)
    if len(shown) <= MAX_SHOWN_CHARACTERS:
        return shown
    return f"{shown[:MAX_SHOWN_CHARACTERS]}..."


def _check_lists(document: dict[str, Any]) -> None:
    """Raise ValueError if a field that has to be a list is something else."""
    tenants = document.get("tenants")
    fields = {
        "routes": document["routes"],
        "services": document["services"],
        "tenants": [] if tenants is None else tenants,
    }
    for index, item in enumerate(_read_list(tenants)):
        fields[f"tenants[{index}].apiKeys"] = item["apiKeys"]
    for field, value in fields.items():
        if not isinstance(value, list):
            raise ValueError(f"{field} is {shorten_text(str(value))}, not a list")


def _read_list(value: Any) -> list[Any]:
    """Return a list, which is empty if the value is no list."""
    return value if isinstance(value, list) else []


def _read_version(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"version is {value!r}, not a non-negative integer")
    return _read_integer(value, MAX_VERSION)


def _read_integer(value: Any, limit: int = MAX_INTEGER) -> int:
    """Return an integer that fits into messages between processes."""
    number = int(value)
    if abs(number) > limit:
        raise ValueError(f"an integer of {number.bit_length()} bits is too large")
    return number


def _read_milliseconds(value: Any) -> float:
    """Return a finite time in seconds."""
    seconds = float(value) / 1000
    if not math.isfinite(seconds):
        raise ValueError(f"a time of {value!r} ms is not finite")
    return seconds


def _read_amount(value: Any) -> float:
    """Return a finite number that is not negative; 0 stands for a missing one."""
    amount = float(value or 0)
    if not math.isfinite(amount) or amount < 0:
        raise ValueError(f"an amount is {value!r}, not a number from 0")
    return amount


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
        return (TrafficShare(str(item["service"])),)
    return tuple(
        TrafficShare(str(part["service"]), _read_integer(part["weight"]))
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
        name=str(item["name"]),
        health_path=str(item.get("healthPath", "")),
        max_connections=_read_integer(item.get("maxConnections", 0)),
        engine=capacity,
        cold_rate=_read_amount(item.get("coldPerS")),
        cold_time=_read_amount(item.get("coldS")),
    )


def _decode_workspaces(value: Any) -> tuple[WorkspaceKeys, ...] | None:
    """Return the workspaces, or None if a document has no list of them at all."""
    return None if value is None else tuple(map(_decode_workspace, _read_list(value)))


def _decode_workspace(item: dict[str, Any]) -> WorkspaceKeys:
    rank = item.get("priority")
    return WorkspaceKeys(
        name=str(item["name"]),
        key_digests=tuple(digest_key(str(key)) for key in _read_list(item["apiKeys"])),
        rank=None if rank is None else _read_integer(rank),
    )


def _decode_limits(item: dict[str, Any]) -> RequestLimits:
    return RequestLimits(
        header_bytes=_read_integer(item["maxHeaderBytes"]),
        body_bytes=_read_integer(item["maxBodyBytes"]),
        header_timeout=_read_milliseconds(item["headerTimeoutMs"]),
        idle_timeout=_read_milliseconds(item["idleTimeoutMs"]),
    )
