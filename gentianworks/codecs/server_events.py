"""Server-sent events: splits a stream into complete, numbered events."""

from __future__ import annotations

import re
from collections.abc import Iterator

from attrs import frozen

EVENT_STREAM = "text/event-stream"
MAX_EVENT_BYTES = 256 * 1024  # some thousand times an event of several tokens
UNNUMBERED = -1

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_MAX_END_BYTES = 4  # of _EVENT_END
_ID_FIELD = b"id:"
_ID_LINE = re.compile(rb"^id: ?(\d{1,18})\r?$", re.MULTILINE)


class EventTooLongError(Exception):
    """Raised for an event that does not end within MAX_EVENT_BYTES."""


@frozen
class EventBlock:
    """One or more complete events, or a piece of a body that has no events."""

    data: bytes
    first_event: int = UNNUMBERED  # -1 if the events have no numbers
    last_event: int = UNNUMBERED


class EventSplitter:
    """Incremental parser that splits an event stream at the ends of its events."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0  # bytes of the buffer in which no event ends

    def feed(self, data: bytes) -> list[EventBlock]:
        """Return the events that `data` completes, in as few blocks as possible.

        Raises EventTooLongError, after which the stream can't be read further.
        """
        self._buffer += data
        ends = self._find_ends()
        complete_bytes = ends[-1] if ends else 0
        complete = bytes(self._buffer[:complete_bytes])
        del self._buffer[:complete_bytes]
        self._searched = len(self._buffer)
        if self._searched > MAX_EVENT_BYTES:
            raise EventTooLongError(
                f"an event does not end within {MAX_EVENT_BYTES} bytes"
            )
        return list(_group_events(complete, ends))

    def _find_ends(self) -> list[int]:
        # Bytes that were searched before are skipped, since an event may arrive byte
        # by byte.
        begin = max(0, self._searched - _MAX_END_BYTES + 1)
        searched = bytes(self._buffer[begin:])
        return [begin + match.end() for match in _EVENT_END.finditer(searched)]

    def has_incomplete_event(self) -> bool:
        """Return whether the stream stops in the middle of an event."""
        return bool(self._buffer)


class PassthroughSplitter:
    """Splitter for other content types, which returns the bytes as they arrive."""

    def feed(self, data: bytes) -> list[EventBlock]:
        """Return `data` as one unnumbered block."""
        return [EventBlock(data)]

    def has_incomplete_event(self) -> bool:
        """Return False; the bytes have no events."""
        return False


def _group_events(data: bytes, ends: list[int]) -> Iterator[EventBlock]:
    """Yield the events that end at `ends`, with consecutive ones in one block.

    Each block is cut out of `data` once: joining events one by one would copy the
    block for each of them.
    """
    if not ends:
        return
    if _ID_FIELD not in data:
        yield EventBlock(data)
        return
    block_start = start = 0
    first = last = _read_number(data[: ends[0]])
    for end in ends:
        number = _read_number(data[start:end])
        if start and number != (last if last == UNNUMBERED else last + 1):
            yield EventBlock(data[block_start:start], first, last)
            block_start, first = start, number
        last = number
        start = end
    yield EventBlock(data[block_start:], first, last)


def _read_number(event: bytes) -> int:
    match = _ID_LINE.search(event)
    return UNNUMBERED if match is None else int(match.group(1))
