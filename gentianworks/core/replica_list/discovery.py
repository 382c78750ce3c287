"""Discovery: updates a router's registry of replicas.

The list comes from the leading control host. A router whose list has not been confirmed
for some time fetches it from the platform itself.
"""

from __future__ import annotations

from gentianworks.core.cold_replicas.routers import update_cold_replicas
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
from gentianworks.core.gateway.dispatch import dispatch_queued_calls
from gentianworks.core.gateway.replicas import ListVersion, Replica, digest_replicas
from gentianworks.core.gateway.state import GatewayState
from gentianworks.core.hashing import hash_to_fraction
from gentianworks.core.reducer import reduce
from gentianworks.core.replica_list.distribution import (
    fetch_shared_list,
    record_failed_fetch,
    record_shared_list,
)
from gentianworks.core.replica_list.fetches import INTERVAL_JITTER
from gentianworks.core.replica_list.shared_list import MAX_LIST_AGE
from gentianworks.core.state import State

FIRST_LIST_TIMEOUT = 1.5  # seconds; the longest election and a heartbeat


def start_discovery(state: State, now: float) -> list[Effect]:
    """Return the effects that start the discovery of replicas."""
    gateway = state.gateway
    if gateway is not None:
        gateway.started_at = now
        spread = _compute_spread(gateway, state)
        return [SetTimer(now + FIRST_LIST_TIMEOUT + spread, ReplicaListDue())]
    return [SetTimer(now, ReplicaListDue())] if state.shared_list is not None else []


@reduce.register
def _(event: ReplicaListDue, state: State, now: float) -> list[Effect]:
    if state.gateway is not None:
        return _fetch_outdated_list(state.gateway, state, now)
    if state.shared_list is not None:
        return fetch_shared_list(state.shared_list, state, now)
    return []


def _fetch_outdated_list(
    gateway: GatewayState, state: State, now: float
) -> list[Effect]:
    """Fetch the list if no leader has confirmed it lately, or check again later."""
    fetches = gateway.list_fetches
    current_at = gateway.registry.current_at
    is_from_leader = gateway.registry.version.number > 0
    if is_from_leader and now - current_at < MAX_LIST_AGE:
        due_at = current_at + MAX_LIST_AGE + _compute_spread(gateway, state)
        return [SetTimer(due_at, ReplicaListDue()), *_leave_fallback(gateway)]
    fetches.begin(now)
    if fetches.is_alone:
        return [FetchReplicas()]
    fetches.is_alone = True
    age = min(now - current_at, now - gateway.started_at)
    details = (("age", f"{age:.2f}"), ("leader", state.fleet.leader_address))
    return [LogEvent("GW5114", details), FetchReplicas()]


def _leave_fallback(gateway: GatewayState) -> list[Effect]:
    if not gateway.list_fetches.is_alone or not gateway.registry.version.number:
        return []
    gateway.list_fetches.is_alone = False
    return [LogEvent("GW5115", _describe_version(gateway.registry.version))]


def _compute_interval(gateway: GatewayState) -> float:
    return gateway.list_fetches.compute_interval(max(1, gateway.router_count))


def _compute_spread(gateway: GatewayState, state: State) -> float:
    """Return this router's share of an interval, which differs between routers."""
    seed = f"{state.node.name}/{state.incarnation}"
    return hash_to_fraction(seed) * _compute_interval(gateway)


@reduce.register
def _(event: ReplicaListFetched, state: State, now: float) -> list[Effect]:
    if state.shared_list is not None:
        return record_shared_list(event, state.shared_list, state, now)
    gateway = state.gateway
    if gateway is None:
        return []
    fetches = gateway.list_fetches
    fetches.record_success(event.page_count)
    state.last_id += 1
    spread = 1 + INTERVAL_JITTER * (state.last_id % 7 / 6 - 0.5)
    timer = SetTimer(now + _compute_interval(gateway) * spread, ReplicaListDue())
    if gateway.registry.current_at > fetches.requested_at:
        return [timer]
    logs: list[Effect] = []
    if event.refused:
        logs.append(LogEvent("GW5104", (("entries", str(event.refused)),)))
    version = ListVersion(gateway.registry.version.term)
    return [
        timer,
        *logs,
        *_update_registry(event.replicas, version, fetches.requested_at, state, now),
    ]


