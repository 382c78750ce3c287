"""Applications: ASGI applications for clients, the load balancer and operators."""

from __future__ import annotations

from collections.abc import Sequence
from functools import singledispatch
from typing import Any

import anyio
from attrs import define, field
from expression import Error, Ok, Result

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.callers import (
    AbortAnswer,
    FinishAnswer,
    RefuseRequest,
    RelayPiece,
    StartAnswer,
)
from gentianworks.core.evacuations.registry import describe_zone_fault
from gentianworks.core.events.evacuations import EvacuationRequested
from gentianworks.core.events.gateway import (
    CallAbandoned,
    CallArrived,
    RouteReplacementRequested,
    RoutesRequested,
)
from gentianworks.core.events.operators import OperatorRequest
from gentianworks.core.gateway.documents import RouteDocument
from gentianworks.core.gateway.route_table import RequestLimits
from gentianworks.core.gateway.validation import validate_table
from gentianworks.core.operators.reports import EvacuationReport, RoutesReport
from gentianworks.core.types import Header, Problem, ProblemKind
from gentianworks.platform.calls import decode_call, encode_problem
from gentianworks.platform.configuration import (
    DocumentError,
    decode_document,
    decode_table,
    encode_document,
    find_unsendable_texts,
)
from gentianworks.process import Process
from gentianworks.web.answers import (
    CLOSE,
    AnswerWriter,
    encode_headers,
)
from gentianworks.web.callers import decode_headers, encode_target
from gentianworks.web.exchanges import CallerExchange
from gentianworks.web.operator_exchanges import submit_request
from gentianworks.web.server import (
    BodyFailure,
    Receive,
    Scope,
    Send,
    read_body,
    send_response,
    wait_for_disconnect,
)

WRITE_TIMEOUT = 10.0  # seconds; a client that reads nothing for longer is disconnected
BODY_TIMEOUT = 10.0  # seconds; twice the longest upload of a client on a slow link
MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024  # four times the operators' largest document
EVACUATION_PATH = "/evacuate/"
MAX_ORDER_BYTES = 64 * 1024  # of a body that is ignored
ORDER_BODY_TIMEOUT = 1.0  # seconds; operators wait no longer for the response
# Seconds; enough to read the end of a connection that was closed while this process was
# frozen. The order of an operator that went on without it must not run late.
DISCONNECT_CHECK_TIME = 0.02
JSON_HEADERS = [(b"content-type", b"application/json")]
OPERATOR_NAME = "platform"
STATUS_UNAVAILABLE = 503
STATUS_INVALID = 400
STATUS_TIMEOUT = 408


@define
class ClientApplication:
    """Application for clients; each request becomes an exchange."""

    process: Process

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        match await self._read_body(receive):
            case Result(tag="ok", ok=body):
                await self._run_exchange(scope, body, receive, send)
            case Result(error=problem) if problem is not None:
                await _send_problem(problem, send, closes=True)

    async def _read_body(self, receive: Receive) -> Result[bytes, Problem | None]:
        """Return the body of a request, or the problem to report, if any."""
        limits = self._get_limits()
        with anyio.move_on_after(BODY_TIMEOUT):
            match await read_body(receive, limits.body_bytes):
                case Result(tag="ok", ok=body):
                    return Ok(body)
                case Result(error=BodyFailure.TOO_LARGE):
                    return Error(_create_size_problem(limits))
                case _:
                    return Error(None)
        return Error(_create_timeout_problem())

    def _get_limits(self) -> RequestLimits:
        gateway = self.process.state.gateway
        table = gateway.table if gateway else None
        return table.limits if table else RequestLimits()

    async def _run_exchange(
        self, scope: Scope, body: bytes, receive: Receive, send: Send
    ) -> None:
        headers = decode_headers(scope)
        call = decode_call(scope["method"], encode_target(scope), headers, body)
        exchange = self.process.state.create_id()
        caller_exchange = CallerExchange(
            exchange, CallArrived(exchange, call), CallAbandoned(exchange)
        )
        writer = AnswerWriter(send, self.process, WRITE_TIMEOUT)
        await caller_exchange.run(writer, write_part, self.process, receive)


