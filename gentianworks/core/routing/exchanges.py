"""Exchanges: the state of each request that a router is serving."""

from __future__ import annotations

from attrs import define, field

from gentianworks.core.events.dispatch import AnswerHead
from gentianworks.core.ledger.claim_stages import ClaimProgress
from gentianworks.core.routing.backoff import EndpointBackoff
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
    """A caller's request and the state of its answer.

    Times are in seconds of the process's clock. The head is relayed to the caller only
    with the first piece of the answer.
    """

    id: ExchangeId
    request: Request
    deadline: float
    attempt: AttemptId = ""
    endpoint: EndpointName = ""
    last_activity_at: float = 0.0  # last message of the present attempt
    attempts: int = 0
    failures: int = 0
    resumes: int = 0
    resume_waits: int = 0
    tried_endpoints: set[EndpointName] = field(factory=set)
    head: AnswerHead | None = None
    has_started: bool = False  # the caller has the head
    progress: StreamProgress = field(factory=StreamProgress)
    run_state: RunState = RunState.NOT_RUN  # of the ended attempts
    last_refusal: Problem | None = None
    claim: ClaimProgress | None = None


@define
class RouterState:
    """State of a router: exchanges in flight, endpoint backoff and retry budgets."""

    exchanges: dict[ExchangeId, Exchange] = field(factory=dict)
    exchange_of_attempt: dict[AttemptId, ExchangeId] = field(factory=dict)
    backoff: EndpointBackoff = field(factory=EndpointBackoff)
    budgets: dict[ServiceName, RetryBudget] = field(factory=dict)

    def find_by_attempt(self, attempt: AttemptId) -> Exchange | None:
        """Return the exchange whose present attempt is `attempt`, or None."""
        exchange_id = self.exchange_of_attempt.get(attempt)
        return None if exchange_id is None else self.exchanges.get(exchange_id)

    def get_budget(self, service: ServiceName) -> RetryBudget:
        """Return the retry budget of a service."""
        return self.budgets.setdefault(service, RetryBudget())

    def drop_attempt(self, exchange: Exchange) -> None:
        """Ignore any further answer to the exchange's present attempt."""
        self.exchange_of_attempt.pop(exchange.attempt, None)
        exchange.attempt = ""

    def remove_exchange(self, exchange: Exchange) -> None:
        """Remove an exchange that has ended."""
        self.exchanges.pop(exchange.id, None)
        self.exchange_of_attempt.pop(exchange.attempt, None)
