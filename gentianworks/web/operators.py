"""Operators: the HTTP interface of a control host."""

from __future__ import annotations

import hashlib
import json
import logging
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl

import cattrs
import msgpack
from attrs import define
from expression import Error, Ok, Result

from gentianworks.codecs.problems import encode_problem
from gentianworks.core.effects.operators import AnswerOperator
from gentianworks.core.evacuations.registry import describe_zone_fault
from gentianworks.core.events.evacuations import EvacuationRequested
from gentianworks.core.events.operators import (
    AuditRequested,
    ConfigurationChangeRequested,
    ConfigurationRequested,
    KeyRequested,
    OperatorRequest,
    PlacementRequested,
    StatusRequested,
)
from gentianworks.core.events.orders import OrderRequested
from gentianworks.core.events.quarantine import SuspectReleaseRequested
from gentianworks.core.operators.reports import Report
from gentianworks.core.types import Problem, ProblemKind
from gentianworks.process import Process
from gentianworks.telemetry.metrics import Metrics
from gentianworks.tokens import OperatorRegistry
from gentianworks.web.answers import encode_headers
from gentianworks.web.operator_exchanges import submit_request
from gentianworks.web.server import Receive, Scope, Send, read_body, send_response

MAX_CHANGE_BYTES = 16 * 1024 * 1024
BEARER = "Bearer "
DIGEST_BYTES = 16
GET_REQUESTS: dict[str, type[OperatorRequest]] = {
    "/configuration": ConfigurationRequested,
    "/status": StatusRequested,
    "/audit": AuditRequested,
    "/key": KeyRequested,
    "/placement": PlacementRequested,
}
POST_REQUESTS: dict[str, type[OperatorRequest]] = {
    "/changes": ConfigurationChangeRequested,
    "/orders": OrderRequested,
    "/release": SuspectReleaseRequested,
    "/evacuations": EvacuationRequested,
}

logger = logging.getLogger("gentianworks")
_CONVERTER = cattrs.Converter(forbid_extra_keys=True, detailed_validation=False)


@define
class OperatorApplication:
    """ASGI application for queries and changes of authenticated operators."""

    process: Process
    operators: OperatorRegistry

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request of an operator."""
        if scope["path"] == "/livez":
            await send_response(send, 200, [], b"live\n")
            return
        operator = self.operators.find_operator(_get_token(scope))
        if operator is None:
            await self._refuse_operator(scope, send)
            return
        match await read_body(receive, MAX_CHANGE_BYTES):
            case Result(tag="ok", ok=body):
                decoded = self._decode(scope, operator, body)
                await self._answer(decoded, send)
            case _:
                await send_response(send, 413, [], b"")

    async def _refuse_operator(self, scope: Scope, send: Send) -> None:
        self.process.get_adapter(Metrics).refused_operators.inc({})
        address = (scope.get("client") or ("",))[0]
        logger.warning("GW6003", extra={"details": (("address", address),)})
        problem = Problem(
            ProblemKind.UNAUTHENTICATED,
            "The token is missing or belongs to no operator of this control host; "
            "specify your token file with --token-file.",
        )
        await _send_problem(problem, send)

    def _decode(
        self, scope: Scope, operator: str, body: bytes
    ) -> Result[OperatorRequest, Problem]:
        kinds = GET_REQUESTS if scope["method"] == "GET" else POST_REQUESTS
        kind = kinds.get(scope["path"])
        if kind is None:
            detail = f"{scope['path']!r} is not served; run one release everywhere."
            return Error(Problem(ProblemKind.BAD_REQUEST, detail))
        exchange = self.process.state.create_id()
        read = _parse_query if scope["method"] == "GET" else _parse_document
        return _structure(kind, exchange, operator, lambda: read(scope, body))

    async def _answer(
        self, decoded: Result[OperatorRequest, Problem], send: Send
    ) -> None:
        match decoded:
            case Result(tag="ok", ok=request):
                answer = await submit_request(request, self.process)
                await _send_answer(answer, send)
            case Result(error=problem):
                await _send_problem(problem, send)


def _get_token(scope: Scope) -> str:
    for name, value in scope["headers"]:
        if name == b"authorization":
            text: str = value.decode("latin-1")
            return text.removeprefix(BEARER) if text.startswith(BEARER) else ""
    return ""


def _parse_query(scope: Scope, body: bytes) -> dict[str, Any]:
    return dict(parse_qsl(scope["query_string"].decode("latin-1")))


def _parse_document(scope: Scope, body: bytes) -> dict[str, Any]:
    document: dict[str, Any] = json.loads(body)
    return document


def _structure(
    kind: type[OperatorRequest],
    exchange: str,
    operator: str,
    read: Callable[[], dict[str, Any]],
) -> Result[OperatorRequest, Problem]:
    try:
        values = read()
        check_storable(values)
        if kind is ConfigurationChangeRequested:
            values["digest"] = _digest_change(operator, values)
        request = _CONVERTER.structure(
            {**values, "exchange": exchange, "operator": operator}, kind
        )
        if isinstance(request, EvacuationRequested):
            fault = describe_zone_fault(request.zone)
            if fault:
                return Error(Problem(ProblemKind.BAD_REQUEST, fault))
    except Exception as error:
        detail = f"The request is invalid ({error!r}); run one release everywhere."
        return Error(Problem(ProblemKind.BAD_REQUEST, detail))
    return Ok(request)


def check_storable(values: dict[str, Any]) -> None:
    """Raise ValueError if a text or number can't be stored or sent to other hosts."""
    try:
        msgpack.packb(values)
    except (UnicodeEncodeError, OverflowError) as error:
        raise ValueError(
            f"a text or number can't be stored ({error}); "
            f"use no surrogates and no integers of over 64 bits"
        ) from error


def _digest_change(operator: str, values: dict[str, Any]) -> str:
    """Return a digest of a change that is independent of the order of its keys.

    A resent change is recognized by it.
    """
    content = [operator, values["expected_revision"], values["configuration"]]
    text = json.dumps(content, sort_keys=True)
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


async def _send_answer(answer: AnswerOperator, send: Send) -> None:
    if answer.problem is not None:
        await _send_problem(answer.problem, send)
        return
    await send_response(send, 200, [], encode_report(answer.report))


def encode_report(report: Report | None) -> bytes:
    """Return a report as JSON."""
    return json.dumps(_CONVERTER.unstructure(report)).encode()


async def _send_problem(problem: Problem, send: Send) -> None:
    answer = encode_problem(problem)
    headers = encode_headers(answer.headers)
    await send_response(send, answer.status, headers, answer.body)