@singledispatch
async def write_part(part: Effect, writer: AnswerWriter) -> bool:
    """Write one part of an answer and return whether more may follow."""
    raise NotImplementedError(
        f"{type(part).__name__} is not a part of an answer; don't put it in an outbox."
    )


@write_part.register
async def _(part: StartAnswer, writer: AnswerWriter) -> bool:
    sent = encode_headers((*part.headers, *writer.get_connection_headers()))
    message = {"type": "http.response.start", "status": part.status, "headers": sent}
    await writer.send(message)
    return True


@write_part.register
async def _(part: RelayPiece, writer: AnswerWriter) -> bool:
    message = {"type": "http.response.body", "body": part.data, "more_body": True}
    await writer.send(message)
    return True


@write_part.register
async def _(part: FinishAnswer, writer: AnswerWriter) -> bool:
    await writer.send({"type": "http.response.body", "body": b""})
    return False


@write_part.register
async def _(part: AbortAnswer, writer: AnswerWriter) -> bool:
    # The server closes the connection of an incomplete answer.
    return False


@write_part.register
async def _(part: RefuseRequest, writer: AnswerWriter) -> bool:
    await _send_problem(
        part.problem, writer.send, bool(writer.get_connection_headers())
    )
    return False


async def _send_problem(problem: Problem, send: Any, closes: bool = False) -> None:
    answer = encode_problem(problem)
    length = Header("content-length", str(len(answer.body)))
    headers = (*answer.headers, length, *((CLOSE,) if closes else ()))
    await send_response(send, answer.status, encode_headers(headers), answer.body)


def _create_timeout_problem() -> Problem:
    return Problem(
        ProblemKind.BAD_REQUEST,
        f"The body was not complete within {BODY_TIMEOUT:g} s; send it faster.",
    )


def _create_size_problem(limits: RequestLimits) -> Problem:
    return Problem(
        ProblemKind.BODY_TOO_LARGE,
        f"The body is larger than {limits.body_bytes} bytes; send a smaller one.",
    )


