"""Log writer: writes lines without ever waiting for their reader."""

from __future__ import annotations

import logging
import os

LINES_PER_SECOND = 100  # some five times a router's calls at the sites' peak
MAX_BURST = 300  # lines; what a start and a change of the replicas' list write
BUFFER_BYTES = 256 * 1024  # some seconds of lines while the reader stands still


class BoundedHandler(logging.Handler):
    """Write lines to a descriptor, and drop and count those beyond its limits.

    Lines below a warning are limited in number each second, all in bytes that wait
    for the reader. The next line that is written tells how many were dropped.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._waiting = bytearray()
        self._allowed = float(MAX_BURST)
        self._filled_at = 0.0
        self.dropped = 0
        self._told = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        if not self._take_turn(record):
            self.dropped += 1
            return
        try:
            line = self._format(record)
        except Exception:
            self.handleError(record)
            return
        if len(self._waiting) + len(line) > BUFFER_BYTES:
            self.dropped += 1
        else:
            self._waiting += line
            self._told = self.dropped
        self.flush()

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        try:
            while self._waiting:
                written = os.write(self._descriptor, self._waiting)
                del self._waiting[:written]
        except BlockingIOError:
            return
        except OSError:
            # Nobody can read the log any more, so there is nowhere to tell it.
            self._waiting.clear()

    def _take_turn(self, record: logging.LogRecord) -> bool:
        passed = max(0.0, record.created - self._filled_at)
        self._filled_at = record.created
        self._allowed = min(MAX_BURST, self._allowed + passed * LINES_PER_SECOND)
        if self._allowed >= 1:
            self._allowed -= 1
            return True
        return record.levelno >= logging.WARNING

    def _format(self, record: logging.LogRecord) -> bytes:
        missing = self.dropped - self._told
        if missing:
            details = getattr(record, "details", ())
            record.details = (*details, ("dropped_before", str(missing)))
        return f"{self.format(record)}\n".encode()
