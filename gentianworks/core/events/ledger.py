"""Ledger: messages and timers of claims, voided attempts and recorded runs."""

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
    """Request to a control host to claim a key for an attempt at an endpoint.

    `last_number` is the number of the latest attempt that the exchange knows. Without
    an endpoint, the message only queries the outcome of the key.
    """

    peer_address: str
    exchange: ExchangeId
    key: KeyId
    digest: str
    endpoint: EndpointName
    last_number: int


@frozen
class ReleaseWanted(Message):
    """Report to a control host that attempt `number` did not run and never will.

    Number 0 stands for any attempt that the exchange claimed but did not dispatch. With
    `is_final`, the exchange will not claim the key again.
    """

    peer_address: str
    exchange: ExchangeId
    key: KeyId
    digest: str
    number: int
    is_final: bool


@frozen
class ClaimAnswered(Message):
    """Response to a router's `ClaimWanted`."""

    exchange: ExchangeId
    verdict: ClaimVerdict
    claim: Claim | None
    answer: RecordedAnswer | None


@frozen
class ReleaseAnswered(Message):
    """Response to a router's `ReleaseWanted` for attempt `number`."""

    exchange: ExchangeId
    number: int
    verdict: ClaimVerdict
    claim: Claim | None
    answer: RecordedAnswer | None


@frozen
class VoidWanted(Message):
    """Request to an agent never to run an attempt that it has not received yet.

    `withdraws_queued` also removes the attempt from the agent's queue.
    """

    peer_address: str
    exchange: ExchangeId
    claim: Claim
    withdraws_queued: bool


@frozen
class VoidAnswered(Message):
    """Response to a router's `VoidWanted`, with the agent's verdict on the attempt."""

    exchange: ExchangeId
    claim: Claim
    verdict: VoidVerdict


@frozen
class RunEnded(Message):
    """Request to a control host to record the outcome of an attempt."""

    peer_address: str
    claim: Claim
    status: ClaimStatus
    answer: RecordedAnswer | None


@frozen
class RunAcknowledged(Message):
    """Acknowledgement to an agent that an attempt's outcome is in the ledger."""

    claim: Claim


@frozen
class IncarnationStarted(Message):
    """Request to a control host to register an agent's incarnation as current."""

    peer_address: str
    endpoint: EndpointName
    incarnation: int
    ordinal: int


@frozen
class IncarnationAcknowledged(Message):
    """Response to an agent with the current incarnation of its endpoint."""

    endpoint: EndpointName
    incarnation: int
    ordinal: int


@frozen
class ClaimRetryDue(Event):
    """Occurs when an exchange's unanswered message is due to be sent again."""

    exchange: ExchangeId
    round: int


@frozen
class RunEndedRetryDue(Event):
    """Occurs when an unacknowledged `RunEnded` is due to be sent again."""

    claim: Claim


@frozen
class RegistrationDue(Event):
    """Occurs when an agent without an acknowledged incarnation is due to register."""


@frozen
class ProofOverdue(Event):
    """Occurs when the outcome of an expired exchange could not be proved in time."""

    exchange: ExchangeId


@frozen
class ClaimRequired(Event):
    """Occurs when an exchange needs a claim before its dispatch."""

    exchange: ExchangeId


@frozen
class ClaimedAttemptRefused(Event):
    """Occurs when the agent refused or failed the claimed attempt of an exchange."""

    exchange: ExchangeId
    problem: Problem


@frozen
class ClaimedAttemptLost(Event):
    """Occurs when the connection of an exchange's claimed attempt failed."""

    exchange: ExchangeId
    was_sent: bool


@frozen
class ClaimedCallerDisconnected(Event):
    """Occurs when the caller of an exchange with a claim closed its connection."""

    exchange: ExchangeId


@frozen
class ClaimedDeadlineReached(Event):
    """Occurs when an exchange with a claim has reached its deadline."""

    exchange: ExchangeId
