"""Tests of the limits of the log: a stalled reader and a flood of lines."""

from __future__ import annotations

import logging
import os
import time
from collections.abc import Iterator

import pytest

from gentianworks.telemetry.log import JsonFormatter
from gentianworks.telemetry.log_writer import (
    MAX_BUFFERED_BYTES,
    MAX_BURST_LINES,
    BoundedHandler,
)

PIPE_BYTES = 64 * 1024


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    """Provide the descriptors of a non-blocking pipe."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def build_record(
    level: int = logging.WARNING, text: str = "GW5107"
) -> logging.LogRecord:
    """Return a record of a level with an event code."""
    return logging.LogRecord("gentianworks", level, "", 0, text, (), None)


def read_all(reader: int) -> bytes:
    """Return all bytes that are available in a pipe."""
    data = b""
    while True:
        try:
            part = os.read(reader, PIPE_BYTES)
        except BlockingIOError:
            return data
        if not part:
            return data
        data += part


class TestBoundedHandler:
    def test_stalled_reader_does_not_block_the_writer(
        self, pipe: tuple[int, int]
    ) -> None:
        handler = BoundedHandler(pipe[1])
        handler.setFormatter(JsonFormatter())
        started_at = time.monotonic()
        for _ in range(20_000):
            handler.emit(build_record())
        assert time.monotonic() - started_at < 10
        assert handler.dropped > 0
        assert len(handler._buffer) <= MAX_BUFFERED_BYTES

    def test_resumed_reader_gets_complete_lines_and_the_number_dropped(
        self, pipe: tuple[int, int]
    ) -> None:
        handler = BoundedHandler(pipe[1])
        handler.setFormatter(JsonFormatter())
        for _ in range(5_000):
            handler.emit(build_record())
        dropped = handler.dropped
        data = b""
        for _ in range(10):
            data += read_all(pipe[0])
            handler.flush()
        handler.emit(build_record(text="GW5108"))
        data += read_all(pipe[0])
        lines = data.splitlines()
        assert all(line.startswith(b"{") and line.endswith(b"}") for line in lines)
        assert len(lines) == 5_001 - dropped
        assert f'"dropped_before": "{dropped}"'.encode() in lines[-1]

    def test_flood_of_info_lines_is_limited_and_warnings_are_kept(
        self, pipe: tuple[int, int]
    ) -> None:
        handler = BoundedHandler(pipe[1])
        handler.setFormatter(JsonFormatter())
        for _ in range(10 * MAX_BURST_LINES):
            handler.emit(build_record(logging.INFO))
            read_all(pipe[0])
        assert handler.dropped > 5 * MAX_BURST_LINES
        handler.emit(build_record())
        assert b"GW5107" in read_all(pipe[0])
