"""Agent claims: what an agent holds of attempts that must not be repeated."""

from __future__ import annotations

from attrs import define, field

from gentianworks.core.ledger.tombstones import OnceGuard
from gentianworks.core.ledger.types import Claim, ClaimStatus
from gentianworks.core.types import AttemptId, Header

MAX_HELD_BYTES = 1024 * 1024
MAX_RECORDED_BYTES = 16 * 1024


@define
class HeldAnswer:
    """Hold a claimed attempt's answer until the ledger has recorded it.

    `ended_as` is None while the attempt runs; `sends` counts the messages to the
    ledger.
    """

    claim: Claim
    status: int = 0
    headers: tuple[Header, ...] = ()
    body: bytearray = field(factory=bytearray)
    is_whole: bool = True
    ended_as: ClaimStatus | None = None
    sends: int = 0

    def add_piece(self, data: bytes) -> None:
        """Hold one more piece, or none of the body once it is too large."""
        if len(self.body) + len(data) > MAX_HELD_BYTES:
            self.is_whole = False
        if self.is_whole:
            self.body += data
        else:
            self.body = bytearray()


@define
class AgentClaims:
    """Hold an agent's once-only guard, its held answers and its registration."""

    guard: OnceGuard = field(factory=OnceGuard)
    held: dict[AttemptId, HeldAnswer] = field(factory=dict)
    is_registered: bool = False
    ordinal: int = 1
    registration_sends: int = 0
