"""Control: the leader's handlers for reports of failures at replicas."""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent, SendMessage
from gentianworks.core.events.outliers import OutliersChanged, ReplicaFailuresReported
from gentianworks.core.gateway.replicas import ReplicaName
from gentianworks.core.outliers.outcomes import FailureReport
from gentianworks.core.reducer import reduce
from gentianworks.core.replica_list.distribution import is_fetcher
from gentianworks.core.replica_list.shared_list import SharedList
from gentianworks.core.state import State
from gentianworks.core.types import ServiceName

MAX_NOTIFIED_ROUTERS = 256  # by a push; ejections are short, so none is repeated


@reduce.register
def _(event: ReplicaFailuresReported, state: State, now: float) -> list[Effect]:
    shared = state.shared_list
    if shared is None or not is_fetcher(state):
        return []
    # Until the routers have been heard, one could eject a replica alone, and the
    # answers of all are underestimated.
    if not state.limit_table.is_settled(now):
        return []
    report = event.report
    serving = _list_serving(report.service, shared, state)
    state.outlier_table.retain_replicas(report.service, serving)
    if report.replica not in serving:
        return []
    # Cold replicas can't carry the load of those that are ejected.
    replicas = len(serving - state.limit_table.cold_limits.keys())
    routers = len(state.router_heartbeats)
    ejection = state.outlier_table.record(
        event.peer_address, report, routers, replicas, now
    )
    if ejection is None:
        return []
    notice = OutliersChanged(state.node.name, state.outlier_table.list_ejected(now))
    addresses = list(state.router_heartbeats)[:MAX_NOTIFIED_ROUTERS]
    seconds = ejection.until - now
    return [
        _log_ejection(report, seconds, ejection.count),
        *(SendMessage(address, notice) for address in addresses),
    ]


def _list_serving(
    service: ServiceName, shared: SharedList, state: State
) -> set[ReplicaName]:
    """Return the replicas of a service that get calls."""
    evacuated = state.control.replicated.evacuations.zones
    return {
        item.name
        for item in shared.replicas.values()
        if item.service == service
        and not item.is_leaving
        and item.availability_zone not in evacuated
    }


def _log_ejection(report: FailureReport, seconds: float, count: int) -> LogEvent:
    details = (
        ("replica", report.replica),
        ("service", report.service),
        ("seconds", f"{seconds:g}"),
        ("ejections", str(count)),
    )
    return LogEvent("GW5140", details)
