"""Route table: the routes that operators declare and the workspaces that use them."""

from __future__ import annotations

import hashlib
from enum import Enum
from functools import cached_property

from attrs import frozen

from gentianworks.core.types import ServiceName, WorkspaceName

RouteName = str
KEY_DIGEST_BYTES = 16


class RetryPolicy(Enum):
    """Condition under which a call that may have run is sent again."""

    AT_MOST_ONCE = "once"
    RESUMABLE = "resumable"
    REPEATABLE = "any"


@frozen
class TrafficShare:
    """Service that receives a share of a route's calls in proportion to its weight."""

    service: ServiceName
    weight: int = 1


@frozen
class Route:
    """Rule for the calls to a host whose path starts with a prefix.

    Times are in seconds.
    """

    name: RouteName
    host: str
    path_prefix: str
    shares: tuple[TrafficShare, ...]
    retry_policy: RetryPolicy
    is_stream: bool
    timeout: float
    latency_objective: float
    rank: int = 0  # 0 is the most urgent
    max_attempts: int = 1  # replicas that a call may be sent to
    allows_anonymous: bool = False
    gap_objective: float = 0.0


@frozen
class EngineCapacity:
    """Capacity of each model engine of a service."""

    slots: int  # concurrent requests
    memory_tokens: int


@frozen
class GatewayService:
    """Service whose replicas are discovered from the list."""

    name: ServiceName
    health_path: str
    max_connections: int
    engine: EngineCapacity | None = None
    # Requests a second that a replica tolerates from all routers while it is cold, and
    # the time in seconds for which it is cold after its start; 0 if it is not limited.
    cold_rate: float = 0.0
    cold_time: float = 0.0


@frozen
class WorkspaceKeys:
    """Workspace with the digests of its API keys."""

    name: WorkspaceName
    key_digests: tuple[str, ...]
    rank: int | None = None  # overrides the rank of the route


@frozen
class RequestLimits:
    """Limits on the requests of callers; times are in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@frozen
class RouteTable:
    """Routes, services and workspaces of one revision.

    `workspaces` is None if no call needs a key. If it is empty, no key is valid.
    """

    revision: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[GatewayService, ...] = ()
    workspaces: tuple[WorkspaceKeys, ...] | None = None
    limits: RequestLimits = RequestLimits()

    @property
    def requires_keys(self) -> bool:
        """Return whether calls need the key of a workspace."""
        return self.workspaces is not None

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of `path`, or None."""
        routes = self._routes_of_host.get(host, ())
        return next(
            (item for item in routes if path.startswith(item.path_prefix)), None
        )

    def needs_key(self, route: Route) -> bool:
        """Return whether calls of a route need the key of a workspace."""
        return self.requires_keys and not route.allows_anonymous

    def find_workspace(self, api_key: str) -> WorkspaceKeys | None:
        """Return the workspace that an API key belongs to, or None."""
        return self._workspace_of_digest.get(digest_key(api_key))

    def find_service(self, name: ServiceName) -> GatewayService | None:
        """Return the service called `name`, or None."""
        return self._service_of_name.get(name)

    @cached_property
    def cold_rates(self) -> dict[ServiceName, float]:
        """The cold rates, in requests a second, of the services that have one."""
        return {item.name: item.cold_rate for item in self.services if item.cold_rate}

    @cached_property
    def _routes_of_host(self) -> dict[str, list[Route]]:
        routes_of_host: dict[str, list[Route]] = {}
        for route in self.routes:
            routes_of_host.setdefault(route.host, []).append(route)
        for routes in routes_of_host.values():
            routes.sort(key=lambda item: len(item.path_prefix), reverse=True)
        return routes_of_host

    @cached_property
    def _workspace_of_digest(self) -> dict[str, WorkspaceKeys]:
        return {
            digest: workspace
            for workspace in self.workspaces or ()
            for digest in workspace.key_digests
        }

    @cached_property
    def _service_of_name(self) -> dict[ServiceName, GatewayService]:
        return {item.name: item for item in self.services}


def digest_key(api_key: str) -> str:
    """Return the digest under which an API key is stored."""
    return hashlib.blake2b(api_key.encode(), digest_size=KEY_DIGEST_BYTES).hexdigest()
