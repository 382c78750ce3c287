"""Load sums: any control host, leading or not, sends the sum of a service's load.

A sum needs no agreement of the control group: it only has to be recent, and not too
high.
"""

from __future__ import annotations

from collections.abc import Collection

from attrs import evolve

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage
from gentianworks.core.events.membership import Heartbeat, LoadSum
from gentianworks.core.load.table import SentSum
from gentianworks.core.replication.elections import is_leading
from gentianworks.core.state import State
from gentianworks.core.types import ServiceLoad, ServiceName


def is_settled_leader(service: ServiceName, state: State, now: float) -> bool:
    """Return whether this host leads and knows the loads of all live endpoints."""
    roster = state.roster
    if not is_leading(state, now) or not roster.epoch:
        return False
    missing = state.load_table.count_missing(service, state.configuration)
    return missing == 0 or roster.has_settled(now)


def compute_service_total(
    service: ServiceName, state: State, now: float
) -> ServiceLoad:
    """Return the sum over a service's endpoints that this host may send.

    A leader counts the live endpoints. Another host doesn't know which endpoints are
    live, so endpoints with an unknown load count as idle, which lowers the mean.
    """
    table = state.load_table
    total = table.sum_regions(service, now)
    if is_settled_leader(service, state, now):
        return total
    missing = table.count_missing(service, state.configuration)
    endpoints = total.load.endpoints + missing
    return ServiceLoad(service, evolve(total.load, endpoints=endpoints))


def answer_sum_request(event: Heartbeat, state: State, now: float) -> list[Effect]:
    """Send an endpoint its service's sum, and again once the sum is complete."""
    table = state.load_table
    endpoint = state.configuration.find_endpoint_at(event.endpoint, event.peer_address)
    if endpoint is None or now < table.trusted_at:
        return []
    service = endpoint.service
    if event.asks_sum:
        table.pending_heartbeats.setdefault(service, {})[endpoint.name] = event
    if table.count_missing(service, state.configuration) == 0:
        pending = table.pending_heartbeats.pop(service, {})
        return _send_sums(pending.values(), service, True, state, now)
    requests = [event] if event.asks_sum else []
    return _send_sums(requests, service, False, state, now)


def _send_sums(
    heartbeats: Collection[Heartbeat],
    service: ServiceName,
    is_whole: bool,
    state: State,
    now: float,
) -> list[Effect]:
    if not heartbeats:
        return []
    total = compute_service_total(service, state, now)
    effects: list[Effect] = []
    for heartbeat in heartbeats:
        state.load_table.falls.sent_sums[heartbeat.endpoint] = SentSum(total.load, now)
        answer = LoadSum(
            sender=state.node.name,
            peer_address=state.node.peer_address,
            total=total,
            asked_at=heartbeat.sent_at,
            is_whole=is_whole,
        )
        effects.append(SendMessage(heartbeat.peer_address, answer))
    return effects
