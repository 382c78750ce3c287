"""Callers: the HTTP front end of a router."""

from __future__ import annotations

import anyio
from attrs import define, field
from expression import Error, Ok, Result

from gentianworks.codecs.requests import RawRequest, decode_request
from gentianworks.core.events.callers import CallerDisconnected, RequestArrived
from gentianworks.core.types import Header, Problem, ProblemKind, Request
from gentianworks.limits import LimitSettings
from gentianworks.process import Process
from gentianworks.web.answers import (
    AnswerWriter,
    send_problem,
    write_part,
)
from gentianworks.web.exchanges import CallerExchange
from gentianworks.web.server import (
    BodyFailure,
    Receive,
    Scope,
    Send,
    read_body,
    send_response,
)


def decode_headers(scope: Scope) -> tuple[Header, ...]:
    """Return the headers of an ASGI request."""
    return tuple(
        Header(name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in scope["headers"]
    )


@define
class CallerApplication:
    """ASGI application for callers; each request becomes an exchange."""

    process: Process
    limits: LimitSettings = field(factory=LimitSettings)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        path = scope["path"]
        if path == "/livez":
            await send_response(send, 200, [], b"live\n")
        elif path == "/readyz":
            await self._answer_ready(send)
        else:
            await self._serve(scope, receive, send)

    async def _answer_ready(self, send: Send) -> None:
        state = self.process.state
        is_ready = state.configuration.revision > 0 and not state.is_leaving
        body = b"ready\n" if is_ready else b"not ready\n"
        await send_response(send, 200 if is_ready else 503, [], body)

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        match await self._read(receive):
            case Result(tag="ok", ok=body):
                await self._answer(_build_raw_request(scope, body), receive, send)
            case Result(error=problem) if problem is not None:
                await send_problem(problem, send, closes=True)

    async def _read(self, receive: Receive) -> Result[bytes, Problem | None]:
        """Return the body of a request, or a problem (None for a lost connection)."""
        with anyio.move_on_after(self.limits.body_timeout):
            match await read_body(receive, self.limits.body_bytes):
                case Result(tag="ok", ok=body):
                    return Ok(body)
                case Result(error=BodyFailure.TOO_LARGE):
                    detail = f"The body exceeds {self.limits.body_bytes} bytes; "
                    return Error(
                        Problem(
                            ProblemKind.BODY_TOO_LARGE, f"{detail}send a smaller one."
                        )
                    )
                case _:
                    return Error(None)
        return Error(
            Problem(
                ProblemKind.BAD_REQUEST,
                f"The body was incomplete after {self.limits.body_timeout:g} s; "
                f"send it faster.",
            )
        )

    async def _answer(self, raw: RawRequest, receive: Receive, send: Send) -> None:
        match decode_request(raw, self.limits):
            case Result(tag="ok", ok=request):
                await self._exchange(request, receive, send)
            case Result(error=problem):
                await send_problem(problem, send)

    async def _exchange(self, request: Request, receive: Receive, send: Send) -> None:
        exchange = self.process.state.create_id()
        writer = AnswerWriter(send, self.process, self.limits.write_timeout)
        events = CallerExchange(
            exchange, RequestArrived(exchange, request), CallerDisconnected(exchange)
        )
        await events.run(writer, write_part, self.process, receive)


def encode_target(scope: Scope) -> str:
    """Return the path and query of an ASGI request without decoding them."""
    target: str = scope["raw_path"].decode("latin-1")
    query = scope["query_string"].decode("latin-1")
    return f"{target}?{query}" if query else target


def _build_raw_request(scope: Scope, body: bytes) -> RawRequest:
    return RawRequest(
        method=scope["method"],
        target=encode_target(scope),
        headers=decode_headers(scope),
        body=body,
    )
