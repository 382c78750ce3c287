"""Memory: the budget for what a process holds for the clients of its servers."""

from __future__ import annotations

import logging
from collections import Counter
from enum import Enum

from attrs import define, field

MEBIBYTE = 1024 * 1024
IDLE_BYTES = 45 * MEBIBYTE  # of a process without clients
# The rest is for what the allocator does not return, parsed heads and running calls.
BUDGET_FRACTION = 0.6
DEFAULT_BYTES = 64 * MEBIBYTE  # without a memory limit
SMALL_BODY_BYTES = 64 * 1024
SMALL_FRACTION = 0.25  # of the budget, kept for small bodies

logger = logging.getLogger("gentianworks")


class RefusalCause(Enum):
    """Reason for which a client is refused, with the code of its log line."""

    MEMORY = "memory"
    SIZE = "size"
    STALLED = "stalled"
    CONNECTIONS = "connections"
    IDLE = "idle"


LOG_CODES = {
    RefusalCause.MEMORY: "GW5145",
    RefusalCause.SIZE: "GW5146",
    RefusalCause.STALLED: "GW5147",
    RefusalCause.CONNECTIONS: "GW5148",
    RefusalCause.IDLE: "GW5149",
}


@define
class ClientMemory:
    """Budget for request bodies and heads, including incomplete ones, in bytes.

    Bodies over `SMALL_BODY_BYTES` leave a part of it to smaller ones. One body fits
    whatever its size if no other large one is held.
    """

    limit_bytes: int = DEFAULT_BYTES
    used_bytes: int = 0
    large_bytes: int = 0
    refusals: Counter[RefusalCause] = field(factory=Counter)

    def record_refusal(self, cause: RefusalCause, request_id: str, path: str) -> None:
        """Count a refusal and log it."""
        self.refusals[cause] += 1
        details = (("request", request_id), ("path", path))
        logger.log(logging.INFO, LOG_CODES[cause], extra={"details": details})

    def has_room(self, size: int, large_size: int) -> bool:
        """Return whether a part of one body, and of a large one, can be held."""
        if large_size and not self.large_bytes:
            return True
        large_limit = self.limit_bytes * (1 - SMALL_FRACTION)
        if large_size and self.large_bytes + large_size > large_limit:
            return False
        return self.used_bytes + size <= self.limit_bytes


@define(eq=False)
class Reservation:
    """Memory that is reserved for one request."""

    memory: ClientMemory
    size: int = 0
    is_released: bool = False

    def extend(self, size: int) -> bool:
        """Reserve `size` bytes in all, or return False if there is no room."""
        if self.is_released or size <= self.size:
            return True
        added = size - self.size
        large = added if size > SMALL_BODY_BYTES else 0
        if large and self.size <= SMALL_BODY_BYTES:
            large = size  # also what was reserved while the body was small
        if not self.memory.has_room(added, large):
            return False
        self.memory.used_bytes += added
        self.memory.large_bytes += large
        self.size = size
        return True

    def release(self) -> None:
        """Return all of the memory."""
        if self.is_released:
            return
        self.is_released = True
        self.memory.used_bytes -= self.size
        if self.size > SMALL_BODY_BYTES:
            self.memory.large_bytes -= self.size


def compute_budget(memory_limit: int, answer_bytes: int) -> int:
    """Return the budget of a process with a memory limit, 0 if it has none.

    `answer_bytes` are kept for answers that callers have not read.
    """
    if not memory_limit:
        return DEFAULT_BYTES
    free = max(0, memory_limit - IDLE_BYTES - answer_bytes)
    return int(free * BUDGET_FRACTION)
