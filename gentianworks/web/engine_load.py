"""Engine load: the requests of an agent about the calls that its engine runs."""

from __future__ import annotations

import json
import math
from contextlib import suppress
from urllib.parse import quote

import cattrs
import httpcore
from attrs import define, field, frozen, validators

from gentianworks.core.effects.engines import CancelOrphanedCall, FetchEngineLoad
from gentianworks.core.events.base import Event
from gentianworks.core.events.engines import EngineLoadFetched, EngineLoadUnavailable
from gentianworks.process import Process, perform
from gentianworks.web.pools import BufferedResponse, create_pool, send_request

HTTP_OK = 200
REPORT_TIMEOUT = 1.0  # seconds
TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@frozen
class EngineLoadReport:
    """Response of an engine to a request for its load."""

    running: tuple[str, ...]  # names of calls
    age: float = field(  # seconds
        default=0.0, validator=[validators.ge(0.0), validators.lt(math.inf)]
    )


@define
class EngineLoadClient:
    """HTTP client that reads the load of an engine and cancels abandoned calls."""

    address: str  # IP:PORT
    pool: httpcore.AsyncConnectionPool = field(factory=create_pool)

    async def read(self, process: Process) -> None:
        """Request the calls that the engine runs and report them."""
        try:
            response = await self._call("GET", "/load")
        except httpcore.ConnectError:
            process.handle(EngineLoadUnavailable(may_be_running=False))
        except TRANSPORT_ERRORS:
            process.handle(EngineLoadUnavailable(may_be_running=True))
        else:
            process.handle(_decode_load(response))

    async def cancel(self, name: str) -> None:
        """Cancel a call; the next report shows whether the engine still runs it."""
        with suppress(*TRANSPORT_ERRORS):
            await self._call("POST", f"/cancel/{quote(name, safe='')}")

    async def _call(self, method: str, path: str) -> BufferedResponse:
        url = f"http://{self.address}{path}"
        return await send_request(self.pool, method, url, timeout=REPORT_TIMEOUT)


def _decode_load(response: BufferedResponse) -> Event:
    if response.status != HTTP_OK:
        return EngineLoadUnavailable(may_be_running=False)
    try:
        report = cattrs.structure(json.loads(response.content), EngineLoadReport)
    except (ValueError, TypeError, RecursionError, cattrs.BaseValidationError):
        return EngineLoadUnavailable(may_be_running=False)
    return EngineLoadFetched(report.running, report.age)


@perform.register
def _(effect: FetchEngineLoad, process: Process) -> None:
    client = process.get_adapter(EngineLoadClient)

    async def run() -> None:
        await client.read(process)

    process.start_call("load", run, EngineLoadUnavailable(may_be_running=True))


@perform.register
def _(effect: CancelOrphanedCall, process: Process) -> None:
    client = process.get_adapter(EngineLoadClient)

    async def run() -> None:
        await client.cancel(effect.name)

    process.start_call(f"cancel/{effect.name}", run)
