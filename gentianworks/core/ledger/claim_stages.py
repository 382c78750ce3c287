"""Claim stages: a router's progress on a request that must not be repeated."""

from __future__ import annotations

from attrs import define, field, frozen

from gentianworks.core.ledger.types import Claim, KeyId
from gentianworks.core.types import EndpointName, Problem


@frozen
class ClaimStage:
    """Base class of the stages between arrival and answer."""


@frozen
class Claiming(ClaimStage):
    """Stage that waits for the claim of an attempt at an endpoint."""

    endpoint: EndpointName


@frozen
class Watching(ClaimStage):
    """Stage that waits for the outcome of another exchange's claim."""

    claim: Claim
    started_at: float  # seconds


@frozen
class Dispatched(ClaimStage):
    """Stage that waits for the answer of the dispatched attempt."""

    claim: Claim


@frozen
class Resolving(ClaimStage):
    """Stage that determines the outcome of a dispatched attempt without an answer."""

    claim: Claim
    is_final: bool  # the deadline has passed


@frozen
class Releasing(ClaimStage):
    """Stage in which the ledger confirms that attempt `number` did not run.

    After a final release the caller receives `problem`; otherwise the exchange
    continues at another endpoint.
    """

    number: int
    problem: Problem
    is_final: bool


@define
class ClaimProgress:
    """Progress of an exchange whose request must not be repeated."""

    key: KeyId
    digest: str
    has_generated_key: bool  # the caller sent no idempotency key
    stage: ClaimStage
    round: int = 0  # stages entered; identifies the retry timer in force
    send_count: int = 0  # messages sent; each retry goes to the next control host
    last_number: int = 0  # number of the latest attempt granted to the exchange
    last_problem: Problem | None = None
    # Endpoints whose agents the ledger did not know yet, and when it first said so.
    unregistered: set[EndpointName] = field(factory=set)
    unregistered_since: float = float("inf")  # seconds
