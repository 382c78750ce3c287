"""Pools: HTTP connections to other processes and to engines."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import httpcore
from attrs import define, field, frozen

from gentianworks.web.upload_watch import UploadWatch

MAX_CONNECTIONS = 4096
MAX_IDLE_CONNECTIONS = 64
MAX_POOL_REQUESTS = 16
IDLE_TIMEOUT = 10.0  # seconds
MAX_RESPONSE_BYTES = 16 * 1024 * 1024  # of a response that is read as a whole


def create_pool(keeps_connections: bool = True) -> httpcore.AsyncConnectionPool:
    """Return a new pool of connections, which may close each after one request."""
    return httpcore.AsyncConnectionPool(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_IDLE_CONNECTIONS if keeps_connections else 0,
        keepalive_expiry=IDLE_TIMEOUT,
    )


def build_timeout_extensions(timeout: float) -> dict[str, dict[str, float]]:
    """Return request extensions that limit each step to `timeout` seconds."""
    return {"timeout": dict.fromkeys(("connect", "pool", "read", "write"), timeout)}


class OversizedResponseError(httpcore.RemoteProtocolError):
    """Raised for a response whose body exceeds the limit of its reader."""


@frozen
class BufferedResponse:
    """Status and whole body of a response."""

    status: int
    content: bytes


async def send_request(
    pool: httpcore.AsyncConnectionPool,
    method: str,
    url: str,
    *,
    timeout: float,
    content: bytes | None = None,
    headers: list[tuple[bytes, bytes]] | None = None,
) -> BufferedResponse:
    """Send a request and return the whole response.

    `timeout` is in seconds and limits the whole exchange. Raises httpcore's errors,
    among them OversizedResponseError for a body of over MAX_RESPONSE_BYTES.
    """
    upload = UploadWatch()
    extensions = {**build_timeout_extensions(timeout), "trace": upload.trace}
    try:
        with anyio.fail_after(timeout):
            async with pool.stream(
                method, url, headers=headers, content=content, extensions=extensions
            ) as response:
                upload.follow(response)
                body = await _read_body(response)
                upload.check(method, response)
    except TimeoutError as error:
        raise httpcore.ReadTimeout(f"no whole response within {timeout:g} s") from error
    return BufferedResponse(response.status, body)


async def _read_body(response: httpcore.Response) -> bytes:
    body = bytearray()
    async for data in response.aiter_stream():
        body += data
        if len(body) > MAX_RESPONSE_BYTES:
            raise OversizedResponseError(
                f"the body of the response has over {MAX_RESPONSE_BYTES} bytes"
            )
    return bytes(body)


@define
class _PoolEntry:
    pool: httpcore.AsyncConnectionPool
    requests: int = 0


@define
class Pools:
    """Connection pools by address, several for an address under load.

    A pool scans all its connections for each request, so with one pool the time for
    each request would grow in proportion to the number of requests in flight.
    """

    keeps_connections: bool = True
    _pools: dict[str, list[_PoolEntry]] = field(factory=dict)

    @asynccontextmanager
    async def borrow(self, address: str) -> AsyncIterator[httpcore.AsyncConnectionPool]:
        """Yield a pool for one request to an address (IP:PORT)."""
        pools = self._pools.setdefault(address, [])
        entry = next(
            (item for item in pools if item.requests < MAX_POOL_REQUESTS), None
        )
        if entry is None:
            entry = _PoolEntry(create_pool(self.keeps_connections))
            pools.append(entry)
        entry.requests += 1
        try:
            yield entry.pool
        finally:
            entry.requests -= 1
            if not entry.requests and entry is not pools[0]:
                pools.remove(entry)
                with anyio.CancelScope(shield=True):
                    await entry.pool.aclose()

    def count(self, address: str) -> int:
        """Return the number of pools for an address."""
        return len(self._pools.get(address, ()))
