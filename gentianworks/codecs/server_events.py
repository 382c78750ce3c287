"""Server-sent events: splits a stream into complete, numbered events."""

from __future__ import annotations

import re
from collections.abc import Iterator

from attrs import frozen

EVENT_STREAM = "text/event-stream"
MAX_EVENT_BYTES = 1024 * 1024
UNNUMBERED = -1

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_LINE = re.compile(rb"^id: ?(\d{1,18})\r?$", re.MULTILINE)


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
        self._buffer = b""

    def feed(self, data: bytes) -> list[EventBlock]:
        """Return the events that `data` completes, in as few blocks as possible."""
        blocks: list[EventBlock] = []
        for event in self._split(self._buffer + data):
            merged = blocks[-1].merge(event) if blocks else None
            if merged is None:
                blocks.append(event)
            else:
                blocks[-1] = merged
        return blocks

    def _split(self, data: bytes) -> Iterator[EventBlock]:
        start = 0
        for end in _EVENT_END.finditer(data):
            yield _parse_event(data[start : end.end()])
            start = end.end()
        self._buffer = data[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            yield EventBlock(self._buffer)
            self._buffer = b""

    def finish(self) -> list[EventBlock]:
        """Return the remaining bytes at the end of the stream."""
        remaining, self._buffer = self._buffer, b""
        return [EventBlock(remaining)] if remaining else []


class PassthroughSplitter:
    """Splitter for other content types, which returns the bytes as they arrive."""

    def feed(self, data: bytes) -> list[EventBlock]:
        """Return `data` as one unnumbered block."""
        return [EventBlock(data)]

    def finish(self) -> list[EventBlock]:
        """Return an empty list; no bytes are buffered."""
        return []


def _parse_event(event: bytes) -> EventBlock:
    match = _ID_LINE.search(event)
    if match is None:
        return EventBlock(event)
    number = int(match.group(1))
    return EventBlock(event, number, number)
