"""Problems: the encoding of problems as HTTP problem details (RFC 9457)."""

from __future__ import annotations

import json
import math

from attrs import frozen

from gentianworks.core.types import Header, Problem, ProblemKind

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:gentianworks:problem"

HTTP_STATUSES = {
    ProblemKind.BAD_REQUEST: 400,
    ProblemKind.UNAUTHENTICATED: 401,
    ProblemKind.NO_SUCH_SERVICE: 404,
    ProblemKind.NO_SUCH_WORKSPACE: 403,
    ProblemKind.NO_SUCH_RANK: 400,
    ProblemKind.KEY_IN_PROGRESS: 409,
    ProblemKind.REVISION_CONFLICT: 409,
    ProblemKind.STALE_ATTEMPT: 409,
    ProblemKind.TOO_MANY_ORDERS: 409,
    ProblemKind.ANSWER_NOT_KEPT: 410,
    ProblemKind.KEY_EXPIRED: 410,
    ProblemKind.BODY_TOO_LARGE: 413,
    ProblemKind.KEY_REUSED: 422,
    ProblemKind.CHANGE_REUSED: 422,
    ProblemKind.ORDER_REUSED: 422,
    ProblemKind.INVALID_CONFIGURATION: 422,
    ProblemKind.QUARANTINED: 422,
    ProblemKind.ENDPOINT_FAILED: 502,
    ProblemKind.OUTCOME_UNKNOWN: 502,
    ProblemKind.STREAM_CUT: 502,
    ProblemKind.LEAVING: 503,
    ProblemKind.NOT_READY: 503,
    ProblemKind.NO_ENDPOINT: 503,
    ProblemKind.OVERLOADED: 503,
    ProblemKind.UNSENDABLE: 503,
    ProblemKind.DEADLINE_PASSED: 504,
}


@frozen
class ProblemResponse:
    """Status, headers and body of the HTTP response that reports a problem."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


def encode_problem(problem: Problem) -> ProblemResponse:
    """Return the HTTP response that reports a problem."""
    document = _build_document(problem)
    headers = [Header("content-type", CONTENT_TYPE)]
    if problem.retry_after > 0:
        headers.append(Header("retry-after", str(math.ceil(problem.retry_after))))
    return ProblemResponse(
        HTTP_STATUSES[problem.kind], tuple(headers), json.dumps(document).encode()
    )


def encode_problem_event(problem: Problem) -> bytes:
    """Return the server-sent event that reports a problem within a stream."""
    return f"event: error\ndata: {json.dumps(_build_document(problem))}\n\n".encode()


def _build_document(problem: Problem) -> dict[str, object]:
    return {
        "type": f"{TYPE_PREFIX}:{problem.kind.value}:{problem.run_state.value}",
        "title": problem.kind.value.replace("-", " "),
        "status": HTTP_STATUSES[problem.kind],
        "detail": problem.detail,
        "run_state": problem.run_state.value,
    }
