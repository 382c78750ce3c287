"""Ledger records: the latest claim of a key, and who may still want the key."""

from __future__ import annotations

from attrs import define

from gentianworks.core.ledger.types import Claim, ClaimStatus, RecordedAnswer

MAX_CONTENDERS = 16


@define
class Record:
    """Hold the latest claim of a key and what became of it.

    `holder` is the exchange that made the claim, and `has_ended` tells that it will
    not claim again. `contenders` are other exchanges that may still want the key;
    they pass on to its next claim, whatever they were told of this one.
    """

    digest: str
    holder: str
    claim: Claim
    status: ClaimStatus
    changed_at: float
    has_ended: bool = False
    contenders: tuple[str, ...] = ()
    answer: RecordedAnswer | None = None

    def is_known(self, exchange: str) -> bool:
        """Tell whether an exchange already counts among those that want the key."""
        is_listed = exchange == self.holder or exchange in self.contenders
        return is_listed or len(self.contenders) >= MAX_CONTENDERS

    def add_contender(self, exchange: str) -> None:
        """Note that another exchange wants the key; a full list never empties."""
        if not self.is_known(exchange):
            self.contenders += (exchange,)

    def end(self, exchange: str) -> None:
        """Note that an exchange will not claim the key again."""
        self.has_ended = self.has_ended or exchange == self.holder
        if len(self.contenders) < MAX_CONTENDERS:
            others = (item for item in self.contenders if item != exchange)
            self.contenders = tuple(others)

    def list_others(self, exchange: str) -> tuple[str, ...]:
        """Return the exchanges besides one that may want the key after this claim."""
        if len(self.contenders) >= MAX_CONTENDERS:
            return self.contenders
        holders = () if self.has_ended else (self.holder,)
        wanting = (*holders, *self.contenders)
        return tuple(item for item in wanting if item != exchange)
