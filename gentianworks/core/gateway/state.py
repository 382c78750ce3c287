"""State: what a gateway holds of its calls, its replicas and its retry budgets."""

from __future__ import annotations

from attrs import define, field

from gentianworks.core.gateway.calls import Call
from gentianworks.core.gateway.health import HealthBook
from gentianworks.core.gateway.replicas import Replica, ReplicaBook, ReplicaName
from gentianworks.core.gateway.tables import Route, RouteTable
from gentianworks.core.gateway.waiting import WaitingCall
from gentianworks.core.routing.backoff import EndpointBackoff
from gentianworks.core.routing.retry import RetryBudget
from gentianworks.core.types import AttemptId, ExchangeId, RunState, ServiceName

DEFAULT_RETRY_RATIO = 0.2  # of a service's calls; what operators usually allow
DEFAULT_RETRY_SLACK = 60.0  # retries of the whole fleet in a window
UNKNOWN_FLEET = 16  # routers assumed until the control hosts tell their number


@define
class GatewayExchange:
    """Hold one call and the state of its answer.

    Times are in seconds of the process's clock. `has_head` tells that the present
    attempt has begun to answer, `has_started` that the caller has its head;
    `last_event` numbers the last event that the caller has; `run_state` is what is
    known of the ended attempts.
    """

    id: ExchangeId
    call: Call
    route: Route
    service: ServiceName
    workspace: str
    rank: int
    arrived_at: float
    deadline: float
    attempt: AttemptId = ""
    replica: Replica | None = None
    sent_at: float = 0.0
    has_head: bool = False
    attempts: int = 0
    tried: set[ReplicaName] = field(factory=set)
    has_started: bool = False
    last_event: int = -1
    run_state: RunState = RunState.NOT_RUN


@define
class GatewayState:
    """Hold a gateway's part of the state.

    `started_at` is in seconds; `waiting` are calls that came before the first table
    and the first list. `retry_ratio` and `retry_slack` bound the repeats of
    the whole fleet in a window; `routers` is the number of routers that share them.
    """

    table: RouteTable | None = None
    started_at: float = 0.0
    waiting: dict[ExchangeId, WaitingCall] = field(factory=dict)
    exchanges: dict[ExchangeId, GatewayExchange] = field(factory=dict)
    exchange_of_attempt: dict[AttemptId, ExchangeId] = field(factory=dict)
    book: ReplicaBook = field(factory=ReplicaBook)
    avoidance: EndpointBackoff = field(factory=EndpointBackoff)
    health: HealthBook = field(factory=HealthBook)
    budgets: dict[ServiceName, RetryBudget] = field(factory=dict)
    durations: dict[ServiceName, float] = field(factory=dict)
    listing_interval: float = 1.0
    retry_ratio: float = DEFAULT_RETRY_RATIO
    retry_slack: float = DEFAULT_RETRY_SLACK
    routers: int = UNKNOWN_FLEET

    def is_ready(self) -> bool:
        """Tell whether the routes and the replicas are known."""
        return self.table is not None and bool(self.book.replicas)

    def find_by_attempt(self, attempt: AttemptId) -> GatewayExchange | None:
        """Return the exchange whose present attempt is `attempt`, or None."""
        exchange_id = self.exchange_of_attempt.get(attempt)
        return None if exchange_id is None else self.exchanges.get(exchange_id)

    def find_budget(self, service: ServiceName) -> RetryBudget:
        """Return the retry budget of a service."""
        limit = self.retry_slack / max(1, self.routers)
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = RetryBudget(limit, limit, self.retry_ratio)
        budget.limit = limit
        return budget

    def drop_attempt(self, exchange: GatewayExchange) -> None:
        """Take no more of an exchange's present attempt."""
        if exchange.replica is not None and exchange.attempt:
            self.book.get_load(exchange.replica.name).own -= 1
        self.exchange_of_attempt.pop(exchange.attempt, None)
        exchange.attempt = ""

    def forget(self, exchange: GatewayExchange) -> None:
        """Drop an exchange that has ended."""
        self.drop_attempt(exchange)
        self.exchanges.pop(exchange.id, None)
