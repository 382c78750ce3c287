"""State: calls, replicas and retry budgets of a gateway."""

from __future__ import annotations

from attrs import define, field

from gentianworks.core.busy_replicas.loads import KnownBusy
from gentianworks.core.events.gateway import ReplicaAnswerHead
from gentianworks.core.gateway.calls import Call
from gentianworks.core.gateway.crash_tracker import CrashTracker
from gentianworks.core.gateway.replicas import Replica, ReplicaName, ReplicaRegistry
from gentianworks.core.gateway.route_table import RetryPolicy, Route, RouteTable
from gentianworks.core.gateway.startup_queue import QueuedCall
from gentianworks.core.outliers.known import KnownOutliers
from gentianworks.core.placement.health import HealthTable
from gentianworks.core.placement.speeds import SpeedTable
from gentianworks.core.replica_list.fetches import ListFetches
from gentianworks.core.request_limits.rank_demand import RankDemand
from gentianworks.core.request_limits.replica_limits import ReplicaLimits
from gentianworks.core.routing.backoff import EndpointBackoff
from gentianworks.core.routing.retry import RetryBudget
from gentianworks.core.types import AttemptId, ExchangeId, RunState, ServiceName

DEFAULT_RETRY_RATIO = 0.2  # of a service's calls; the usual setting of operators
DEFAULT_RETRY_SLACK = 60.0  # retries of the whole fleet in a window
MIN_ERROR_STATUS = 400
DEFAULT_ROUTER_COUNT = 16  # assumed until the control hosts report the number


@define
class GatewayExchange:
    """One call and the state of its answer; times are in seconds of the local clock."""

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
    # Of the current attempt, when it was sent, if its service reports slowness.
    expected_queue_time: float = 0.0
    speed_deviation: float = 0.0
    has_received_head: bool = False  # the current attempt has begun to answer
    has_received_piece: bool = False  # of the current attempt's answer
    was_lost: bool = False  # an attempt's connection ended before the answer began
    attempt_count: int = 0
    tried_replicas: set[ReplicaName] = field(factory=set)
    # Head of the answer that the caller has begun to receive.
    relayed_head: ReplicaAnswerHead | None = None
    # The current attempt goes on with an answer that another one began, and has sent
    # no numbered event yet.
    awaits_next_event: bool = False
    last_event: int = -1  # number of the last event that the caller has
    run_state: RunState = RunState.NOT_RUN  # combined over the ended attempts

    @property
    def has_sent_head(self) -> bool:
        """Return whether the caller has the head of its answer."""
        return self.relayed_head is not None

    def can_resume(self) -> bool:
        """Return whether another replica can go on with the answer that has begun."""
        head = self.relayed_head
        return (
            head is not None
            and head.status < MIN_ERROR_STATUS
            and head.is_event_stream
            and self.route.retry_policy is RetryPolicy.RESUMABLE
        )


@define
class GatewayState:
    """Part of a router's state that serves calls; times are in seconds."""

    table: RouteTable | None = None
    started_at: float = 0.0
    startup_queue: dict[ExchangeId, QueuedCall] = field(factory=dict)
    exchanges: dict[ExchangeId, GatewayExchange] = field(factory=dict)
    exchange_of_attempt: dict[AttemptId, ExchangeId] = field(factory=dict)
    registry: ReplicaRegistry = field(factory=ReplicaRegistry)
    backoff: EndpointBackoff = field(factory=EndpointBackoff)
    health: HealthTable = field(factory=HealthTable)
    speeds: SpeedTable = field(factory=SpeedTable)
    retry_budgets: dict[ServiceName, RetryBudget] = field(factory=dict)
    mean_durations: dict[ServiceName, float] = field(factory=dict)
    list_fetches: ListFetches = field(factory=ListFetches)
    # The ratio and the slack limit the retries of the whole fleet in a window; the
    # routers share the slack equally.
    retry_ratio: float = DEFAULT_RETRY_RATIO
    retry_slack: float = DEFAULT_RETRY_SLACK
    router_count: int = DEFAULT_ROUTER_COUNT
    crashes: CrashTracker = field(factory=CrashTracker)
    limits: ReplicaLimits = field(factory=ReplicaLimits)
    outliers: KnownOutliers = field(factory=KnownOutliers)
    busy: KnownBusy = field(factory=KnownBusy)
    # Whether the replica that a prompt belongs to also fetches what it lacks of it.
    fetches_prefixes: bool = False
    # By service, while some of its replicas limit their requests.
    rank_demands: dict[ServiceName, RankDemand] = field(factory=dict)

    def is_ready(self) -> bool:
        """Return whether the routes and the replicas are known."""
        return self.table is not None and bool(self.registry.replicas)

    def find_by_attempt(self, attempt: AttemptId) -> GatewayExchange | None:
        """Return the exchange whose current attempt is `attempt`, or None."""
        exchange_id = self.exchange_of_attempt.get(attempt)
        return None if exchange_id is None else self.exchanges.get(exchange_id)

    def get_retry_budget(self, service: ServiceName) -> RetryBudget:
        """Return the retry budget of a service, created on first use."""
        limit = self.retry_slack / max(1, self.router_count)
        budget = self.retry_budgets.get(service)
        if budget is None:
            budget = self.retry_budgets[service] = RetryBudget(
                limit, limit, self.retry_ratio
            )
        budget.limit = limit
        return budget

    def detach_attempt(self, exchange: GatewayExchange) -> None:
        """Ignore further events of an exchange's current attempt."""
        if exchange.replica is not None and exchange.attempt:
            self.registry.get_load(exchange.replica.name).own_calls -= 1
        self.exchange_of_attempt.pop(exchange.attempt, None)
        exchange.attempt = ""

    def remove_exchange(self, exchange: GatewayExchange) -> None:
        """Remove an exchange that has ended."""
        self.detach_attempt(exchange)
        self.exchanges.pop(exchange.id, None)
