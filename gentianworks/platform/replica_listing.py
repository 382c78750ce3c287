"""Replica listing: fetches and decodes the platform's list of replicas."""

from __future__ import annotations

import ipaddress
import json
import re
from typing import Any
from urllib.parse import quote

import anyio
from attrs import define, field, frozen

from gentianworks.core.effects.gateway import FetchReplicas
from gentianworks.core.events.gateway import ReplicaListFailed, ReplicaListFetched
from gentianworks.core.gateway.replicas import Replica
from gentianworks.process import Process, contain_failure, perform
from gentianworks.web.connections import (
    Connection,
    ConnectionFailure,
    ConnectionPool,
    RequestHead,
)

FETCH_TIMEOUT = 1.0  # seconds; allows two attempts within the drain time
MAX_PAGES = 200
STATUS_THROTTLED = 429
STATE_READY = "ready"
STATE_DRAINING = "draining"
MAX_SLOTS = 1_000_000  # calls
MAX_TEXT = 256  # characters
MAX_TOKEN = 4096  # characters; many servers refuse a longer line
MAX_LIST_BYTES = 16 * 1024 * 1024  # some thousand bytes for each replica
MAX_PORT = 65535
MAX_PORT_DIGITS = 5
_UNREADABLE = (ValueError, KeyError, TypeError, AttributeError, RecursionError)
_JSON_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[][{},]', re.DOTALL)


@frozen
class ListingPage:
    """Page of the list of replicas."""

    replicas: tuple[Replica, ...]
    rejected_entries: int  # entries that can't be decoded
    next_page: str  # token of the next page; empty on the last


class ListingError(Exception):
    """Raised when the list is unavailable or can't be decoded."""


class ThrottledError(ListingError):
    """Raised when the fleet exceeded the permitted rate of requests."""


@define(eq=False)
class _Response:
    """Buffered response to one request."""

    done: anyio.Event = field(factory=anyio.Event)
    status: int = 0
    body: bytearray = field(factory=bytearray)
    error: str = ""
    # Set by the client that sends the request.
    connection: Connection | None = None
    max_bytes: int = MAX_LIST_BYTES

    def receive_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        self.status = status
        return True

    def receive_data(self, data: bytes) -> None:
        self.body += data
        if len(self.body) > self.max_bytes and self.connection is not None:
            self.connection.abort()
            self.error = f"the list has over {MAX_LIST_BYTES} bytes"
            self.done.set()

    def receive_end(self) -> None:
        self.done.set()

    def receive_failure(self, failure: ConnectionFailure, detail: str) -> None:
        self.error = detail
        self.done.set()


@define
class ListingClient:
    """HTTP client for the list of replicas."""

    address: str  # IP:PORT
    pool: ConnectionPool = field(factory=ConnectionPool)

    async def fetch(self, process: Process) -> None:
        """Report the complete list as an event, or the reason why it is unavailable."""
        try:
            with anyio.fail_after(FETCH_TIMEOUT):
                event = await self._fetch_pages()
        except (OSError, TimeoutError, ListingError) as error:
            detail = f"{self.address} returned no list ({error!r})"
            is_throttled = isinstance(error, ThrottledError)
            process.handle(ReplicaListFailed(detail, is_throttled))
        else:
            process.handle(event)

    async def _fetch_pages(self) -> ReplicaListFetched:
        replicas: list[Replica] = []
        refused = 0
        token = ""
        remaining_bytes = MAX_LIST_BYTES
        for page_number in range(1, MAX_PAGES + 1):
            body = await self._fetch_page(token, remaining_bytes)
            remaining_bytes -= len(body)
            page = decode_page(body)
            replicas += page.replicas
            refused += page.rejected_entries
            token = page.next_page
            if not token:
                return ReplicaListFetched(tuple(replicas), refused, page_number)
        raise ListingError(f"the list has over {MAX_PAGES} pages")

    async def _fetch_page(self, token: str, max_bytes: int) -> bytes:
        head = self._build_head(token)
        now = anyio.current_time()
        connection = self.pool.borrow(self.address, now, is_careful=True)
        connection = connection or await self.pool.connect(self.address)
        response = _Response(connection=connection, max_bytes=max_bytes)
        connection.send(head, b"", response)
        await _wait_for_end(response, connection)
        if response.status == STATUS_THROTTLED and not response.error:
            raise ThrottledError(f"status {response.status}")
        if response.error or response.status != 200:
            raise ListingError(response.error or f"status {response.status}")
        return bytes(response.body)

    def _build_head(self, token: str) -> RequestHead:
        query = f"?pageToken={quote(token)}" if token else ""
        headers = ((b"host", self.address.encode()),)
        return RequestHead("GET", f"/instances{query}", headers)


async def _wait_for_end(response: _Response, connection: Connection) -> None:
    try:
        await response.done.wait()
    except BaseException:
        connection.abort()
        raise


