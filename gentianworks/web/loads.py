"""Loads: an agent's questions to its engine about the calls that it runs."""

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
from gentianworks.web.pools import create_pool, limit_silence

HTTP_OK = 200
REPORT_TIMEOUT = 1.0  # seconds
FAILURES = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@frozen
class LoadReport:
    """Hold an engine's report of its load; `age` is in seconds."""

    running: tuple[str, ...]
    age: float = field(
        default=0.0, validator=[validators.ge(0.0), validators.lt(math.inf)]
    )


@define
class LoadClient:
    """Ask an engine what it runs, and cancel what nobody waits for."""

    address: str
    pool: httpcore.AsyncConnectionPool = field(factory=create_pool)

    async def read(self, process: Process) -> None:
        """Ask the engine what it runs and report the answer."""
        try:
            response = await self._call("GET", "/load")
        except httpcore.ConnectError:
            process.handle(EngineLoadUnavailable(may_be_running=False))
        except FAILURES:
            process.handle(EngineLoadUnavailable(may_be_running=True))
        else:
            process.handle(_decode_load(response))

    async def cancel(self, name: str) -> None:
        """Cancel a call by its name; the next report tells whether it is gone."""
        with suppress(*FAILURES):
            await self._call("POST", f"/cancel/{quote(name, safe='')}")

    async def _call(self, method: str, path: str) -> httpcore.Response:
        return await self.pool.request(
            method,
            f"http://{self.address}{path}",
            extensions=limit_silence(REPORT_TIMEOUT),
        )


def _decode_load(response: httpcore.Response) -> Event:
    if response.status != HTTP_OK:
        return EngineLoadUnavailable(may_be_running=False)
    try:
        report = cattrs.structure(json.loads(response.content), LoadReport)
    except (ValueError, TypeError, RecursionError, cattrs.BaseValidationError):
        return EngineLoadUnavailable(may_be_running=False)
    return EngineLoadFetched(report.running, report.age)


@perform.register
def _(effect: FetchEngineLoad, process: Process) -> None:
    client = process.get_adapter(LoadClient)

    async def run() -> None:
        await client.read(process)

    process.start_call("load", run, EngineLoadUnavailable(may_be_running=True))


@perform.register
def _(effect: CancelOrphanedCall, process: Process) -> None:
    client = process.get_adapter(LoadClient)

    async def run() -> None:
        await client.cancel(effect.name)

    process.start_call(f"cancel/{effect.name}", run)
