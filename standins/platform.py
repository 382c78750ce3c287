"""A stand-in for the platform's lagging list of live and leaving hosts.

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
from standins.engine import read


@frozen
class Listing:
    """Hold one list of hosts and the time from which it is told."""

    body: bytes
    at: float


@define
class Platform:
    """Tell the newest list that is old enough."""

    lag: float
    listings: list[Listing] = field(factory=lambda: [Listing(b'{"hosts": []}', 0.0)])

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        body = await read(receive)
        if scope["method"] == "POST":
            json.loads(body)
            self.listings.append(Listing(body, time.time() + self.lag))
        told = [item for item in self.listings if item.at <= time.time()]
        await send_response(send, 200, [], told[-1].body)


def main(address: str, lag: float = 2.0) -> None:
    """Serve the list at an address, `lag` seconds late."""
    anyio.run(create_server(Platform(lag), address).serve)


if __name__ == "__main__":
    typer.run(main)
