"""Claim stages: how far a router is with a request that must not be repeated."""

from __future__ import annotations

from attrs import define, frozen

from gentianworks.core.ledger.types import Claim, KeyId
from gentianworks.core.types import EndpointName, Problem


@frozen
class Stage:
    """Stand for one stage of the way to an answer."""


@frozen
class Claiming(Stage):
    """Wait for the claim of an attempt at an endpoint."""

    endpoint: EndpointName


@frozen
class Watching(Stage):
    """Wait for the outcome of another exchange's claim; `since` is in seconds."""

    claim: Claim
    since: float


@frozen
class Dispatched(Stage):
    """Wait for the answer of the dispatched attempt."""

    claim: Claim


@frozen
class Resolving(Stage):
    """Find out what became of a dispatched attempt that gave no answer.

    `is_final` tells that the deadline has passed.
    """

    claim: Claim
    is_final: bool


@frozen
class Releasing(Stage):
    """Have the ledger confirm that attempt `number` did not run.

    The caller is told `problem` if the release is final; otherwise the exchange
    goes on to another endpoint.
    """

    number: int
    problem: Problem
    is_final: bool


@define
class ClaimProgress:
    """Hold the stage of an exchange whose request must not be repeated.

    `round` counts the stages entered; `sends` the messages sent, so that each
    retry asks the next control host.
    """

    key: KeyId
    digest: str
    has_own_key: bool
    stage: Stage
    round: int = 0
    sends: int = 0
    last_number: int = 0
    problem: Problem | None = None
