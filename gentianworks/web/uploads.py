"""Uploads: whether a peer has taken the whole body of a request.

A response without a length ends with its connection. If a peer ends the connection
before it has taken the request, it no longer reads, and what it has sent may be a part.
"""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from collections.abc import Iterable

BODILESS_STATUSES = frozenset({204, 304})
_LENGTH_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


def ends_with_connection(
    method: str, status: int, headers: Iterable[tuple[bytes, bytes]]
) -> bool:
    """Return whether only the end of its connection ends a response."""
    if method == "HEAD" or status in BODILESS_STATUSES:
        return False
    return _LENGTH_HEADERS.isdisjoint(name.lower() for name, _ in headers)


def count_untaken_bytes(sock: socket.socket | None) -> int:
    """Return how many bytes were written to a socket that its peer has not taken.

    Returns 0 if the socket is closed or the system can't tell.
    """
    if sock is None or sock.fileno() < 0:
        return 0
    buffer = struct.pack("i", 0)
    try:
        result = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, buffer)
    except OSError:
        return 0
    count: int = struct.unpack("i", result)[0]
    return count
