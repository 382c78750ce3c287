"""Calls: decodes requests of clients and encodes problems as responses."""

from __future__ import annotations

import json

from attrs import frozen

from gentianworks.core.gateway.calls import Call, PromptPart
from gentianworks.core.types import Header, Problem, ProblemKind, RunState
from gentianworks.platform import header_names

DEFAULT_TIMEOUT = 3600.0  # seconds; the route's timeout ends such a call sooner
MAX_NUMBER_DIGITS = 18
STATUS_NOT_RUN = 503
STATUS_FAILED = 502
STATUS_TIMED_OUT = 504
STATUS_OF_KIND = {
    ProblemKind.NO_SUCH_ROUTE: 404,
    ProblemKind.UNAUTHENTICATED: 401,
    ProblemKind.BODY_TOO_LARGE: 413,
    ProblemKind.BAD_REQUEST: 400,
}


@frozen
class EncodedProblem:
    """HTTP response that reports a problem to a client."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


def decode_call(
    method: str, target: str, headers: tuple[Header, ...], body: bytes
) -> Call:
    """Return the call for a client's request."""
    values = {item.name: item.value for item in headers}
    dropped = (
        header_names.HOP_HEADERS
        | header_names.SYSTEM_HEADERS
        | (_list_connection_options(values) - header_names.REPLICA_HEADERS)
    )
    return Call(
        request_id=values.get(header_names.REQUEST_ID, ""),
        host=values.get("host", "").partition(":")[0].lower(),
        method=method,
        path=target,
        headers=tuple(item for item in headers if item.name not in dropped),
        body=body,
        timeout=_read_timeout(values.get(header_names.REQUEST_DEADLINE, "")),
        api_key=_read_api_key(values.get(header_names.AUTHORIZATION, "")),
        prompt=_read_prompt_parts(values.get(header_names.PROMPT_PREFIX, "")),
        output_tokens=_read_output_tokens(values.get(header_names.TOKEN_COUNTS, "")),
        last_event=_read_number(values.get(header_names.LAST_EVENT_ID, ""), -1),
    )


def encode_problem(problem: Problem) -> EncodedProblem:
    """Return the response that reports a problem to a client.

    The status is 503 only for a call that has not run and will not run.
    """
    body = json.dumps({"error": problem.kind.value, "detail": problem.detail})
    headers = [Header("content-type", "application/json")]
    status = _get_status(problem)
    if status == STATUS_NOT_RUN and problem.retry_after > 0:
        headers.append(Header("retry-after", f"{problem.retry_after:.3f}"))
    return EncodedProblem(status, tuple(headers), body.encode())


def _get_status(problem: Problem) -> int:
    if problem.kind in STATUS_OF_KIND:
        return STATUS_OF_KIND[problem.kind]
    if problem.kind is ProblemKind.DEADLINE_PASSED:
        return STATUS_TIMED_OUT
    return STATUS_NOT_RUN if problem.run_state is RunState.NOT_RUN else STATUS_FAILED


def _list_connection_options(values: dict[str, str]) -> set[str]:
    return {name.strip().lower() for name in values.get("connection", "").split(",")}


def _read_number(text: str, default: int) -> int:
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS
    return int(text) if is_number else default


def _read_timeout(text: str) -> float:
    milliseconds = _read_number(text, -1)
    return DEFAULT_TIMEOUT if milliseconds < 0 else milliseconds / 1000


def _read_api_key(text: str) -> str:
    return (
        text.removeprefix(header_names.BEARER)
        if text.startswith(header_names.BEARER)
        else ""
    )


def _read_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(",") if text else ():
        digest, _, tokens = item.strip().partition(":")
        parts.append(PromptPart(digest, _read_number(tokens, 0)))
    return tuple(parts)


def _read_output_tokens(text: str) -> int:
    _, _, tokens = text.partition(",")
    return _read_number(tokens.strip(), 0)
