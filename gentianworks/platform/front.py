"""Front: the HTTP interfaces that clients, the balancer and operators use."""

from __future__ import annotations

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
from gentianworks.core.events.gateway import (
    CallArrived,
    CallLeft,
    ReplaceRequested,
    RoutesRequested,
)
from gentianworks.core.events.operators import OperatorRequest
from gentianworks.core.gateway.route_table import RequestLimits
from gentianworks.core.gateway.validation import validate_table
from gentianworks.core.operators.reports import RoutesReport
from gentianworks.core.types import Header, Problem, ProblemKind
from gentianworks.platform.calls import decode_call, encode_problem
from gentianworks.platform.configuration import (
    DocumentError,
    decode_document,
    decode_table,
    encode_document,
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
)

WRITE_TIMEOUT = 10.0  # seconds; a client that reads nothing for so long has gone
BODY_TIMEOUT = 10.0  # seconds; twice the longest that clients of a slow link need
MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024  # four times the operators' largest
JSON_HEADERS = [(b"content-type", b"application/json")]
OPERATOR = "platform"
UNCERTAIN_STATUS = 503
INVALID_STATUS = 400


@define
class FrontApplication:
    """Serve clients: each request becomes an exchange of its own."""

    process: Process

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        match await self._read(receive):
            case Result(tag="ok", ok=body):
                await self._exchange(scope, body, receive, send)
            case Result(error=problem) if problem is not None:
                await _send_problem(problem, send, closes=True)

    async def _read(self, receive: Receive) -> Result[bytes, Problem | None]:
        """Return the body of a request, or the problem to tell, if any."""
        limits = self._find_limits()
        with anyio.move_on_after(BODY_TIMEOUT):
            match await read_body(receive, limits.body_bytes):
                case Result(tag="ok", ok=body):
                    return Ok(body)
                case Result(error=BodyFailure.TOO_LARGE):
                    return Error(_describe_large(limits))
                case _:
                    return Error(None)
        return Error(_describe_slow())

    def _find_limits(self) -> RequestLimits:
        gateway = self.process.state.gateway
        table = gateway.table if gateway else None
        return table.limits if table else RequestLimits()

    async def _exchange(
        self, scope: Scope, body: bytes, receive: Receive, send: Send
    ) -> None:
        headers = decode_headers(scope)
        call = decode_call(scope["method"], encode_target(scope), headers, body)
        exchange = self.process.state.create_id()
        events = CallerExchange(
            exchange, CallArrived(exchange, call), CallLeft(exchange)
        )
        writer = AnswerWriter(send, self.process, WRITE_TIMEOUT)
        await events.run(writer, write_part, self.process, receive)


@singledispatch
async def write_part(part: Effect, writer: AnswerWriter) -> bool:
    """Write one part of an answer and tell whether more may follow."""
    raise NotImplementedError(
        f"{type(part).__name__} is no part of an answer; put it in no outbox."
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
    # The server closes the connection of an answer that is left without its end.
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


def _describe_slow() -> Problem:
    return Problem(
        ProblemKind.BAD_REQUEST,
        f"The body was not whole within {BODY_TIMEOUT:g} s; send it faster.",
    )


def _describe_large(limits: RequestLimits) -> Problem:
    return Problem(
        ProblemKind.BODY_TOO_LARGE,
        f"The body is over {limits.body_bytes} bytes; send a smaller one.",
    )


@define
class ReadyApplication:
    """Tell the balancer whether this router takes new connections."""

    process: Process

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one question."""
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
class ControlApplication:
    """Take and give configurations."""

    process: Process
    limit: int = field(default=MAX_CONFIGURATION_BYTES)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request of an operator."""
        match (scope["method"], scope["path"]):
            case ("PUT", "/config"):
                await self._replace(receive, send)
            case ("GET", "/config"):
                exchange = self.process.state.create_id()
                await self._answer(RoutesRequested(exchange, OPERATOR), send, True)
            case _:
                await _send_json(send, 404, b'{"error":"no such call"}')

    async def _replace(self, receive: Receive, send: Send) -> None:
        match await read_body(receive, self.limit):
            case Result(tag="ok", ok=body):
                await self._check(body, send)
            case Result(error=BodyFailure.TOO_LARGE):
                await _send_json(send, 413, b'{"error":"too large"}')

    async def _check(self, body: bytes, send: Send) -> None:
        try:
            table = decode_table(body)
        except DocumentError as error:
            await _refuse(str(error), send)
            return
        faults = validate_table(table)
        if faults:
            await _refuse(" ".join(faults), send)
            return
        exchange = self.process.state.create_id()
        document = encode_document(table.revision, body)
        await self._answer(ReplaceRequested(exchange, OPERATOR, document), send, False)

    async def _answer(
        self, request: OperatorRequest, send: Send, gives_document: bool
    ) -> None:
        answer = await submit_request(request, self.process)
        if answer.problem is not None or not isinstance(answer.report, RoutesReport):
            problem = answer.problem
            detail = problem.detail if problem else "no answer"
            body = encode_error(detail)
            await _send_json(send, UNCERTAIN_STATUS, body)
            return
        document = answer.report.document
        if not gives_document:
            body = b'{"version":%d}' % document.revision
            await _send_json(send, 200, body)
        elif not document.content:
            body = encode_error("No configuration has been accepted yet; send one.")
            await _send_json(send, UNCERTAIN_STATUS, body)
        else:
            await _send_json(send, 200, decode_document(document))


async def _refuse(detail: str, send: Send) -> None:
    await _send_json(send, INVALID_STATUS, encode_error(detail))


def encode_error(detail: str) -> bytes:
    """Return an error for operators as JSON."""
    return encode_problem(Problem(ProblemKind.INVALID_CONFIGURATION, detail)).body


async def _send_json(send: Send, status: int, body: bytes) -> None:
    length = (b"content-length", str(len(body)).encode())
    await send_response(send, status, [*JSON_HEADERS, length], body)
