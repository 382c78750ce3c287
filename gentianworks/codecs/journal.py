"""Journal: the encoding of records and snapshots, each with a checksum."""

from __future__ import annotations

import struct
from typing import Any, TypeVar

import xxhash
from attrs import frozen

from gentianworks.codecs.commands import create_converter
from gentianworks.core.replication.log import Entry, Position, Snapshot, Vote
from gentianworks.core.replication.members import HostId

MAGIC = b"\xf5gwj"
RECORD_HEADER = struct.Struct(">4sIQ")  # magic, payload length, checksum
MAX_RECORD_BYTES = 256 * 1024 * 1024

T = TypeVar("T")


@frozen
class JournalHeader:
    """First record of a journal: its host and the entry that precedes it."""

    host: HostId
    base: Position


@frozen
class JournalBatch:
    """Vote and entries that one sync wrote to disk."""

    vote: Vote
    entries: tuple[Entry, ...] = ()


class RecordError(Exception):
    """Raised for bytes that are not a complete record."""


class RecordCodec:
    """Encoder and decoder of journal records and snapshots."""

    def __init__(self) -> None:
        self._converter = create_converter()

    def encode(self, record: JournalHeader | JournalBatch | Snapshot) -> bytes:
        """Return a record preceded by its magic number, length and checksum."""
        payload = self._converter.dumps(record)
        return (
            RECORD_HEADER.pack(MAGIC, len(payload), xxhash.xxh3_64_intdigest(payload))
            + payload
        )

    def decode(self, data: bytes, offset: int, kind: type[T]) -> tuple[T, int]:
        """Return the record at an offset and the offset after it.

        Raises RecordError if the record is incomplete, damaged or of another type.
        """
        payload, end = _extract_payload(data, offset)
        try:
            record: Any = self._converter.loads(payload, kind)
        except Exception as error:
            raise RecordError(f"the record can't be decoded ({error!r})") from error
        return record, end

    def find_record(self, data: bytes, offset: int) -> int | None:
        """Return the offset of the first complete record from `offset` on, or None."""
        found = data.find(MAGIC, offset)
        while found >= 0:
            try:
                _extract_payload(data, found)
            except RecordError:
                found = data.find(MAGIC, found + 1)
            else:
                return found
        return None


def _extract_payload(data: bytes, offset: int) -> tuple[bytes, int]:
    start = offset + RECORD_HEADER.size
    if start > len(data):
        raise RecordError("the record header is truncated")
    magic, size, checksum = RECORD_HEADER.unpack_from(data, offset)
    end = start + size
    if magic != MAGIC or size > MAX_RECORD_BYTES:
        raise RecordError("the record header is damaged")
    if end > len(data):
        raise RecordError("the record payload is truncated")
    payload = data[start:end]
    if xxhash.xxh3_64_intdigest(payload) != checksum:
        raise RecordError("the record checksum does not match")
    return payload, end
