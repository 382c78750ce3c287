"""Calls: clients' requests as calls, and problems as answers to them."""

from __future__ import annotations

import json

from attrs import frozen

from gentianworks.core.gateway.calls import Call, PromptPart
from gentianworks.core.types import Header, Problem, ProblemKind, RunState
from gentianworks.platform import names

NO_DEADLINE = 3600.0  # seconds; the route's timeout ends such a call sooner
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
    """Hold a problem as it goes to a client."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


def decode_call(
    method: str, target: str, headers: tuple[Header, ...], body: bytes
) -> Call:
    """Return the call that a client's request makes."""
    values = {item.name: item.value for item in headers}
    dropped = names.HOP_HEADERS | names.SYSTEM_HEADERS | _list_hops(values)
    return Call(
        request_id=values.get(names.REQUEST_ID, ""),
        host=values.get("host", "").partition(":")[0].lower(),
        method=method,
        path=target,
        headers=tuple(item for item in headers if item.name not in dropped),
        body=body,
        timeout=_read_deadline(values.get(names.REQUEST_DEADLINE, "")),
        api_key=_read_key(values.get(names.AUTHORIZATION, "")),
        prompt=_read_prompt(values.get(names.PROMPT_PREFIX, "")),
        output_tokens=_read_output(values.get(names.TOKEN_COUNTS, "")),
        last_event=_read_number(values.get(names.LAST_EVENT_ID, ""), -1),
    )


def encode_problem(problem: Problem) -> EncodedProblem:
    """Return the answer that tells a client of a problem.

    Only a call that has not run and never will is answered 503.
    """
    body = json.dumps({"error": problem.kind.value, "detail": problem.detail})
    headers = [Header("content-type", "application/json")]
    status = _choose_status(problem)
    if status == STATUS_NOT_RUN and problem.retry_after > 0:
        headers.append(Header("retry-after", f"{problem.retry_after:.3f}"))
    return EncodedProblem(status, tuple(headers), body.encode())


def _choose_status(problem: Problem) -> int:
    if problem.kind in STATUS_OF_KIND:
        return STATUS_OF_KIND[problem.kind]
    if problem.kind is ProblemKind.DEADLINE_PASSED:
        return STATUS_TIMED_OUT
    return STATUS_NOT_RUN if problem.run_state is RunState.NOT_RUN else STATUS_FAILED


def _list_hops(values: dict[str, str]) -> set[str]:
    return {name.strip().lower() for name in values.get("connection", "").split(",")}


def _read_number(text: str, default: int) -> int:
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS
    return int(text) if is_number else default


def _read_deadline(text: str) -> float:
    milliseconds = _read_number(text, -1)
    return NO_DEADLINE if milliseconds < 0 else milliseconds / 1000


def _read_key(text: str) -> str:
    return text.removeprefix(names.BEARER) if text.startswith(names.BEARER) else ""


def _read_prompt(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(",") if text else ():
        digest, _, tokens = item.strip().partition(":")
        parts.append(PromptPart(digest, _read_number(tokens, 0)))
    return tuple(parts)


def _read_output(text: str) -> int:
    _, _, tokens = text.partition(",")
    return _read_number(tokens.strip(), 0)
