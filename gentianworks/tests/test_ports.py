"""Tests of the ports that test fleets on the same host reserve."""

from __future__ import annotations

import subprocess
import sys

from standins.ports import PORTS_PER_BLOCK, find_free_port

PORT_COUNT = 20
PROGRAM = f"""
from standins.ports import find_free_port
print(*[find_free_port() for _ in range({PORT_COUNT})], flush=True)
input()
"""


def start_process() -> subprocess.Popen[str]:
    """Start a process that reserves ports until its input receives a line."""
    return subprocess.Popen(
        [sys.executable, "-c", PROGRAM],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


class TestPorts:
    def test_concurrent_processes_share_none(self) -> None:
        processes = [start_process() for _ in range(4)]
        ports = [find_free_port() for _ in range(PORTS_PER_BLOCK + 1)]
        for process in processes:
            assert process.stdout is not None
            ports += [int(port) for port in process.stdout.readline().split()]
        for process in processes:
            process.communicate("\n")
        assert len(ports) == PORTS_PER_BLOCK + 1 + 4 * PORT_COUNT
        assert len(set(ports)) == len(ports)
