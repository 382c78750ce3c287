"""Warnings: what the log tells of a control host that waits or is cut off."""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent
from gentianworks.core.replication.peers import get_replication
from gentianworks.core.replication.replication import Replication
from gentianworks.core.state import State

SILENCE_TIMEOUT = 5.0  # seconds
WARNING_INTERVAL = 60.0  # seconds


def warn_of_silence(state: State, now: float) -> list[Effect]:
    """Log now and then that no group forms, or that no leader is heard."""
    replication = get_replication(state)
    if replication.is_leader or now - replication.heard_at < SILENCE_TIMEOUT:
        return []
    if now - replication.warned_at < WARNING_INTERVAL:
        return []
    replication.warned_at = now
    if replication.is_formed:
        silence = f"{now - replication.heard_at:.0f} s"
        return [LogEvent("GW2007", (("silent_for", silence),))]
    return [LogEvent("GW2006", (("waits_for", _describe_hindrances(state)),))]


def _describe_hindrances(state: State) -> str:
    if not state.control_addresses:
        return "peer_addresses of [control], which name no host"
    replication = get_replication(state)
    hindrances = [
        f"{address} ({_describe_hindrance(address, replication, state)})"
        for address in state.control_addresses
        if _describe_hindrance(address, replication, state)
    ]
    return " ".join(hindrances) or "the control host with the lowest address"


def _describe_hindrance(address: str, replication: Replication, state: State) -> str:
    if address == state.node.peer_address:
        return "" if replication.is_empty else "has data"
    report = replication.reports.get(address)
    if report is None:
        return "has not answered"
    if sorted(report.addresses) != sorted(state.control_addresses):
        return "lists other peer_addresses"
    return "" if report.is_empty else "has data"
