"""Requests: the decoding of HTTP requests from callers."""

from __future__ import annotations

import json
import math
from typing import Any

import xxhash
from attrs import evolve, frozen
from expression import Error, Ok, Result

from gentianworks.core.types import Header, Problem, ProblemKind, Request
from gentianworks.limits import LimitSettings

CHAT_PATH = "/v1/chat/completions"
SERVICES_PATH = "/services/"
INTERNAL_PREFIX = "gw-"
WORKSPACE_HEADER = "gw-workspace"
RANK_HEADER = "gw-rank"
CHAT_HEADER = "gw-chat"
ENDPOINT_HEADER = "gw-endpoint"
TIMEOUT_HEADER = "gw-timeout"
REPEAT_HEADER = "gw-repeat"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
MAX_NAME_LENGTH = 256  # characters
MAX_TOKENS = 2**31 - 1  # of an answer; a signed integer of 32 bits
BYTES_PER_TOKEN = 4  # approximate
FIRST_TURN_ROLE = "user"
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
UNFORWARDED_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "expect",
        "date",
    }
)
AGENT_HEADERS = frozenset({"x-priority", "x-request-id", "x-chat", "last-event-id"})


@frozen
class RawRequest:
    """HTTP request before decoding."""

    method: str
    target: str  # path and query
    headers: tuple[Header, ...]
    body: bytes


def decode_request(raw: RawRequest, limits: LimitSettings) -> Result[Request, Problem]:
    """Return the decoded request, or the problem that makes it invalid."""
    detail = _check_headers(raw.headers)
    if detail:
        return _reject(detail)
    path = raw.target.partition("?")[0]
    if path == CHAT_PATH:
        return _decode_chat(raw).bind(lambda item: _add_headers(item, raw, limits))
    if path.startswith(SERVICES_PATH):
        return _add_headers(_decode_plain(raw), raw, limits)
    return _reject(
        f"Nothing is served at {path[:MAX_NAME_LENGTH]!r}; "
        f"use {CHAT_PATH} or {SERVICES_PATH}NAME/PATH.",
        ProblemKind.NO_SUCH_SERVICE,
    )


def _reject(
    detail: str, kind: ProblemKind = ProblemKind.BAD_REQUEST
) -> Result[Any, Problem]:
    return Error(Problem(kind, detail))


def _is_router_header(name: str) -> bool:
    return name.startswith(INTERNAL_PREFIX) or name == IDEMPOTENCY_KEY_HEADER


def _check_headers(headers: tuple[Header, ...]) -> str:
    """Return an error in the headers that the router reads, or an empty string."""
    seen = set()
    for header in headers:
        if not _is_router_header(header.name):
            continue
        if header.name in seen:
            return f"The header {header.name} occurs twice; send it once."
        if len(header.value) > MAX_NAME_LENGTH:
            return f"{header.name} exceeds {MAX_NAME_LENGTH} characters; shorten it."
        seen.add(header.name)
    return ""


def _get_header(headers: tuple[Header, ...], name: str, default: str = "") -> str:
    return next((item.value for item in headers if item.name == name), default)


def _decode_chat(raw: RawRequest) -> Result[Request, Problem]:
    if raw.method != "POST":
        return _reject(f"The method is {raw.method}; use POST for {CHAT_PATH}.")
    try:
        document: Any = json.loads(raw.body)
    except (ValueError, RecursionError) as error:
        return _reject(f"The body is not JSON ({error}); send a JSON object.")
    detail = _check_chat(document)
    if detail:
        return _reject(detail)
    messages = document["messages"]
    shared = _count_messages_before_first_turn(messages)
    return Ok(
        Request(
            service=document["model"],
            workspace="",
            rank="",
            method=raw.method,
            path=raw.target,
            headers=_filter_request_headers(raw.headers),
            body=raw.body,
            cost=_estimate_tokens(raw.body) + (document.get("max_tokens") or 0),
            prompt=digest_messages(messages),
            prompt_prefix=digest_messages(messages[: shared + 1]),
            shared_prompt=digest_messages(messages[:shared]) if shared else "",
        )
    )


