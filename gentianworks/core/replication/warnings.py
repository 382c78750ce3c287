"""Warnings: log events of a control host without a group or a leader."""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent
from gentianworks.core.replication.peer_messages import get_replication
from gentianworks.core.replication.replication import Replication
from gentianworks.core.state import State

SILENCE_TIMEOUT = 5.0  # seconds
WARNING_INTERVAL = 60.0  # seconds


def warn_of_missing_leader(state: State, now: float) -> list[Effect]:
    """Log at intervals that no group has formed or that no leader is in contact."""
    replication = get_replication(state)
    if replication.is_leader or now - replication.leader_contact_at < SILENCE_TIMEOUT:
        return []
    if now - replication.warned_at < WARNING_INTERVAL:
        return []
    replication.warned_at = now
    if replication.is_formed:
        silence = f"{now - replication.leader_contact_at:.0f} s"
        return [LogEvent("GW2007", (("silent_for", silence),))]
    return [LogEvent("GW2006", (("waits_for", _describe_obstacles(state)),))]


def _describe_obstacles(state: State) -> str:
    if not state.control_addresses:
        return "peer_addresses of [control], which list no host"
    replication = get_replication(state)
    obstacles = [
        f"{address} ({_describe_obstacle(address, replication, state)})"
        for address in state.control_addresses
        if _describe_obstacle(address, replication, state)
    ]
    return " ".join(obstacles) or "the control host with the lowest address"


def _describe_obstacle(address: str, replication: Replication, state: State) -> str:
    if address == state.node.peer_address:
        return "" if replication.is_empty else "has data"
    response = replication.formation_responses.get(address)
    if response is None:
        return "has not answered"
    if sorted(response.addresses) != sorted(state.control_addresses):
        return "lists other peer_addresses"
    return "" if response.is_empty else "has data"
