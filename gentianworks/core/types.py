"""Types shared by all subjects: names, configuration, requests, loads and problems."""

from __future__ import annotations

from enum import Enum
from functools import cached_property

from attrs import field, frozen

from gentianworks.core.gateway.documents import RouteDocument

NodeId = str
EndpointName = str
ServiceName = str
WorkspaceName = str
RankName = str
ExchangeId = str
AttemptId = str


class Role(Enum):
    """Role of a process in the fleet."""

    ROUTER = "router"
    AGENT = "agent"
    CONTROL = "control"


class ServiceKind(Enum):
    """Kind of a service: a model engine or any other HTTP service."""

    MODEL = "model"
    PLAIN = "plain"


@frozen
class Header:
    """HTTP header; the name is in lower case."""

    name: str
    value: str


def find_content_type(headers: tuple[Header, ...]) -> str:
    """Return the media type of a body without its parameters, or an empty string."""
    values = [item.value for item in headers if item.name == "content-type"]
    return values[0].partition(";")[0].strip().lower() if values else ""


@frozen
class Node:
    """Process of the system and the addresses at which others reach it."""

    name: NodeId
    role: Role
    region: str
    availability_zone: str
    peer_address: str
    http_address: str


@frozen
class Rank:
    """Priority rank; rank 0 is the most urgent.

    `queue_timeout` is in seconds, and `guaranteed_share` is a fraction of the capacity.
    """

    name: RankName
    priority: int
    guaranteed_share: float
    queue_timeout: float
    worth: float = 1.0


@frozen
class Workspace:
    """Customer's workspace; `weight` scales its fair share."""

    name: WorkspaceName
    weight: float = 1.0


@frozen
class Service:
    """Service and the load bound of its endpoints.

    `load_multiple` bounds an endpoint's load as a multiple of the fleet's mean;
    `load_floor` is the number of requests that an endpoint may always have;
    `max_output_tokens` is the output assumed for a request that sets no limit.
    """

    name: ServiceName
    kind: ServiceKind
    load_multiple: float = 1.5
    load_floor: int = 4
    default_rank: RankName = ""
    max_output_tokens: int = 256


@frozen
class Endpoint:
    """Endpoint: one model engine or plain service and its agent.

    `capacity` is the number of requests that the endpoint runs concurrently.
    """

    name: EndpointName
    service: ServiceName
    availability_zone: str
    http_address: str
    peer_address: str
    capacity: int = 8