def _check_chat(document: Any) -> str:
    """Return an error in the body of a chat request, or an empty string."""
    if not isinstance(document, dict):
        return "The body is not a JSON object; send one."
    model, messages = document.get("model"), document.get("messages")
    if not isinstance(model, str) or len(model) > MAX_NAME_LENGTH:
        return "'model' is missing or not a short string; name a service."
    if not isinstance(messages, list) or not messages:
        return "'messages' is missing, empty or not a list; send at least one message."
    if not all(isinstance(message, dict) for message in messages):
        return "'messages' contains items that are not objects; send objects only."
    tokens = document.get("max_tokens")
    if tokens is not None and (type(tokens) is not int or tokens < 0):
        return "'max_tokens' is not a non-negative integer; correct it."
    if tokens is not None and tokens > MAX_TOKENS:
        return f"'max_tokens' exceeds {MAX_TOKENS}; lower it."
    return ""


def _count_messages_before_first_turn(messages: list[dict[str, Any]]) -> int:
    for number, message in enumerate(messages):
        if message.get("role") == FIRST_TURN_ROLE:
            return number
    return 0


def digest_messages(messages: list[dict[str, Any]]) -> str:
    """Return the digest with which engines identify a prefix of messages."""
    text = json.dumps(messages, sort_keys=True, separators=(",", ":"))
    return xxhash.xxh3_64_hexdigest(text.encode())


def _estimate_tokens(body: bytes) -> int:
    return len(body) // BYTES_PER_TOKEN + 1


def _decode_plain(raw: RawRequest) -> Request:
    service, _, rest = raw.target.removeprefix(SERVICES_PATH).partition("/")
    name, has_query, query = service.partition("?")
    return Request(
        service=name,
        workspace="",
        rank="",
        method=raw.method,
        path=f"/{rest}{has_query}{query}",
        headers=_filter_request_headers(raw.headers),
        body=raw.body,
        is_repeatable=raw.method in IDEMPOTENT_METHODS,
        cost=_estimate_tokens(raw.body),
    )


def _add_headers(
    request: Request, raw: RawRequest, limits: LimitSettings
) -> Result[Request, Problem]:
    """Return a request completed from the headers of the caller."""
    timeout = _parse_seconds(
        _get_header(raw.headers, TIMEOUT_HEADER), limits.default_timeout
    )
    if not 0 < timeout <= limits.longest_timeout:
        return _reject(
            f"{TIMEOUT_HEADER} is not a number of seconds above 0 and "
            f"up to {limits.longest_timeout:g}; correct it or omit it."
        )
    key = _get_header(raw.headers, IDEMPOTENCY_KEY_HEADER)
    default = "allowed" if request.is_repeatable else "never"
    repeat = _get_header(raw.headers, REPEAT_HEADER, default)
    if repeat not in {"allowed", "never"}:
        return _reject(f"{REPEAT_HEADER} is {repeat!r}; use 'allowed' or 'never'.")
    return Ok(
        evolve(
            request,
            workspace=_get_header(raw.headers, WORKSPACE_HEADER),
            rank=_get_header(raw.headers, RANK_HEADER),
            chat=_get_header(raw.headers, CHAT_HEADER),
            hint=_get_header(raw.headers, ENDPOINT_HEADER),
            idempotency_key=key,
            is_repeatable=repeat == "allowed" and not key,
            timeout=timeout,
        )
    )


def _parse_seconds(text: str, default: float) -> float:
    if not text:
        return default
    try:
        return float(text)
    except ValueError:
        return math.nan


def _filter_request_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    return tuple(
        header
        for header in filter_forwardable_headers(headers)
        if header.name not in AGENT_HEADERS and header.name != "content-length"
    )


def filter_forwardable_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers that may be forwarded to an endpoint or to a caller."""
    connection_options = {
        name.strip().lower()
        for header in headers
        if header.name == "connection"
        for name in header.value.split(",")
    }
    dropped = UNFORWARDED_HEADERS | connection_options
    return tuple(
        header
        for header in headers
        if header.name not in dropped and not header.name.startswith(INTERNAL_PREFIX)
    )
