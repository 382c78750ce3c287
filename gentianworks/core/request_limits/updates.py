"""Limit updates: how routers and the leader tell each other the replicas' limits.

A router reports with its heartbeats what answers tell of limits; the leader's answers
carry its table of limits and of the router's shares.
"""

from __future__ import annotations

from gentianworks.core.cold_replicas.registry import ColdRate, ColdRates
from gentianworks.core.events.membership import Heartbeat, HeartbeatAnswer
from gentianworks.core.gateway.replicas import ListVersion
from gentianworks.core.gateway.state import GatewayState
from gentianworks.core.replica_list.distribution import is_fetcher
from gentianworks.core.request_limits.replica_limits import LEADER_TIMEOUT, LentShare
from gentianworks.core.state import State


def update_leader_contact(gateway: GatewayState, state: State, now: float) -> None:
    """Update whether the limits' shares of the leader are current."""
    heard_at = max(state.fleet.last_answer_at, gateway.started_at)
    gateway.limits.update_leader_contact(now - heard_at > LEADER_TIMEOUT, now)
    gateway.limits.router_count = gateway.router_count
    gateway.limits.router = state.node.name


def describe_cold_rates(state: State) -> ColdRates:
    """Return the cold rates of the route table; the control hosts don't decode it."""
    table = state.gateway.table if state.gateway else None
    if table is None:
        return ColdRates()
    rates = tuple(ColdRate(name, rate) for name, rate in table.cold_rates.items())
    return ColdRates(table.revision, rates)


def answer_limit_reports(
    event: Heartbeat, state: State, now: float
) -> tuple[ListVersion, tuple[LentShare, ...]]:
    """Record a router's reports and return its version and table of shares."""
    shared, table = state.shared_list, state.limit_table
    if shared is None or event.endpoint or not is_fetcher(state):
        return ListVersion(), ()
    table.record_router(event.peer_address, event.is_leaving)
    table.record_reports(event.limits, now)
    table.retain_listed(shared.replicas, now)
    table.record_cold_rates(event.cold_rates)
    table.update_cold(shared.replicas, shared.version)
    shares = table.list_shares(
        event.peer_address, event.limits_version, shared.replicas, now
    )
    return table.version, shares


def confirm_limits(event: HeartbeatAnswer, state: State, now: float) -> None:
    """Apply a leader's table of limits."""
    if state.gateway is not None:
        state.gateway.limits.confirm(event.limits_version, event.limits, now)
        if event.routers:
            state.gateway.limits.cold.record_router_count(event.routers, now)
