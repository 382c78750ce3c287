"""Platform: a stand-in for the platform's delayed list of live and leaving hosts.

`GET /hosts` answers `{"hosts": [{"address": IP, "state": "live" or "leaving"}]}` as it
was some seconds ago; `POST /hosts` replaces the list.
"""

from __future__ import annotations

import json
import time

import anyio
import typer
from attrs import define, field, frozen

from gentianworks.web.server import Receive, Scope, Send, create_server, send_response
from standins.engine import read_body


@frozen
class HostList:
    """List of hosts in its JSON encoding."""

    body: bytes
    visible_at: float  # Unix time from which the list is served


@define
class Platform:
    """ASGI application that serves each list after a delay."""

    lag: float  # seconds
    host_lists: list[HostList] = field(
        factory=lambda: [HostList(b'{"hosts": []}', 0.0)]
    )

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        body = await read_body(receive)
        if scope["method"] == "POST":
            json.loads(body)
            self.host_lists.append(HostList(body, time.time() + self.lag))
        visible = [item for item in self.host_lists if item.visible_at <= time.time()]
        await send_response(send, 200, [], visible[-1].body)


def main(address: str, lag: float = 2.0) -> None:
    """Serve the list at an address, `lag` seconds late."""
    anyio.run(create_server(Platform(lag), address).serve)


if __name__ == "__main__":
    typer.run(main)
