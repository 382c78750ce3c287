"""Log writer: writes lines without blocking on a slow reader."""

from __future__ import annotations

import logging
import os

LINES_PER_SECOND = 100  # about five times a router's calls at peak load
MAX_BURST_LINES = 300  # enough for a start and for a change of the list of replicas
MAX_BUFFERED_BYTES = 256 * 1024  # some seconds of lines while the reader is stalled


class BoundedHandler(logging.Handler):
    """Handler that writes lines to a descriptor and drops those beyond its limits.

    A token bucket limits the rate of lines below WARNING, and a buffer limits the
    unread bytes of all lines. The next line that is written reports the number of
    dropped lines.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._tokens = float(MAX_BURST_LINES)
        self._refilled_at = 0.0
        self.dropped = 0
        self._reported_dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop and count it."""
        if not self._admit(record):
            self.dropped += 1
            return
        try:
            line = self._format(record)
        except Exception:
            self.handleError(record)
            return
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._buffer += line
            self._reported_dropped = self.dropped
        self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        try:
            while self._buffer:
                written = os.write(self._descriptor, self._buffer)
                del self._buffer[:written]
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone, so the error can't be reported.
            self._buffer.clear()

    def _admit(self, record: logging.LogRecord) -> bool:
        elapsed = max(0.0, record.created - self._refilled_at)
        self._refilled_at = record.created
        self._tokens = min(MAX_BURST_LINES, self._tokens + elapsed * LINES_PER_SECOND)
        if self._tokens >= 1:
            self._tokens -= 1
            return True
        return record.levelno >= logging.WARNING

    def _format(self, record: logging.LogRecord) -> bytes:
        unreported = self.dropped - self._reported_dropped
        if unreported:
            details = getattr(record, "details", ())
            record.details = (*details, ("dropped_before", str(unreported)))
        return f"{self.format(record)}\n".encode()
