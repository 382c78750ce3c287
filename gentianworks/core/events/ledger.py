"""Ledger: messages and timers of claims, voids and recorded runs."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.events.base import Event, Message
from gentianworks.core.ledger.types import (
    Claim,
    ClaimStatus,
    ClaimVerdict,
    KeyId,
    RecordedAnswer,
    VoidVerdict,
)
from gentianworks.core.types import EndpointName, ExchangeId, Problem


@frozen
class ClaimWanted(Message):
    """Ask a control host to claim a key for an attempt at an endpoint.

    `last_number` is the latest attempt that the exchange knows of. Without an
    endpoint the message only asks what became of the key.
    """

    peer_address: str
    exchange: ExchangeId
    key: KeyId
    digest: str
    endpoint: EndpointName
    last_number: int


@frozen
class ReleaseWanted(Message):
    """Tell a control host that attempt `number` did not run and never will.

    Number 0 stands for whichever attempt the exchange claimed without dispatching;
    `is_final` tells that the exchange will not claim the key again.
    """

    peer_address: str
    exchange: ExchangeId
    key: KeyId
    digest: str
    number: int
    is_final: bool


@frozen
class ClaimAnswered(Message):
    """Answer a router's ClaimWanted."""

    exchange: ExchangeId
    verdict: ClaimVerdict
    claim: Claim | None
    answer: RecordedAnswer | None


@frozen
class ReleaseAnswered(Message):
    """Answer a router's ReleaseWanted of attempt `number`."""

    exchange: ExchangeId
    number: int
    verdict: ClaimVerdict
    claim: Claim | None
    answer: RecordedAnswer | None


@frozen
class VoidWanted(Message):
    """Order an agent never to run an attempt that it has not seen.

    `withdraws_queued` also takes back an attempt that waits in the queue.
    """

    peer_address: str
    exchange: ExchangeId
    claim: Claim
    withdraws_queued: bool


@frozen
class VoidAnswered(Message):
    """Tell a router what an agent knows of an attempt."""

    exchange: ExchangeId
    claim: Claim
    verdict: VoidVerdict


@frozen
class RunEnded(Message):
    """Ask a control host to record how an attempt ended."""

    peer_address: str
    claim: Claim
    status: ClaimStatus
    answer: RecordedAnswer | None


@frozen
class RunAcknowledged(Message):
    """Tell an agent that the end of an attempt is in the ledger."""

    claim: Claim


@frozen
class IncarnationStarted(Message):
    """Ask a control host to put an agent's incarnation in force."""

    peer_address: str
    endpoint: EndpointName
    incarnation: int
    ordinal: int


@frozen
class IncarnationAcknowledged(Message):
    """Tell an agent which incarnation of its endpoint is in force."""

    endpoint: EndpointName
    incarnation: int
    ordinal: int


@frozen
class ClaimRetryDue(Event):
    """Report that an exchange's unanswered message is to be sent again."""

    exchange: ExchangeId
    round: int


@frozen
class RunRetryDue(Event):
    """Report that an unacknowledged end of an attempt is to be sent again."""

    claim: Claim


@frozen
class RegistrationDue(Event):
    """Report that an agent is to register while it is not acknowledged."""


@frozen
class ProofDue(Event):
    """Report that an exchange past its deadline has waited for a proof in vain."""

    exchange: ExchangeId


@frozen
class ClaimDue(Event):
    """Report that an exchange needs a claim before it is dispatched."""

    exchange: ExchangeId


@frozen
class ClaimedAttemptRefused(Event):
    """Report that the agent refused or failed an exchange's claimed attempt."""

    exchange: ExchangeId
    problem: Problem


@frozen
class ClaimedAttemptLost(Event):
    """Report that the connection of an exchange's claimed attempt failed."""

    exchange: ExchangeId
    was_sent: bool


@frozen
class ClaimedCallerLeft(Event):
    """Report that the caller of an exchange with a claim has left."""

    exchange: ExchangeId


@frozen
class ClaimedDeadlineReached(Event):
    """Report that an exchange with a claim has used up its time."""

    exchange: ExchangeId
