"""Gateway: calls to replicas, and requests for the list of replicas and the routes."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.effects.base import Effect
from gentianworks.core.gateway.calls import Call
from gentianworks.core.gateway.documents import RouteDocument
from gentianworks.core.gateway.replicas import Replica
from gentianworks.core.gateway.route_table import RetryPolicy
from gentianworks.core.types import AttemptId, ExchangeId


@frozen
class CallReplica(Effect):
    """Send a call to a replica; `timeout` is in seconds.

    `resume_after` is the number of the last event that the caller has received, -1 for
    none. `source` is a replica from which this one fetches the missing part of the
    prompt's cache. `expected_delay` is the expected number of seconds to the first
    event, -1 if unknown.
    """

    exchange: ExchangeId
    attempt: AttemptId
    replica: Replica
    call: Call
    timeout: float
    workspace: str = ""
    urgency: int = 0
    resume_after: int = -1
    retry_policy: RetryPolicy = RetryPolicy.AT_MOST_ONCE
    source: Replica | None = None
    expected_delay: float = -1.0


@frozen
class CancelReplicaCall(Effect):
    """Close the connection of an attempt, so that its replica stops."""

    attempt: AttemptId


@frozen
class CheckReplica(Effect):
    """Connect to a replica that lost calls, and report it as `ReplicaChecked`."""

    replica: Replica


@frozen
class FetchReplicas(Effect):
    """Fetch the list of replicas."""


@frozen
class DecodeRoutes(Effect):
    """Decode a route table and report it as `RoutesDecoded`."""

    document: RouteDocument
