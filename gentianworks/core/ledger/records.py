"""Ledger records: the latest claim of a key and the exchanges that want the key."""

from __future__ import annotations

from attrs import define

from gentianworks.core.ledger.types import Claim, ClaimStatus, RecordedAnswer

MAX_CONTENDERS = 16


@define
class KeyRecord:
    """Latest claim of a key and its outcome.

    `contenders` are the other exchanges that may still want the key. They carry over to
    its next claim, whichever verdict they received on this one.
    """

    digest: str
    holder: str  # exchange that made the claim
    claim: Claim
    status: ClaimStatus
    changed_at: float
    has_ended: bool = False  # the holder will not claim the key again
    contenders: tuple[str, ...] = ()
    answer: RecordedAnswer | None = None

    def is_listed(self, exchange: str) -> bool:
        """Return whether an exchange already counts among those that want the key.

        Once the list is full, it stands for every exchange.
        """
        is_listed = exchange == self.holder or exchange in self.contenders
        return is_listed or len(self.contenders) >= MAX_CONTENDERS

    def add_contender(self, exchange: str) -> None:
        """Add an exchange to those that want the key; a full list never shrinks."""
        if not self.is_listed(exchange):
            self.contenders += (exchange,)

    def mark_done(self, exchange: str) -> None:
        """Record that an exchange will not claim the key again."""
        self.has_ended = self.has_ended or exchange == self.holder
        if len(self.contenders) < MAX_CONTENDERS:
            others = (item for item in self.contenders if item != exchange)
            self.contenders = tuple(others)

    def list_other_exchanges(self, exchange: str) -> tuple[str, ...]:
        """Return the exchanges, except one, that may want the key after this claim."""
        if len(self.contenders) >= MAX_CONTENDERS:
            return self.contenders
        holders = () if self.has_ended else (self.holder,)
        wanting = (*holders, *self.contenders)
        return tuple(item for item in wanting if item != exchange)
