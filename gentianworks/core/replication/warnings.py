"""Warnings: log events of a control host without a group or a leader."""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent
from gentianworks.core.replication.log import Position
from gentianworks.core.replication.members import (
    Membership,
    compute_required_voters,
)
from gentianworks.core.replication.peer_messages import get_replication
from gentianworks.core.replication.replication import Replication
from gentianworks.core.state import State

SILENCE_TIMEOUT = 5.0  # seconds
GROWTH_TIME = 10.0  # seconds in which the other hosts can start and join
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
        details = (("silent_for", silence), *_describe_ballots(replication))
        return [LogEvent("GW2007", details)]
    return [LogEvent("GW2006", (("waits_for", _describe_obstacles(state)),))]


def warn_of_small_group(state: State, now: float) -> list[Effect]:
    """Log at intervals that the group has too few voters for the losses to tolerate."""
    replication = get_replication(state)
    required = compute_required_voters(state.tolerated_losses)
    voters = replication.membership.list_voters()
    if not state.discovers_control_hosts or len(voters) >= required:
        return []
    if not replication.is_leader or now - replication.leading_since < GROWTH_TIME:
        return []
    if now - replication.size_warned_at < WARNING_INTERVAL:
        return []
    replication.size_warned_at = now
    members = replication.membership.members
    diskless = [item for item in members if not item.keeps_data]
    details = (
        ("voters", str(len(voters))),
        ("required", str(required)),
        ("tolerated_losses", str(state.tolerated_losses)),
        ("borne_losses", str((len(voters) - 1) // 2)),
        ("without_disk", str(len(diskless))),
    )
    return [LogEvent("GW2016", details)]


def describe_stored_log(replication: Replication) -> tuple[tuple[str, str], ...]:
    """Return the details of a log event about what a host's data folder contained."""
    last = replication.log.last
    return (
        ("host", replication.host),
        ("term", str(last.term)),
        ("index", str(last.index)),
        ("voters", _describe_voters(replication.membership)),
    )


def _describe_ballots(replication: Replication) -> tuple[tuple[str, str], ...]:
    """Return which voters granted this host their vote, and how many it needs."""
    membership = replication.membership
    voters = membership.list_voters()
    granted = [host for host in voters if host in replication.ballots]
    return (
        ("voters", _describe_voters(membership)),
        ("granted", " ".join(granted)),
        ("needed", str(len(voters) // 2 + 1)),
        ("index", str(replication.log.last.index)),
    )


def _describe_voters(membership: Membership) -> str:
    return " ".join(
        f"{item.host}@{item.peer_address}"
        for item in membership.members
        if not item.is_learner
    )


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
        return _describe_log(replication.is_empty, replication.log.last)
    response = replication.formation_responses.get(address)
    if response is None:
        return "has not answered"
    if sorted(response.addresses) != sorted(state.control_addresses):
        return "lists other peer_addresses"
    return _describe_log(response.is_empty, response.log_end)


def _describe_log(is_empty: bool, log_end: Position) -> str:
    if is_empty:
        return ""
    if not log_end.index:
        return "has no data, but this is not its first start"
    return f"has data up to entry {log_end.index}"
