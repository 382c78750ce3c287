"""Control: the leader's handlers for reports of failures at replicas."""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent, SendMessage
from gentianworks.core.events.outliers import OutliersChanged, ReplicaFailuresReported
from gentianworks.core.outliers.outcomes import FailureReport
from gentianworks.core.reducer import reduce
from gentianworks.core.replica_list.distribution import is_fetcher
from gentianworks.core.state import State

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
    replicas = sum(
        item.service == report.service and not item.is_leaving
        for item in shared.replicas.values()
    )
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


def _log_ejection(report: FailureReport, seconds: float, count: int) -> LogEvent:
    details = (
        ("replica", report.replica),
        ("service", report.service),
        ("seconds", f"{seconds:g}"),
        ("ejections", str(count)),
    )
    return LogEvent("GW5140", details)
