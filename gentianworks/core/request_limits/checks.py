"""Limit checks: refuses a call that no replica may get because of their limits."""

from __future__ import annotations

from gentianworks.core.gateway.admission import MIN_RETRY_AFTER, spread_retry_after
from gentianworks.core.gateway.replicas import Replica, ReplicaName
from gentianworks.core.gateway.state import GatewayExchange, GatewayState
from gentianworks.core.request_limits.rank_demand import RankDemand
from gentianworks.core.request_limits.updates import update_leader_contact
from gentianworks.core.state import State
from gentianworks.core.types import Problem, ProblemKind

RETRY_AFTER = 0.3  # seconds, where another replica of the service has no limit
MAX_RETRY_AFTER = 10.0  # seconds; limits may end sooner


def record_arrived_call(
    exchange: GatewayExchange, gateway: GatewayState, now: float
) -> None:
    """Count a call by its rank while replicas of its service limit their requests."""
    if not gateway.limits.is_empty():
        demand = gateway.rank_demands.setdefault(exchange.service, RankDemand())
        demand.record_arrived(exchange.rank, now)


def record_sent_call(
    exchange: GatewayExchange, replica: Replica, gateway: GatewayState, now: float
) -> None:
    """Count a request against its replica's limit."""
    if not gateway.limits.is_in_force(replica.name, now):
        return
    gateway.limits.record_sent(replica.name, now)
    demand = gateway.rank_demands.setdefault(exchange.service, RankDemand())
    demand.record_sent(exchange.rank, now)


def check_limits(
    exchange: GatewayExchange, gateway: GatewayState, state: State, now: float
) -> Problem | None:
    """Return why a call can't be sent now, or None if the limits leave it a replica.

    Where all replicas of a service limit their requests, more urgent calls come first.
    """
    if gateway.limits.is_empty():
        gateway.rank_demands.clear()
        return None
    update_leader_contact(gateway, state, now)
    usable = [item.name for item in gateway.registry.list_usable(exchange.service)]
    names = [name for name in usable if name not in exchange.tried_replicas]
    if not names or not _are_limited(names, gateway):
        return None
    rate = sum(gateway.limits.get_rate(name) for name in names)
    if _may_send(exchange, names, rate, gateway, now):
        return None
    wait = RETRY_AFTER
    if _are_limited(usable, gateway):
        wait = _estimate_wait(exchange, usable, rate, gateway, now)
    return _describe_limitation(exchange, spread_retry_after(exchange, wait))


def _are_limited(names: list[ReplicaName], gateway: GatewayState) -> bool:
    return all(gateway.limits.get_limit(name) is not None for name in names)


def _may_send(
    exchange: GatewayExchange,
    names: list[ReplicaName],
    rate: float,
    gateway: GatewayState,
    now: float,
) -> bool:
    """Return whether one of some limited replicas may get a call of its rank."""
    key = exchange.call.placement_key
    if not any(gateway.limits.may_send(name, key, now) for name in names):
        return False
    if not all(gateway.limits.is_in_force(name, now) for name in names):
        return True
    demand = gateway.rank_demands.setdefault(exchange.service, RankDemand())
    return demand.may_send(exchange.rank, rate, now)


def _estimate_wait(
    exchange: GatewayExchange,
    names: list[ReplicaName],
    rate: float,
    gateway: GatewayState,
    now: float,
) -> float:
    """Return the seconds until the limits of a service leave room for a call.

    A router without a share counts on the other routers, to which its callers may go.
    """
    demand = gateway.rank_demands.setdefault(exchange.service, RankDemand())
    total = sum(gateway.limits.get_limit(name) or 0.0 for name in names)
    expected = rate or total / max(1, gateway.router_count)
    backlog = demand.estimate_wait(exchange.rank, expected, now)
    own = gateway.limits.compute_wait(names, now) if rate else 0.0
    return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, backlog, own))


def _describe_limitation(exchange: GatewayExchange, retry_after: float) -> Problem:
    return Problem(
        ProblemKind.OVERLOADED,
        f"The replicas of {exchange.service!r} that are left for the call limit their "
        f"requests, and more have come; retry after {retry_after:.1f} s.",
        retry_after=retry_after,
    )
