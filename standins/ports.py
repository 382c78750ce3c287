"""Ports: free TCP ports on loopback that concurrent processes never share."""

from __future__ import annotations

import fcntl
import socket
import tempfile
from pathlib import Path
from typing import IO

FIRST_PORT = 20000
END_PORT = 32000
PORTS_PER_BLOCK = 200

_locks: list[IO[bytes]] = []
_unused_ports: list[int] = []


def find_free_port() -> int:
    """Return a TCP port below the range of outgoing connections.

    No two running processes return the same port, as each locks the blocks from which
    it returns ports.
    """
    while True:
        if not _unused_ports:
            _unused_ports.extend(_lock_block())
        port = _unused_ports.pop(0)
        if _is_free(port):
            return port


def _lock_block() -> range:
    folder = Path(tempfile.gettempdir()) / "gentianworks-ports"
    folder.mkdir(exist_ok=True)
    for first in range(FIRST_PORT, END_PORT, PORTS_PER_BLOCK):
        lock = (folder / f"{first}.lock").open("wb")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            lock.close()
            continue
        _locks.append(lock)
        return range(first, first + PORTS_PER_BLOCK)
    raise OSError("No block of ports is free; stop other runs of tests or benchmarks.")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True
