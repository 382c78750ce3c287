"""Ledger types: claims, statuses and verdicts that the processes exchange."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from gentianworks.core.types import AttemptId, EndpointName, Header

KeyId = str


@frozen
class Claim:
    """Right to run one attempt of a request that must not be repeated."""

    key: KeyId
    number: int  # increases over all claims of the ledger
    endpoint: EndpointName
    incarnation: int  # of the only agent process that may run the attempt

    @property
    def attempt(self) -> AttemptId:
        """Return the identifier of the attempt."""
        return f"{self.key}-{self.number}"


@frozen
class RecordedAnswer:
    """Answer of a run; `body` is empty unless `is_whole`."""

    status: int
    headers: tuple[Header, ...]
    body: bytes
    is_whole: bool = True


class ClaimStatus(Enum):
    """Status of the latest attempt of a key in the ledger."""

    CLAIMED = "claimed"
    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ClaimVerdict(Enum):
    """Decision of the ledger on a key."""

    GRANTED = "granted"
    IN_PROGRESS = "in-progress"
    RAN = "ran"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"
    CONTENDED = "contended"
    KEY_REUSED = "key-reused"
    KEY_EXPIRED = "key-expired"
    NOT_REGISTERED = "not-registered"


class VoidVerdict(Enum):
    """Result of a request that an agent void an attempt."""

    VOIDED = "voided"
    IN_PROGRESS = "in-progress"
    ENDED = "ended"
    FORGOTTEN = "forgotten"
    OTHER_INCARNATION = "other-incarnation"
