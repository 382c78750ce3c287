"""Metrics: the HTTP path at which each role exposes its metrics."""

from __future__ import annotations

from attrs import define

from gentianworks.process import Process
from gentianworks.telemetry.metrics import Metrics
from gentianworks.web.server import Application, Receive, Scope, Send, send_response

METRICS_PATH = "/metrics"


async def answer_not_found(scope: Scope, receive: Receive, send: Send) -> None:
    """Respond with status 404 at an address that serves only metrics."""
    body = f"This address serves only {METRICS_PATH}.\n".encode()
    length = [(b"content-length", str(len(body)).encode())]
    await send_response(send, 404, length, body)


@define
class MetricsApplication:
    """ASGI application that serves metrics and forwards other requests."""

    process: Process
    application: Application

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["path"] != METRICS_PATH:
            await self.application(scope, receive, send)
            return
        accepts = [
            value.decode("latin-1")
            for name, value in scope["headers"]
            if name == b"accept"
        ]
        metrics = self.process.get_adapter(Metrics)
        content, content_type = metrics.expose(self.process, accepts)
        headers = [(b"content-type", content_type.encode())]
        await send_response(send, 200, headers, content)
