"""Tables: the routes that operators declare, and who may use them."""

from __future__ import annotations

import hashlib
from enum import Enum
from functools import cached_property

from attrs import frozen

from gentianworks.core.types import ServiceName, WorkspaceName

RouteName = str
KEY_DIGEST_BYTES = 16


class Repetition(Enum):
    """Say how often a call may run."""

    ONCE = "once"
    RESUMABLE = "resumable"
    ANY = "any"


@frozen
class Share:
    """Hold the part of a route's calls that goes to a service, by its weight."""

    service: ServiceName
    weight: int = 1


@frozen
class Route:
    """Describe the calls to a host whose path begins with a prefix.

    `timeout`, `latency_objective` and `gap_objective` are in seconds; `max_attempts`
    bounds the replicas that one call may be sent to; rank 0 is the most urgent.
    """

    name: RouteName
    host: str
    path_prefix: str
    shares: tuple[Share, ...]
    repetition: Repetition
    is_stream: bool
    timeout: float
    latency_objective: float
    rank: int = 0
    max_attempts: int = 1
    is_open: bool = False
    gap_objective: float = 0.0


@frozen
class EngineShape:
    """Describe the model engines of a service.

    `slots` requests run side by side; `memory` is in tokens.
    """

    slots: int
    memory: int


@frozen
class GatewayService:
    """Describe a service that replicas found in a list serve."""

    name: ServiceName
    health_path: str
    max_connections: int
    engine: EngineShape | None = None


@frozen
class KeyHolder:
    """Describe a workspace by the digests of its API keys.

    `rank`, where it is set, replaces the rank of the route.
    """

    name: WorkspaceName
    keys: tuple[str, ...]
    rank: int | None = None


@frozen
class CallerLimits:
    """Bound what a caller may send; times are in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@frozen
class RouteTable:
    """Hold the routes of one revision."""

    revision: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[GatewayService, ...] = ()
    workspaces: tuple[KeyHolder, ...] = ()
    limits: CallerLimits = CallerLimits()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of `path`, or None."""
        routes = self._routes_of_host.get(host, ())
        return next(
            (item for item in routes if path.startswith(item.path_prefix)), None
        )

    def find_holder(self, key: str) -> KeyHolder | None:
        """Return the workspace that holds an API key, or None."""
        return self._holder_of_key.get(digest_key(key))

    def find_service(self, name: ServiceName) -> GatewayService | None:
        """Return the service called `name`, or None."""
        return self._service_of_name.get(name)

    @cached_property
    def _routes_of_host(self) -> dict[str, list[Route]]:
        found: dict[str, list[Route]] = {}
        for route in self.routes:
            found.setdefault(route.host, []).append(route)
        for routes in found.values():
            routes.sort(key=lambda item: len(item.path_prefix), reverse=True)
        return found

    @cached_property
    def _holder_of_key(self) -> dict[str, KeyHolder]:
        return {key: holder for holder in self.workspaces for key in holder.keys}

    @cached_property
    def _service_of_name(self) -> dict[ServiceName, GatewayService]:
        return {item.name: item for item in self.services}


def digest_key(key: str) -> str:
    """Return the digest under which an API key is kept."""
    return hashlib.blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES).hexdigest()
