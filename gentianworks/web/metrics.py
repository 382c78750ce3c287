"""Metrics: the path at which every role exposes its metrics."""

from __future__ import annotations

from attrs import define

from gentianworks.metrics import Metrics
from gentianworks.process import Process
from gentianworks.web.server import Application, Receive, Scope, Send, send_whole

METRICS_PATH = "/metrics"


async def answer_nothing(scope: Scope, receive: Receive, send: Send) -> None:
    """Answer on an address that serves metrics alone."""
    body = f"Nothing but {METRICS_PATH} is served here.\n".encode()
    length = [(b"content-length", str(len(body)).encode())]
    await send_whole(send, 404, length, body)


@define
class MetricsApplication:
    """Answer for metrics and leave all else to the application of the role."""

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
        await send_whole(send, 200, headers, content)
