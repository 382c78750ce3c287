"""Tests of real processes with clients that stay outside the limits."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from pathlib import Path

import pytest
from attrs import frozen

from gentianworks.tests.platform_sites import (
    MAX_BODY_BYTES,
    MAX_FDS,
    MEMORY_MB,
    PlatformSite,
    encode_request,
)

CROWD = 80  # clients; one body of each takes more memory than the process has
WIDE_CROWD = 300  # clients; more than the process may have descriptors
SEND_TIMEOUT = 20.0  # seconds, after which a client sends nothing more
ANSWER_TIMEOUT = 40.0  # seconds, in which an ordinary call is repeated
POST = ("POST", "/filing/x")
CHUNKED = "transfer-encoding: chunked\r\n"
LARGE_CHUNK_BYTES = 128 * 1024


@frozen
class Client:
    """Client that sends a head, then the same data again and again, and stays open."""

    head: bytes
    data: bytes = b""
    count: int = 0
    reads: bool = True


def announce(size: int, method: str = "POST", path: str = "/filing/x") -> bytes:
    """Return the head of a request that announces a body of `size` bytes."""
    return encode_request(method, path, f"content-length: {size}\r\n")


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


@frozen
class OpenClient:
    """Client that has sent what it sends; its connection is open."""

    writer: asyncio.StreamWriter
    reading: asyncio.Task[None] | None

    async def close(self) -> None:
        """Close the connection."""
        self.writer.transport.abort()
        if self.reading is not None:
            self.reading.cancel()
            await asyncio.gather(self.reading, return_exceptions=True)


async def run_client(address: tuple[str, int], client: Client) -> OpenClient:
    """Send what a client sends, until the server closes the connection."""
    reader, writer = await asyncio.open_connection(*address, limit=4096)
    reading = asyncio.create_task(_discard(reader)) if client.reads else None
    try:
        async with asyncio.timeout(SEND_TIMEOUT):
            writer.write(client.head)
            for _ in range(client.count):
                writer.write(client.data)
                await writer.drain()
    except (OSError, TimeoutError):
        pass
    return OpenClient(writer, reading)


async def _discard(reader: asyncio.StreamReader) -> None:
    try:
        while await reader.read(4096):
            pass
    except OSError:
        pass


async def send_crowd(
    site: PlatformSite, name: str, client: Client, count: int
) -> list[int]:
    """Let equal clients come at once; return the statuses of calls that follow.

    The calls come while the connections of the crowd are open, until one is served.
    """
    address = site.get_address(name)
    clients = (run_client(address, client) for _ in range(count))
    results = await asyncio.gather(*clients, return_exceptions=True)
    statuses: list[int] = []
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT):
            while 200 not in statuses[-1:]:
                statuses.append(await site.send_ordinary(name))
                await asyncio.sleep(0.1)
    except TimeoutError:
        pass
    for result in results:
        if isinstance(result, OpenClient):
            await result.close()
    return statuses


@pytest.fixture
def site(tmp_path: Path) -> Iterator[PlatformSite]:
    """Return a site with one router that serves calls."""
    site = PlatformSite(tmp_path)
    try:
        site.start()
        yield site
    finally:
        site.stop()


def check(
    site: PlatformSite,
    client: Client,
    count: int = CROWD,
    name: str = "front",
    role: str = "router",
) -> None:
    """Check that a process survives a crowd within its limits and serves a call."""
    statuses = asyncio.run(send_crowd(site, name, client, count))
    assert site.processes[role].poll() is None
    peak = site.read_peak_memory(role)
    assert peak <= MEMORY_MB, f"{peak:.0f} MB of {MEMORY_MB}"
    most = site.max_descriptors[role]
    assert most <= MAX_FDS, f"{most} descriptors of {MAX_FDS}"
    assert statuses[-1:] == [200], f"{len(statuses)} calls without an answer"


class TestBodies:
    """Bodies of legal size that together exceed the memory end no process."""

    def test_whole_bodies(self, site: PlatformSite) -> None:
        check(site, Client(announce(MAX_BODY_BYTES), b"x" * MAX_BODY_BYTES, 1))

    def test_all_but_the_last_byte(self, site: PlatformSite) -> None:
        data = b"x" * (MAX_BODY_BYTES - 1)
        check(site, Client(announce(MAX_BODY_BYTES), data, 1))

    def test_pieces(self, site: PlatformSite) -> None:
        count = (MAX_BODY_BYTES - 1) // 700
        check(site, Client(announce(MAX_BODY_BYTES), b"x" * 700, count))


class TestChunks:
    """Chunks of any size, which announce no length, are bounded like bodies."""

    def test_large_chunks(self, site: PlatformSite) -> None:
        chunk = encode_chunk(b"x" * LARGE_CHUNK_BYTES)
        count = MAX_BODY_BYTES // LARGE_CHUNK_BYTES
        check(site, Client(encode_request(*POST, CHUNKED), chunk, count))

    def test_chunks_of_one_byte(self, site: PlatformSite) -> None:
        chunks = encode_chunk(b"x") * 1024
        check(site, Client(encode_request(*POST, CHUNKED), chunks, 256))

    def test_chunks_with_extensions(self, site: PlatformSite) -> None:
        chunks = b"1;%s\r\nx\r\n" % (b"e" * 8192) * 8
        check(site, Client(encode_request(*POST, CHUNKED), chunks, 256))


class TestTooLargeBodies:
    """A body over the limit is refused without being kept."""

    def test_announced(self, site: PlatformSite) -> None:
        head = announce(64 * MAX_BODY_BYTES)
        check(site, Client(head, b"x" * MAX_BODY_BYTES, 8))

    def test_not_announced(self, site: PlatformSite) -> None:
        chunk = encode_chunk(b"x" * LARGE_CHUNK_BYTES)
        check(site, Client(encode_request(*POST, CHUNKED), chunk, 64))


class TestConnections:
    """Connections without a request leave descriptors for all else."""

    def test_incomplete_heads(self, site: PlatformSite) -> None:
        head = encode_request(*POST, f"x: {'h' * 16000}\r\n")[:-2]
        check(site, Client(head), WIDE_CROWD)

    def test_requests_whose_responses_are_not_read(self, site: PlatformSite) -> None:
        request = announce(4) + b"body"
        check(site, Client(b"", request * 64, 64, reads=False))


class TestOperators:
    """The control and metrics addresses have the same bounds."""

    def test_configurations(self, site: PlatformSite) -> None:
        head = announce(4 * MAX_BODY_BYTES, "PUT", "/config")
        client = Client(head, b" " * (MAX_BODY_BYTES), 3)
        check(site, client, name="control", role="control")

    def test_heads_at_the_control_address(self, site: PlatformSite) -> None:
        client = Client(b"GET /config HTTP/1.1\r\n")
        check(site, client, WIDE_CROWD, "control", "control")

    def test_heads_at_the_metrics_address(self, site: PlatformSite) -> None:
        client = Client(b"GET /metrics HTTP/1.1\r\n")
        check(site, client, WIDE_CROWD, "metrics-router")
