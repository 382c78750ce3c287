"""Platform: the HTTP client for the platform's list of live and leaving hosts."""

from __future__ import annotations

import json
import logging
from typing import Any

import httpcore
from attrs import define, field
from expression import Error, Ok, Result

from gentianworks.core.effects.membership import FetchHosts
from gentianworks.core.events.membership import PlatformHost, PlatformHostsListed
from gentianworks.process import Process, perform
from gentianworks.web.pools import create_pool, send_request

FETCH_TIMEOUT = 1.0  # seconds
LEAVING = "leaving"

logger = logging.getLogger("gentianworks")


@define
class PlatformClient:
    """HTTP client for the list of hosts."""

    pool: httpcore.AsyncConnectionPool = field(factory=create_pool)

    async def fetch(self, address: str, process: Process) -> None:
        """Report the list as an event, or log why it is unavailable."""
        url = f"http://{address}/hosts"
        try:
            response = await send_request(self.pool, "GET", url, timeout=FETCH_TIMEOUT)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            _log_failure(f"{address} did not respond ({error!r})")
            return
        match decode_hosts(response.content):
            case Result(tag="ok", ok=hosts):
                process.handle(PlatformHostsListed(hosts))
            case Result(error=detail):
                _log_failure(detail)


def decode_hosts(body: bytes) -> Result[tuple[PlatformHost, ...], str]:
    """Return the hosts in an encoded list, or a description of its error."""
    try:
        document: Any = json.loads(body)
        return Ok(
            tuple(
                PlatformHost(str(host["address"]), host["state"] == LEAVING)
                for host in document["hosts"]
            )
        )
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        return Error(f"The list of hosts is malformed ({error!r}).")


def _log_failure(detail: str) -> None:
    logger.warning("GW5004", extra={"details": (("detail", detail),)})


@perform.register
def _(effect: FetchHosts, process: Process) -> None:
    client = process.get_adapter(PlatformClient)

    async def run() -> None:
        await client.fetch(effect.address, process)

    process.start_call(f"platform/{effect.address}", run)