@define
class ReadinessApplication:
    """Readiness check, which tells the load balancer whether to use this router."""

    process: Process

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one readiness check."""
        state = self.process.state
        gateway = state.gateway
        is_ready = (
            gateway is not None
            and gateway.table is not None
            and bool(gateway.registry.replicas)
            and not state.is_leaving
        )
        body = b"ready\n" if is_ready else b"not ready\n"
        length = [(b"content-length", str(len(body)).encode())]
        await send_response(send, 200 if is_ready else 503, length, body)


@define
class ConfigurationApplication:
    """Application for operators, which replaces and returns the configuration."""

    process: Process
    limit: int = field(default=MAX_CONFIGURATION_BYTES)  # bytes of a configuration

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request from an operator."""
        match (scope["method"], scope["path"]):
            case ("PUT", "/config"):
                await self._replace(receive, send)
            case ("GET", "/config"):
                exchange = self.process.state.create_id()
                await self._execute(
                    RoutesRequested(exchange, OPERATOR_NAME), send, True
                )
            case ("POST" | "DELETE", path) if path.startswith(EVACUATION_PATH):
                await self._set_evacuation(scope, receive, send)
            case (_, path) if path.startswith(EVACUATION_PATH):
                body = encode_error("Use POST or DELETE.")
                await _send_json(send, 405, body, [(b"allow", b"POST, DELETE")])
            case _:
                await _send_json(send, 404, b'{"error":"no such call"}')

    async def _set_evacuation(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Order that a zone gets no calls, or with DELETE that it gets them again."""
        with anyio.move_on_after(ORDER_BODY_TIMEOUT) as reading:
            match await read_body(receive, MAX_ORDER_BYTES):
                case Result(error=BodyFailure.DISCONNECTED):
                    return
                case Result(tag="ok") if await _has_disconnected(receive):
                    return
        if reading.cancelled_caught:
            detail = f"The body was not complete within {ORDER_BODY_TIMEOUT:g} s."
            await _send_json(send, STATUS_TIMEOUT, encode_error(detail))
            return
        zone = scope["path"].removeprefix(EVACUATION_PATH)
        fault = describe_zone_fault(zone)
        if fault:
            await _send_invalid(fault, send)
            return
        order = EvacuationRequested(
            self.process.state.create_id(),
            OPERATOR_NAME,
            zone,
            is_evacuated=scope["method"] == "POST",
        )
        answer = await submit_request(order, self.process)
        if not isinstance(answer.report, EvacuationReport):
            detail = answer.problem.detail if answer.problem else "no answer"
            await _send_json(send, STATUS_UNAVAILABLE, encode_error(detail))
            return
        body = b'{"revision":%d}' % answer.report.revision
        await _send_json(send, 200, body)

    async def _replace(self, receive: Receive, send: Send) -> None:
        match await read_body(receive, self.limit):
            case Result(tag="ok", ok=body):
                await self._validate_and_replace(body, send)
            case Result(error=BodyFailure.TOO_LARGE):
                await _send_json(send, 413, b'{"error":"too large"}')

    async def _validate_and_replace(self, body: bytes, send: Send) -> None:
        try:
            table = decode_table(body)
        except DocumentError as error:
            await _send_invalid(str(error), send)
            return
        faults = validate_table(table)
        document = encode_document(table.revision, body)
        if self._takes_effect(document):
            faults = (*faults, *find_unsendable_texts(table))
        if faults:
            await _send_invalid(" ".join(faults), send)
            return
        exchange = self.process.state.create_id()
        await self._execute(
            RouteReplacementRequested(exchange, OPERATOR_NAME, document), send, False
        )

    def _takes_effect(self, document: RouteDocument) -> bool:
        """Return whether a document would replace the stored one.

        A document that an earlier version has accepted may be sent again.
        """
        control = self.process.state.control
        return document.supersedes(control.replicated.configuration.routes)

    async def _execute(
        self, request: OperatorRequest, send: Send, returns_document: bool
    ) -> None:
        answer = await submit_request(request, self.process)
        if answer.problem is not None or not isinstance(answer.report, RoutesReport):
            problem = answer.problem
            detail = problem.detail if problem else "no answer"
            body = encode_error(detail)
            await _send_json(send, STATUS_UNAVAILABLE, body)
            return
        document = answer.report.document
        if not returns_document:
            body = b'{"version":%d}' % document.revision
            await _send_json(send, 200, body)
        elif not document.content:
            body = encode_error("No configuration has been accepted yet; send one.")
            await _send_json(send, STATUS_UNAVAILABLE, body)
        else:
            await _send_json(send, 200, decode_document(document))


async def _has_disconnected(receive: Receive) -> bool:
    """Return whether the operator has closed the connection of a complete request."""
    with anyio.move_on_after(DISCONNECT_CHECK_TIME) as waiting:
        await wait_for_disconnect(receive)
    return not waiting.cancelled_caught


async def _send_invalid(detail: str, send: Send) -> None:
    await _send_json(send, STATUS_INVALID, encode_error(detail))


def encode_error(detail: str) -> bytes:
    """Encode an error for operators as JSON."""
    return encode_problem(Problem(ProblemKind.INVALID_CONFIGURATION, detail)).body


async def _send_json(
    send: Send,
    status: int,
    body: bytes,
    headers: Sequence[tuple[bytes, bytes]] = (),
) -> None:
    length = (b"content-length", str(len(body)).encode())
    await send_response(send, status, [*JSON_HEADERS, length, *headers], body)
