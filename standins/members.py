"""Members: the running processes of a fleet and the faults to inject into them."""

from __future__ import annotations

import signal
import subprocess

import httpcore
from attrs import define

from standins.proxy import Fault

STOP_TIMEOUT = 15.0  # seconds


@define
class Member:
    """Process of a fleet with its addresses.

    `token` is the token of the fleet's operator. `http_address` and `peer_address` are
    the addresses that other processes use: those of its proxies, if it has any.
    """

    name: str
    http_address: str
    peer_address: str
    process: subprocess.Popen[bytes]
    arguments: list[str]
    fault_address: str = ""
    token: str = ""

    def kill(self) -> None:
        """Kill the process, which simulates a crash."""
        self.process.kill()
        self.process.wait()

    def stop(self) -> int:
        """Terminate the process gracefully and return its exit code."""
        self.process.terminate()
        return self.process.wait(STOP_TIMEOUT)

    def freeze(self) -> None:
        """Suspend the process until it is thawed."""
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a frozen process."""
        self.process.send_signal(signal.SIGCONT)

    def set_fault(self, fault: Fault) -> None:
        """Set the fault that this proxy injects."""
        url = f"http://{self.fault_address}/fault"
        httpcore.request("POST", url, content=fault.value.encode())

    def block_sender(self, name: str) -> None:
        """Block the messages of a process at this proxy; an empty name unblocks."""
        url = f"http://{self.fault_address}/silence"
        httpcore.request("POST", url, content=name.encode())

    def count_held(self, part: bytes) -> int:
        """Return the number of connections in which these bytes are held back."""
        url = f"http://{self.fault_address}/held"
        return int(httpcore.request("POST", url, content=part).content)