@reduce.register
def _(event: ReplicaListFailed, state: State, now: float) -> list[Effect]:
    if state.shared_list is not None:
        return record_failed_fetch(event, state.shared_list, now)
    gateway = state.gateway
    if gateway is None:
        return []
    fetches = gateway.list_fetches
    fetches.record_failure()
    interval = _compute_interval(gateway)
    delay = fetches.compute_retry_delay(event.is_throttled, interval)
    if event.is_throttled:
        delay += _compute_spread(gateway, state)
    log = LogEvent("GW5105", (("detail", event.detail), ("delay", f"{delay:.2f}")))
    return [log, SetTimer(now + delay, ReplicaListDue())]


def _update_registry(
    replicas: tuple[Replica, ...],
    version: ListVersion,
    current_at: float,
    state: State,
    now: float,
) -> list[Effect]:
    """Replace the list, log its changes and dispatch the calls that wait for it."""
    gateway = state.gateway
    assert gateway is not None
    previous = gateway.registry.replicas
    listed = {item.name: item for item in replicas}
    changed = [item for item in listed.values() if previous.get(item.name) != item]
    removed = [item for item in previous.values() if item.name not in listed]
    gateway.registry.update(replicas, version, current_at, now)
    gateway.health.retain_replicas(set(listed))
    cold = update_cold_replicas(gateway, now)
    gateway.speeds.retain_replicas(set(listed))
    gateway.limits.retain_listed(listed)
    gateway.outliers.recent.retain_replicas(set(listed))
    logs: list[Effect] = [
        LogEvent(
            "GW5102",
            (
                ("replica", item.name),
                ("service", item.service),
                ("address", item.address),
                ("leaving", str(item.is_leaving)),
            ),
        )
        for item in changed
    ]
    logs += [LogEvent("GW5103", (("replica", item.name),)) for item in removed]
    return [*logs, *cold, *dispatch_queued_calls(state, now)]


@reduce.register
def _(event: ReplicaListOffered, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    if gateway is None or not _may_apply(event, gateway, now):
        return []
    registry = gateway.registry
    listed = {} if event.is_complete else dict(registry.replicas)
    listed.update((item.name, item) for item in event.changed)
    for name in event.removed:
        listed.pop(name, None)
    gateway.list_fetches.page_count = event.page_count
    details = (
        *_describe_version(event.version),
        ("age", f"{event.age:.2f}"),
        ("changed", str(len(event.changed))),
        ("removed", str(len(event.removed))),
        ("complete", str(event.is_complete)),
    )
    return [
        LogEvent("GW5113", details),
        *_update_registry(
            tuple(listed.values()), event.version, now - event.age, state, now
        ),
        *_leave_fallback(gateway),
    ]


def _may_apply(event: ReplicaListOffered, gateway: GatewayState, now: float) -> bool:
    """Return whether an offered list is newer than the known one and complete."""
    registry = gateway.registry
    if event.version <= registry.version or event.age >= MAX_LIST_AGE:
        return False
    if event.is_complete:
        return now - event.age >= registry.current_at
    return event.base == registry.version


def confirm_list(
    version: ListVersion, age: float, leader_address: str, state: State, now: float
) -> list[Effect]:
    """Record that a leader has a version of the list, and request it if it is newer."""
    gateway = state.gateway
    if gateway is None or not version.number:
        return []
    registry = gateway.registry
    if version == registry.version:
        registry.current_at = max(registry.current_at, now - age)
        return []
    if version < registry.version or age >= MAX_LIST_AGE:
        return []
    return [_request_list(leader_address, gateway, state)]


def request_missing_list(state: State) -> list[Effect]:
    """Request the list from the control hosts if there is none yet."""
    gateway = state.gateway
    if gateway is None or gateway.registry.replicas:
        return []
    return [
        _request_list(address, gateway, state) for address in state.control_addresses
    ]


def _request_list(address: str, gateway: GatewayState, state: State) -> Effect:
    registry = gateway.registry
    request = ReplicaListWanted(
        state.node.name,
        state.node.peer_address,
        registry.version,
        digest_replicas(registry.replicas.values()),
    )
    return SendMessage(address, request)


def _describe_version(version: ListVersion) -> tuple[tuple[str, str], ...]:
    return (("term", str(version.term)), ("number", str(version.number)))
