"""Listing: the platform's list of replicas."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import quote

import anyio
from attrs import define, field, frozen

from gentianworks.core.effects.gateway import FetchReplicas
from gentianworks.core.events.gateway import ReplicaListFailed, ReplicaListFetched
from gentianworks.core.gateway.replicas import Replica
from gentianworks.process import Process, perform
from gentianworks.web.connections import (
    Connection,
    ConnectionPool,
    Fault,
    RequestHead,
)

FETCH_TIMEOUT = 1.0  # seconds; leaves two tries within the drain time
MAX_PAGES = 200
READY = "ready"
DRAINING = "draining"


@frozen
class Page:
    """Hold one page of the list; `next_page` is empty on the last."""

    replicas: tuple[Replica, ...]
    refused: int
    next_page: str


class ListingError(Exception):
    """Report why the list can't be had."""


@define(eq=False)
class _Reply:
    """Gather one answer."""

    done: anyio.Event = field(factory=anyio.Event)
    status: int = 0
    body: bytearray = field(factory=bytearray)
    fault: str = ""

    def take_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        self.status = status
        return True

    def take_data(self, data: bytes) -> None:
        self.body += data

    def take_end(self) -> None:
        self.done.set()

    def take_fault(self, fault: Fault, detail: str) -> None:
        self.fault = detail
        self.done.set()


@define
class ListingClient:
    """Fetch the list of replicas from `address`, IP:PORT."""

    address: str
    pool: ConnectionPool = field(factory=ConnectionPool)

    async def fetch(self, process: Process) -> None:
        """Report the whole list as an event, or why it can't be had."""
        try:
            with anyio.fail_after(FETCH_TIMEOUT):
                event = await self._fetch_pages()
        except (OSError, TimeoutError, ListingError) as error:
            detail = f"{self.address} gave no list ({error!r})"
            process.handle(ReplicaListFailed(detail))
        else:
            process.handle(event)

    async def _fetch_pages(self) -> ReplicaListFetched:
        replicas: list[Replica] = []
        refused = 0
        token = ""
        for _ in range(MAX_PAGES):
            page = decode_page(await self._fetch_page(token))
            replicas += page.replicas
            refused += page.refused
            token = page.next_page
            if not token:
                return ReplicaListFetched(tuple(replicas), refused)
        raise ListingError(f"the list has over {MAX_PAGES} pages")

    async def _fetch_page(self, token: str) -> bytes:
        now = anyio.current_time()
        connection = self.pool.borrow(self.address, now, is_careful=True)
        connection = connection or await self.pool.connect(self.address)
        reply = _Reply()
        connection.send(self._build_head(token), b"", reply)
        await _wait(reply, connection)
        if reply.fault or reply.status != 200:
            raise ListingError(reply.fault or f"status {reply.status}")
        return bytes(reply.body)

    def _build_head(self, token: str) -> RequestHead:
        query = f"?pageToken={quote(token)}" if token else ""
        headers = ((b"host", self.address.encode()),)
        return RequestHead("GET", f"/instances{query}", headers)


async def _wait(reply: _Reply, connection: Connection) -> None:
    try:
        await reply.done.wait()
    except BaseException:
        connection.drop()
        raise


def decode_page(body: bytes) -> Page:
    """Return one page; entries that can't be read are counted and name no replica."""
    try:
        document: Any = json.loads(body)
        entries = list(document["instances"])
        token = document.get("next")
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise ListingError(f"a page can't be read ({error!r})") from error
    replicas = [item for item in map(_decode_entry, entries) if item is not None]
    return Page(tuple(replicas), len(entries) - len(replicas), str(token or ""))


def _decode_entry(entry: Any) -> Replica | None:
    try:
        name, service, address = entry["id"], entry["service"], entry["address"]
        zone, slots, state = entry["zone"], entry["slots"], entry["state"]
    except (KeyError, TypeError):
        return None
    texts = (name, service, address, zone, state)
    if not all(isinstance(item, str) and item for item in texts):
        return None
    if isinstance(slots, bool) or not isinstance(slots, int) or slots <= 0:
        return None
    if state not in {READY, DRAINING} or not _is_address(address):
        return None
    return Replica(name, service, address, zone, slots, state == DRAINING)


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    is_ip = len(parts) == 4 and all(part.isdigit() for part in parts)
    return is_ip and port.isdigit() and 0 < int(port) < 65536


@perform.register
def _(effect: FetchReplicas, process: Process) -> None:
    client = process.get_adapter(ListingClient)

    async def run() -> None:
        await client.fetch(process)

    failure = ReplicaListFailed("the call ended unexpectedly")
    process.start_call("listing", run, failure)
