"""Replica: a stand-in for a plain service or a model server behind the routers.

It speaks what the users' page PROTOCOL asks of a replica: it echoes `Request-Id`, signs
its answers, rejects requests for another replica with 421 and, when it is full, rejects
with 503 and `Not-Executed`. It drops a request whose connection closes. Each request
that it begins to run is written as a line to a file.

    python3 replica.py ADDRESS ID RUNS_FILE WORK_SECONDS SLOTS [ANSWER_BYTES]
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time

MAX_WAITING = 4  # requests for each slot


class Replica:
    """One incarnation of a replica; times are in seconds."""

    def __init__(
        self, name: str, runs_file: str, work: float, slots: int, size: int
    ) -> None:
        self.name = name
        self.work = work
        self.slots = slots
        self.size = size
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.runs = os.open(runs_file, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def record(self, event: str, headers: dict[str, str]) -> None:
        """Write one line about a request."""
        line = {
            "at": time.time(),
            "replica": self.name,
            "event": event,
            "request": headers.get("request-id", ""),
            "tenant": headers.get("tenant-id", ""),
            "deadline": headers.get("request-deadline", ""),
        }
        os.write(self.runs, (json.dumps(line) + "\n").encode())

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection, one after the other."""
        try:
            while await self._serve_next(reader, writer):
                pass
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_next(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await read_head(reader)
        if head is None:
            return False
        line, headers = head
        await reader.readexactly(int(headers.get("content-length", "0")))
        if line.split(" ")[1] == "/healthz":
            self._answer(writer, headers, 200, b"ok")
        elif headers.get("expect-instance", self.name) != self.name:
            self._answer(writer, headers, 421, b"", "not-executed: true\r\n")
        elif self.waiting >= MAX_WAITING * self.slots:
            self._answer(writer, headers, 503, b"", "not-executed: true\r\n")
        else:
            await self._run(reader, writer, headers)
        await writer.drain()
        return True

    async def _run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
    ) -> None:
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.record("run", headers)
        try:
            await self._work(reader)
        finally:
            self.running -= 1
            self.free.release()
        self.record("done", headers)
        body = (self.name + " " + headers.get("request-id", "")).encode()
        body += b"." * max(0, self.size - len(body))
        signature = f"response-signature: {self.name}.{len(body)}\r\n"
        self._answer(writer, headers, 200, body, signature)

    async def _work(self, reader: asyncio.StreamReader) -> None:
        """Work for as long as the request takes, or until its connection closes."""
        end = time.monotonic() + self.work
        while (left := end - time.monotonic()) > 0:
            await asyncio.sleep(min(left, 0.05))
            if reader.at_eof():
                raise EOFError

    def _answer(
        self,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        status: int,
        body: bytes,
        more: str = "",
    ) -> None:
        head = (
            f"HTTP/1.1 {status} -\r\n"
            f"request-id: {headers.get('request-id', '')}\r\n"
            f"instance-id: {self.name}\r\n"
            f"instance-load: {self.running},{self.waiting},{self.slots}\r\n"
            f"keep-alive: timeout=30\r\n"
            f"content-length: {len(body)}\r\n{more}\r\n"
        )
        writer.write(head.encode("latin-1") + body)


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def main() -> None:
    """Serve until the process is ended."""
    address, name, runs_file, work, slots = sys.argv[1:6]
    size = int(sys.argv[6]) if len(sys.argv) > 6 else 800
    host, _, port = address.rpartition(":")
    replica = Replica(name, runs_file, float(work), int(slots), size)
    server = await asyncio.start_server(
        replica.serve, host, int(port), backlog=1024, limit=64 * 1024
    )
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