@frozen
class Configuration:
    """Accepted configuration; a higher revision replaces a lower one."""

    revision: int = 0
    ranks: tuple[Rank, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    services: tuple[Service, ...] = ()
    endpoints: tuple[Endpoint, ...] = ()
    routes: RouteDocument = field(factory=RouteDocument)

    def find_service(self, name: ServiceName) -> Service | None:
        """Return the service called `name`, or None."""
        return next((item for item in self.services if item.name == name), None)

    def find_workspace(self, name: WorkspaceName) -> Workspace | None:
        """Return the workspace called `name`, or None."""
        return self._workspace_of_name.get(name)

    def find_rank(self, name: RankName) -> Rank | None:
        """Return the rank called `name`, or None."""
        return next((item for item in self.ranks if item.name == name), None)

    def find_endpoint(self, name: EndpointName) -> Endpoint | None:
        """Return the endpoint called `name`, or None."""
        return self._endpoint_of_name.get(name)

    def find_endpoint_at(
        self, name: EndpointName, peer_address: str
    ) -> Endpoint | None:
        """Return the endpoint called `name` if its peer address matches, or None."""
        endpoint = self.find_endpoint(name)
        if endpoint is None or endpoint.peer_address != peer_address:
            return None
        return endpoint

    def list_endpoints(self, service: ServiceName) -> tuple[Endpoint, ...]:
        """Return the endpoints that serve `service`, sorted by name."""
        return self._endpoints_of_service.get(service, ())

    @cached_property
    def _workspace_of_name(self) -> dict[WorkspaceName, Workspace]:
        return {item.name: item for item in self.workspaces}

    @cached_property
    def _endpoint_of_name(self) -> dict[EndpointName, Endpoint]:
        return {item.name: item for item in self.endpoints}

    @cached_property
    def _endpoints_of_service(self) -> dict[ServiceName, tuple[Endpoint, ...]]:
        endpoints: dict[ServiceName, list[Endpoint]] = {}
        for item in self.endpoints:
            endpoints.setdefault(item.service, []).append(item)
        return {service: tuple(items) for service, items in endpoints.items()}


@frozen
class Request:
    """Caller's request, independent of the protocol that carried it.

    `timeout` is in seconds from arrival; `cost` is in estimated tokens. `prompt` is the
    digest of all messages, `prompt_prefix` that of the messages with which every turn
    of a chat begins, and `shared_prompt` that of the messages before its first turn.
    `hint` is the endpoint that served the chat last, according to the caller.
    """

    service: ServiceName
    workspace: WorkspaceName
    rank: RankName
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    chat: str = ""
    idempotency_key: str = ""
    is_repeatable: bool = True
    timeout: float = 60.0
    cost: int = 1
    prompt: str = ""
    prompt_prefix: str = ""
    shared_prompt: str = ""
    hint: EndpointName = ""


class RunState(Enum):
    """Whether a refused request was run, as far as is known."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ProblemKind(Enum):
    """Kinds of problems that are reported to callers and operators."""

    BAD_REQUEST = "bad-request"
    NO_SUCH_SERVICE = "no-such-service"
    NO_SUCH_WORKSPACE = "no-such-workspace"
    NO_SUCH_RANK = "no-such-rank"
    NO_SUCH_ROUTE = "no-such-route"
    BODY_TOO_LARGE = "body-too-large"
    NOT_READY = "not-ready"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    NO_ENDPOINT = "no-endpoint"
    DEADLINE_PASSED = "deadline-passed"
    ENDPOINT_FAILED = "endpoint-failed"
    STREAM_CUT = "stream-cut"
    QUARANTINED = "quarantined"
    KEY_REUSED = "key-reused"
    KEY_IN_PROGRESS = "key-in-progress"
    KEY_EXPIRED = "key-expired"
    OUTCOME_UNKNOWN = "outcome-unknown"
    ANSWER_NOT_KEPT = "answer-not-kept"
    STALE_ATTEMPT = "stale-attempt"
    UNAUTHENTICATED = "unauthenticated"
    REVISION_CONFLICT = "revision-conflict"
    CHANGE_REUSED = "change-reused"
    ORDER_REUSED = "order-reused"
    TOO_MANY_ORDERS = "too-many-orders"
    INVALID_CONFIGURATION = "invalid-configuration"
    UNSENDABLE = "unsendable"


@frozen
class Problem:
    """Failure of a request; `retry_after` is in seconds, 0 if a retry won't help."""

    kind: ProblemKind
    detail: str
    run_state: RunState = RunState.NOT_RUN
    retry_after: float = 0.0


@frozen
class Load:
    """Load of one endpoint, or the sum over several endpoints.

    `cost` is in outstanding estimated tokens.
    """

    requests: int = 0
    cost: int = 0
    queued: int = 0
    endpoints: int = 0


@frozen
class ServiceLoad:
    """Load sum over the live endpoints of one service."""

    service: ServiceName
    load: Load = field(factory=Load)


@frozen
class RankLoad:
    """Numbers of requests of one rank that an endpoint runs and queues."""

    rank: RankName
    requests: int = 0
    queued: int = 0


@frozen
class ClosedQueue:
    """Work that an endpoint refuses at present; no workspace stands for all of them."""

    rank: RankName
    workspace: WorkspaceName = ""


@frozen
class RankWait:
    """Estimated queueing time in seconds of one more request of a rank.

    `workspace` is one with queued work; an empty name stands for all others.
    """

    rank: RankName
    seconds: float
    workspace: WorkspaceName = ""


@frozen
class AdmissionLevel:
    """Work that an endpoint refuses at present, and the queueing times of other work.

    `retry_after` is in seconds.
    """

    closed: tuple[ClosedQueue, ...] = ()
    retry_after: float = 0.0
    waits: tuple[RankWait, ...] = ()
