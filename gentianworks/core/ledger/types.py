"""Ledger types: what routers, agents and control hosts say of claims."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from gentianworks.core.types import AttemptId, EndpointName, Header

KeyId = str


@frozen
class Claim:
    """Identify one attempt of a request that must not be repeated.

    `number` rises over all claims of the ledger; `incarnation` is that of the
    only agent process that may run the attempt.
    """

    key: KeyId
    number: int
    endpoint: EndpointName
    incarnation: int

    @property
    def attempt(self) -> AttemptId:
        """Return the identifier of the attempt."""
        return f"{self.key}-{self.number}"


@frozen
class RecordedAnswer:
    """Hold the answer of a run; the body is dropped where it is not whole."""

    status: int
    headers: tuple[Header, ...]
    body: bytes
    is_whole: bool = True


class ClaimStatus(Enum):
    """Tell what the ledger knows of the latest attempt of a key."""

    CLAIMED = "claimed"
    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ClaimVerdict(Enum):
    """Tell a router what the ledger decided about a key."""

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
    """Tell what an agent knows of an attempt that it was told to void."""

    VOIDED = "voided"
    IN_PROGRESS = "in-progress"
    ENDED = "ended"
    FORGOTTEN = "forgotten"
    OTHER_INCARNATION = "other-incarnation"
