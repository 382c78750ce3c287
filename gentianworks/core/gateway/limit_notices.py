"""Limit notices: what an answer tells of its replica's limit of requests."""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent
from gentianworks.core.events.gateway import ReplicaAnswerHead
from gentianworks.core.gateway.replica_limits import LimitChange
from gentianworks.core.gateway.replicas import Replica
from gentianworks.core.membership.heartbeats import send_heartbeat
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
    if notices.request_limit is None and not is_own:
        return []
    change = gateway.limits.record_notices(replica, notices, now)
    if change is None:
        return []
    limit = gateway.limits.get_limit(replica.name)
    details = (
        ("replica", replica.name),
        ("service", replica.service),
        ("limit", "none" if limit is None else f"{limit:g}"),
        ("change", change.value),
        ("rate", f"{gateway.limits.get_rate(replica.name):.3g}"),
        ("defect", notices.defect),
    )
    code = "GW5123" if change is LimitChange.ENDED else "GW5122"
    return [LogEvent(code, details), *send_heartbeat(state, now)]
