"""Journal: the encoding of records and snapshots, each under a checksum."""

from __future__ import annotations

import struct
from typing import Any, TypeVar

import xxhash
from attrs import frozen

from gentianworks.codecs.commands import create_converter
from gentianworks.core.replication.log import Entry, Position, Snapshot, Vote
from gentianworks.core.replication.members import HostId

MARK = b"\xf5gwj"
HEAD = struct.Struct(">4sIQ")
MAX_RECORD_BYTES = 256 * 1024 * 1024

T = TypeVar("T")


@frozen
class JournalHeader:
    """Begin a journal: whose it is, and the entry that it follows."""

    host: HostId
    base: Position


@frozen
class JournalBatch:
    """Hold what one sync put on disk."""

    vote: Vote
    entries: tuple[Entry, ...] = ()


class RecordError(Exception):
    """Report bytes that are no whole record."""


class RecordCodec:
    """Encode and decode the records of a journal and snapshots."""

    def __init__(self) -> None:
        self._converter = create_converter()

    def encode(self, record: JournalHeader | JournalBatch | Snapshot) -> bytes:
        """Return a record with its mark, length and checksum."""
        payload = self._converter.dumps(record)
        return (
            HEAD.pack(MARK, len(payload), xxhash.xxh3_64_intdigest(payload)) + payload
        )

    def decode(self, data: bytes, offset: int, kind: type[T]) -> tuple[T, int]:
        """Return the record at an offset and the offset after it."""
        payload, end = _cut(data, offset)
        try:
            record: Any = self._converter.loads(payload, kind)
        except Exception as error:
            raise RecordError(f"it can't be decoded ({error!r})") from error
        return record, end

    def find_record(self, data: bytes, offset: int) -> int | None:
        """Return the offset of the next whole record from an offset on, or None."""
        found = data.find(MARK, offset)
        while found >= 0:
            try:
                _cut(data, found)
            except RecordError:
                found = data.find(MARK, found + 1)
            else:
                return found
        return None


def _cut(data: bytes, offset: int) -> tuple[bytes, int]:
    start = offset + HEAD.size
    if start > len(data):
        raise RecordError("its head is cut off")
    mark, size, checksum = HEAD.unpack_from(data, offset)
    end = start + size
    if mark != MARK or size > MAX_RECORD_BYTES:
        raise RecordError("its head is damaged")
    if end > len(data):
        raise RecordError("its end is cut off")
    payload = data[start:end]
    if xxhash.xxh3_64_intdigest(payload) != checksum:
        raise RecordError("its checksum is wrong")
    return payload, end
