"""Exchanges: what a router holds of each caller it is serving."""

from __future__ import annotations

from attrs import define, field

from gentianworks.core.events.dispatch import AnswerHead
from gentianworks.core.ledger.claim_stages import ClaimProgress
from gentianworks.core.routing.avoidance import Avoidance
from gentianworks.core.routing.retry import RetryBudget
from gentianworks.core.routing.streams import StreamProgress
from gentianworks.core.types import (
    AttemptId,
    EndpointName,
    ExchangeId,
    Problem,
    Request,
    RunState,
    ServiceName,
)


@define
class Exchange:
    """Hold one caller's request and the state of its answer.

    `deadline` and `heard_at`, when the present attempt's endpoint was last heard,
    are in seconds of the process's clock; `head` is held back until the first piece
    of its answer has come; `run_state` is what is known of the ended attempts.
    """

    id: ExchangeId
    request: Request
    deadline: float
    attempt: AttemptId = ""
    endpoint: EndpointName = ""
    heard_at: float = 0.0
    attempts: int = 0
    failures: int = 0
    resumes: int = 0
    waits: int = 0
    tried: set[EndpointName] = field(factory=set)
    head: AnswerHead | None = None
    has_started: bool = False
    progress: StreamProgress = field(factory=StreamProgress)
    run_state: RunState = RunState.NOT_RUN
    last_refusal: Problem | None = None
    claim: ClaimProgress | None = None


@define
class RouterState:
    """Hold the exchanges in flight at a router and what it learned of endpoints."""

    exchanges: dict[ExchangeId, Exchange] = field(factory=dict)
    exchange_of_attempt: dict[AttemptId, ExchangeId] = field(factory=dict)
    avoidance: Avoidance = field(factory=Avoidance)
    budgets: dict[ServiceName, RetryBudget] = field(factory=dict)

    def find_by_attempt(self, attempt: AttemptId) -> Exchange | None:
        """Return the exchange whose present attempt is `attempt`, or None."""
        exchange_id = self.exchange_of_attempt.get(attempt)
        return None if exchange_id is None else self.exchanges.get(exchange_id)

    def find_budget(self, service: ServiceName) -> RetryBudget:
        """Return the retry budget of a service."""
        return self.budgets.setdefault(service, RetryBudget())

    def drop_attempt(self, exchange: Exchange) -> None:
        """Take no more answers of an exchange's present attempt."""
        self.exchange_of_attempt.pop(exchange.attempt, None)
        exchange.attempt = ""

    def forget(self, exchange: Exchange) -> None:
        """Drop an exchange that has ended."""
        self.exchanges.pop(exchange.id, None)
        self.exchange_of_attempt.pop(exchange.attempt, None)
