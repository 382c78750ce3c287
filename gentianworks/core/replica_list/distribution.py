"""List distribution: the leading control host fetches the list of replicas for all.

It pushes changes to the routers that it knows. Its heartbeat answers carry the version
and age of its list, so that a router that missed a push asks for the changes.
"""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.gateway import FetchReplicas
from gentianworks.core.effects.lifecycle import LogEvent, SendMessage, SetTimer
from gentianworks.core.events.gateway import (
    ReplicaListDue,
    ReplicaListFailed,
    ReplicaListFetched,
    ReplicaListOffered,
    ReplicaListWanted,
)
from gentianworks.core.gateway.replicas import ListVersion
from gentianworks.core.reducer import reduce
from gentianworks.core.replica_list.shared_list import (
    MAX_WAITING_REQUESTS,
    ListChanges,
    SharedList,
)
from gentianworks.core.state import State

MAX_OFFERED_ROUTERS = 64  # by a push; other routers ask after their next heartbeat


def begin_list_term(state: State, now: float) -> list[Effect]:
    """Return the effects that make a new leader fetch the list."""
    shared, replication = state.shared_list, state.control.replication
    if shared is None or replication is None:
        return []
    shared.begin_term(replication.vote.term, now)
    state.limit_table.begin_term(replication.vote.term, now)
    state.outlier_table.clear()
    state.busy_table.clear()
    return [SetTimer(now, ReplicaListDue())]


def is_fetcher(state: State) -> bool:
    """Return whether this control host fetches the list for the routers."""
    replication = state.control.replication
    return replication is not None and replication.is_leader


def fetch_shared_list(shared: SharedList, state: State, now: float) -> list[Effect]:
    """Return the effect of a fetch that is due.

    Each control host also fetches the list once when it starts, so that it has one as
    soon as it leads.
    """
    if not shared.fetches.is_due(now) or not (
        is_fetcher(state) or shared.current_at == float("-inf")
    ):
        return []
    shared.fetches.begin(now)
    return [FetchReplicas()]


def record_shared_list(
    event: ReplicaListFetched, shared: SharedList, state: State, now: float
) -> list[Effect]:
    """Store a fetched list and push its changes to the routers."""
    fetches = shared.fetches
    fetches.record_success(event.page_count)
    before = shared.version
    has_changed = shared.update(event.replicas, fetches.requested_at)
    timer = _schedule(
        shared, max(now, fetches.requested_at + fetches.compute_interval())
    )
    if not has_changed:
        return [timer]
    details = (
        ("term", str(shared.version.term)),
        ("number", str(shared.version.number)),
        ("replicas", str(len(shared.replicas))),
        ("rejected", str(event.refused)),
    )
    return [
        timer,
        LogEvent("GW5116", details),
        *_push_changes(before, shared, state, now),
    ]


def record_failed_fetch(
    event: ReplicaListFailed, shared: SharedList, now: float
) -> list[Effect]:
    """Schedule the next fetch after a failed one."""
    fetches = shared.fetches
    fetches.record_failure()
    delay = fetches.compute_retry_delay(event.is_throttled, fetches.compute_interval())
    log = LogEvent("GW5105", (("detail", event.detail), ("delay", f"{delay:.2f}")))
    return [log, _schedule(shared, now + delay)]


def _schedule(shared: SharedList, due_at: float) -> Effect:
    shared.fetches.next_at = due_at
    return SetTimer(due_at, ReplicaListDue())


def _push_changes(
    before: ListVersion, shared: SharedList, state: State, now: float
) -> list[Effect]:
    if not is_fetcher(state):
        return []
    waiting, shared.waiting_requests = shared.waiting_requests, {}
    answers = [_offer(item, shared, state, now) for item in waiting.values()]
    if not before.number:
        return answers
    # Only the leader receives heartbeats of routers.
    routers = list(state.router_heartbeats)[:MAX_OFFERED_ROUTERS]
    changes = shared.build_changes(before, digest=None)
    pushes = [
        _send_changes(address, before, changes, shared, state, now)
        for address in routers
    ]
    return [*answers, *pushes]


def _offer(
    request: ReplicaListWanted, shared: SharedList, state: State, now: float
) -> Effect:
    changes = shared.build_changes(request.version, request.digest)
    return _send_changes(
        request.peer_address, request.version, changes, shared, state, now
    )


def _send_changes(
    address: str,
    base: ListVersion,
    changes: ListChanges,
    shared: SharedList,
    state: State,
    now: float,
) -> Effect:
    offer = ReplicaListOffered(
        sender=state.node.name,
        peer_address=state.node.peer_address,
        version=shared.version,
        base=base,
        is_complete=changes.is_complete,
        age=now - shared.current_at,
        page_count=shared.fetches.page_count,
        changed=changes.changed,
        removed=changes.removed,
    )
    return SendMessage(address, offer)


@reduce.register
def _(event: ReplicaListWanted, state: State, now: float) -> list[Effect]:
    shared = state.shared_list
    if shared is None or not is_fetcher(state):
        return []
    if not shared.version.number:
        if len(shared.waiting_requests) < MAX_WAITING_REQUESTS:
            shared.waiting_requests[event.peer_address] = event
        return []
    if event.version >= shared.version:
        return []
    return [_offer(event, shared, state, now)]


def describe_shared_list(state: State, now: float) -> tuple[ListVersion, float]:
    """Return the version and the age in seconds of this leader's list."""
    shared = state.shared_list
    if shared is None or not is_fetcher(state):
        return ListVersion(), 0.0
    return shared.version, max(0.0, now - shared.current_at)
