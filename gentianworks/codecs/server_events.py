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
_ID_LINE = re.compile(rb"^id: ?(\d{1,18})\r?$", re.MULTILINE)


class EventTooLongError(Exception):
    """Raised for an event that does not end within MAX_EVENT_BYTES."""


@frozen
class EventBlock:
    """One or more complete events, or a piece of a body that has no events."""

    data: bytes
    first_event: int = UNNUMBERED  # -1 if the events have no numbers
    last_event: int = UNNUMBERED

    def merge(self, other: EventBlock) -> EventBlock | None:
        """Return both blocks as one if `other` continues this one, else None."""
        is_next = (
            other.first_event == self.last_event + 1 and self.last_event != UNNUMBERED
        )
        is_unnumbered = self.last_event == other.last_event == UNNUMBERED
        if not is_next and not is_unnumbered:
            return None
        return EventBlock(self.data + other.data, self.first_event, other.last_event)


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
        blocks: list[EventBlock] = []
        for event in self._split():
            merged = blocks[-1].merge(event) if blocks else None
            if merged is None:
                blocks.append(event)
            else:
                blocks[-1] = merged
        return blocks

    def _split(self) -> Iterator[EventBlock]:
        # Bytes that were searched before are skipped, since an event may arrive byte
        # by byte.
        begin = max(0, self._searched - _MAX_END_BYTES + 1)
        start = 0
        for end in _EVENT_END.finditer(bytes(self._buffer[begin:])):
            yield _parse_event(bytes(self._buffer[start : begin + end.end()]))
            start = begin + end.end()
        del self._buffer[:start]
        self._searched = len(self._buffer)
        if self._searched > MAX_EVENT_BYTES:
            raise EventTooLongError(
                f"an event does not end within {MAX_EVENT_BYTES} bytes"
            )

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


def _parse_event(event: bytes) -> EventBlock:
    match = _ID_LINE.search(event)
    if match is None:
        return EventBlock(event)
    number = int(match.group(1))
    return EventBlock(event, number, number)