def decode_page(body: bytes) -> ListingPage:
    """Return one page; entries that can't be decoded are counted and skipped.

    Raises ListingError if the page itself can't be read.
    """
    try:
        entries, token = _read_page(body)
    except _UNREADABLE:
        entries, token = _read_page_by_entries(body)
    replicas = [item for item in map(_decode_entry, entries) if item is not None]
    return ListingPage(tuple(replicas), len(entries) - len(replicas), token)


def _read_page(body: bytes) -> tuple[list[Any], str]:
    document: Any = json.loads(body)
    return _read_entries(document["instances"]), _read_token(document.get("next"))


def _read_page_by_entries(body: bytes) -> tuple[list[Any], str]:
    """Return the entries of a page that can't be read as a whole.

    One entry may be nested too deeply for the parser, or have a number or bytes that it
    does not accept; None stands for such an entry.
    """
    try:
        members = dict(map(_split_member, split_json(body, b"{")))
        entries = [_read_entry(item) for item in split_json(members["instances"], b"[")]
        return entries, _read_token(json.loads(members.get("next", b"null")))
    except _UNREADABLE as error:
        raise ListingError(f"a page can't be read ({error!r})") from error


def _split_member(member: bytes) -> tuple[str, bytes]:
    name, end = json.JSONDecoder().raw_decode(member.decode("latin-1").strip())
    return str(name), member.strip()[end:].lstrip().removeprefix(b":")


def _read_entries(entries: Any) -> list[Any]:
    if not isinstance(entries, list):
        raise TypeError(f"instances is a {type(entries).__name__}, not a list")
    return entries


def _read_token(token: Any) -> str:
    if token is None:
        return ""
    if not isinstance(token, str):
        raise TypeError(f"next is a {type(token).__name__}, not a string")
    if len(token) > MAX_TOKEN or not token.isprintable():
        raise ValueError(f"next is {ascii(token)[:MAX_TEXT]}, which can't be sent")
    return token


def _read_entry(entry: bytes) -> Any:
    try:
        return json.loads(entry)
    except _UNREADABLE:
        return None


def split_json(data: bytes, opening: bytes) -> list[bytes]:
    """Return the items of an encoded object or list, without parsing them.

    Raises ValueError unless it begins with `opening` and has an end.
    """
    if not data.lstrip().startswith(opening):
        raise ValueError(f"{data[:20]!r} does not begin with {opening!r}")
    items: list[bytes] = []
    depth = start = 0
    for match in _JSON_TOKEN.finditer(data):
        token = match.group()
        if token in b"[{":
            depth += 1
            start = match.end() if depth == 1 else start
        elif token in b"]}":
            depth -= 1
        if depth == 0 or (depth == 1 and token == b","):
            items.append(data[start : match.start()])
            start = match.end()
        if depth == 0:
            return items if len(items) > 1 or items[0].strip() else []
    raise ValueError("an object or list has no end")


def _decode_entry(entry: Any) -> Replica | None:
    try:
        name, service, address = entry["id"], entry["service"], entry["address"]
        zone, slots, state = entry["zone"], entry["slots"], entry["state"]
    except (KeyError, TypeError):
        return None
    version = entry.get("version", "unknown")
    if not all(map(_is_text, (name, service, address, zone, state, version))):
        return None
    if not _is_token(name) or not _is_address(address):
        return None
    if isinstance(slots, bool) or not isinstance(slots, int):
        return None
    if not 0 < slots <= MAX_SLOTS or state not in {STATE_READY, STATE_DRAINING}:
        return None
    is_leaving, is_cold = state == STATE_DRAINING, _is_cold(entry)
    return Replica(name, service, address, zone, slots, is_leaving, is_cold)


def _is_cold(entry: dict[str, Any]) -> bool:
    """Return whether an entry names a time for which its replica is still cold."""
    remaining = entry.get("coldRemainingMs")
    if isinstance(remaining, bool) or not isinstance(remaining, int | float):
        return False
    return 0 < remaining < float("inf")


def _is_text(value: Any) -> bool:
    """Return whether a value is a short text that can be encoded."""
    return isinstance(value, str) and 0 < len(value) <= MAX_TEXT and value.isprintable()


def _is_token(text: str) -> bool:
    """Return whether a text can be the value of a header."""
    return text.isascii() and " " not in text


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    return is_number and 0 < int(port) <= MAX_PORT


@perform.register
def _(effect: FetchReplicas, process: Process) -> None:
    client = process.get_adapter(ListingClient)

    async def run() -> None:
        await client.fetch(process)

    failure = ReplicaListFailed("the call ended unexpectedly")
    process.start_call("listing", run, failure)


@contain_failure.register
def _(effect: FetchReplicas, process: Process, error: Exception) -> None:
    process.log_failed_effect(effect)
    process.handle(ReplicaListFailed("the call could not be started"))
