"""Limit notices: what an answer tells of its replica's limit of requests."""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent
from gentianworks.core.events.gateway import ReplicaAnswerHead
from gentianworks.core.gateway.notices import ReplicaNotices
from gentianworks.core.gateway.replicas import Replica
from gentianworks.core.gateway.state import GatewayState
from gentianworks.core.membership.heartbeats import send_heartbeat
from gentianworks.core.request_limits.replica_limits import LimitChange
from gentianworks.core.state import State


def record_limit(
    replica: Replica, answer: ReplicaAnswerHead, state: State, now: float
) -> list[Effect]:
    """Record whether an answer names a limit, and report a change to the leader.

    An answer without a limit ends it only if the replica has signed it or refuses the
    call in it, since others may answer at its address.
    """
    gateway, notices = state.gateway, answer.notices
    is_own = answer.is_signed or answer.is_not_run
    if gateway is None or answer.is_other_replica:
        return []
    defects = _log_defect(replica, notices, gateway)
    if notices.request_limit is None and not is_own:
        return defects
    change = gateway.limits.record_notices(replica, notices, now)
    if change is None:
        return defects
    return [
        *defects,
        _log_change(replica, change, gateway),
        *send_heartbeat(state, now),
    ]


def _log_change(
    replica: Replica, change: LimitChange, gateway: GatewayState
) -> LogEvent:
    limit = gateway.limits.get_limit(replica.name)
    details = (
        ("replica", replica.name),
        ("service", replica.service),
        ("limit", "none" if limit is None else f"{limit:g}"),
        ("change", change.value),
        ("rate", f"{gateway.limits.get_rate(replica.name):.3g}"),
    )
    code = "GW5123" if change is LimitChange.ENDED else "GW5122"
    return LogEvent(code, details)


def _log_defect(
    replica: Replica, notices: ReplicaNotices, gateway: GatewayState
) -> list[Effect]:
    """Log a limit that can't be read, once for each replica."""
    if not notices.defect or replica.name in gateway.limits.defective:
        return []
    gateway.limits.defective.add(replica.name)
    details = (
        ("replica", replica.name),
        ("address", replica.address),
        ("defect", notices.defect),
    )
    return [LogEvent("GW5124", details)]
