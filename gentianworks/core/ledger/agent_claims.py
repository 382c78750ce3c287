"""Agent claims: an agent's state for attempts that must not be repeated."""

from __future__ import annotations

from attrs import define, field

from gentianworks.core.ledger.tombstones import AtMostOnceGuard
from gentianworks.core.ledger.types import Claim, ClaimStatus
from gentianworks.core.types import AttemptId, Header

MAX_BUFFERED_BYTES = 1024 * 1024
MAX_RECORDED_ANSWER_BYTES = 16 * 1024


@define
class BufferedAnswer:
    """Answer of a claimed attempt, buffered until the ledger has recorded it."""

    claim: Claim
    status: int = 0
    headers: tuple[Header, ...] = ()
    body: bytearray = field(factory=bytearray)
    is_complete: bool = True
    final_status: ClaimStatus | None = None  # None while the attempt runs
    send_count: int = 0  # messages sent to the ledger

    def add_piece(self, data: bytes) -> None:
        """Append a piece to the body, or discard the body once it is too large."""
        if len(self.body) + len(data) > MAX_BUFFERED_BYTES:
            self.is_complete = False
        if self.is_complete:
            self.body += data
        else:
            self.body = bytearray()


@define
class AgentClaims:
    """At-most-once guard, buffered answers and registration of an agent."""

    guard: AtMostOnceGuard = field(factory=AtMostOnceGuard)
    buffered_answers: dict[AttemptId, BufferedAnswer] = field(factory=dict)
    is_registered: bool = False
    ordinal: int = 1
    registration_send_count: int = 0
