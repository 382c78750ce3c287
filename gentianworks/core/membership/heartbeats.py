"""Heartbeats: handlers that exchange load and membership between nodes."""

from __future__ import annotations

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.busy_replicas.updates import (
    answer_busy_reports,
    apply_busy_replicas,
)
from gentianworks.core.configuration.distribution import request_newer_configuration
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent, SendMessage, SetTimer
from gentianworks.core.effects.membership import FetchHosts
from gentianworks.core.evacuations.control import send_newer_evacuations
from gentianworks.core.events.engines import LoadsOverdue, LoadsReceived
from gentianworks.core.events.membership import (
    ControlHostsTold,
    Heartbeat,
    HeartbeatAnswer,
    HeartbeatDue,
    LivenessCheckDue,
    LoadSumOverdue,
    PlatformHostsListed,
    PlatformPollDue,
    RegionLoads,
)
from gentianworks.core.gateway.replicas import ListVersion
from gentianworks.core.load.agent_bounds import find_service, is_bound_above_floor
from gentianworks.core.load.falls import announce_fall
from gentianworks.core.load.sums import (
    answer_sum_request,
    compute_service_total,
    is_settled_leader,
)
from gentianworks.core.load.table import SentSum
from gentianworks.core.membership.fleet import HEARTBEAT_INTERVAL
from gentianworks.core.membership.roster import (
    HEARTBEAT_TIMEOUT,
    LIVENESS_CHECK_INTERVAL,
)
from gentianworks.core.orders.control_orders import send_due_order
from gentianworks.core.quarantine.control_quarantine import send_newer_suspects
from gentianworks.core.quarantine.replica_crashes import (
    offer_due_trials,
    send_newer_replica_suspects,
)
from gentianworks.core.reducer import reduce
from gentianworks.core.replica_list.discovery import confirm_list
from gentianworks.core.replica_list.distribution import describe_shared_list
from gentianworks.core.replication.elections import is_leading
from gentianworks.core.request_limits.updates import (
    answer_limit_reports,
    confirm_limits,
    describe_cold_rates,
)
from gentianworks.core.routing.answers import handle_endpoint_loss
from gentianworks.core.state import State
from gentianworks.core.ticks import compute_next_tick
from gentianworks.core.types import Load, Role, ServiceLoad

PLATFORM_POLL_INTERVAL = 1.0  # seconds
STALL_TIMEOUT = 1.5  # seconds
ANSWER_TIMEOUT = 0.25  # seconds
SUM_TIMEOUT = 0.1  # seconds
LOAD_TIMEOUT = 0.75  # seconds
MAX_CONTROL_HOSTS = 16  # addresses; a group has 3 or 5, and replaced ones remain
ROUTER_TIMEOUT = 5.0  # seconds; ten heartbeats


def start_heartbeats(state: State, now: float) -> list[Effect]:
    """Return the timers that start a process's participation in the membership."""
    if state.node.role is not Role.CONTROL:
        return [SetTimer(now, HeartbeatDue())]
    timers: list[Effect] = [SetTimer(now, LivenessCheckDue())]
    if state.platform_address:
        timers.append(SetTimer(now, PlatformPollDue()))
    return timers


@reduce.register
def _(event: HeartbeatDue, state: State, now: float) -> list[Effect]:
    timers: list[Effect] = [SetTimer(now + HEARTBEAT_INTERVAL, HeartbeatDue())]
    state.fleet.heartbeat_due_at = now
    if may_skip_heartbeat(state):
        state.fleet.has_skipped_heartbeat = True
        return timers
    if state.agent is not None:
        timers.append(SetTimer(now + ANSWER_TIMEOUT, LoadsOverdue()))
        timers += build_sum_timer(state.agent, state, now)
    return [*timers, *send_heartbeat(state, now), *retry_stalled_attempts(state, now)]


def may_skip_heartbeat(state: State) -> bool:
    """Return whether an idle node's heartbeat would repeat the last one.

    At most one heartbeat in a row is skipped, and none after an unanswered one.
    """
    fleet = state.fleet
    if fleet.has_skipped_heartbeat or not fleet.is_answered() or not _is_idle(state):
        return False
    return build_heartbeat(state, fleet.last_sent_at) == fleet.last_sent_heartbeat


def _is_idle(state: State) -> bool:
    """Return whether this node and its endpoint's service have no work."""
    agent = state.agent
    if state.gateway is not None:
        return False
    if agent is None:
        return not state.router.exchanges
    service = find_service(agent, state)
    total = state.fleet.loads.get(service.name) if service else None
    if total is None or agent.attempts:
        return False
    return not total.load.requests and not total.load.queued


def send_heartbeat(state: State, now: float) -> list[Effect]:
    """Send this node's heartbeat to the leading control host, or to all of them."""
    fleet = state.fleet
    asks_sum = needs_sum(state)
    has_leader = fleet.has_recent_answer(now) and fleet.is_answered() and not asks_sum
    addresses = [fleet.leader_address] if has_leader else state.control_addresses
    heartbeat = build_heartbeat(state, now, asks_sum)
    fleet.record_sent(heartbeat, now)
    if state.agent is not None:
        state.agent.reported_load.record_report(heartbeat.load, now)
    return [SendMessage(address, heartbeat) for address in addresses]


def send_skipped_heartbeat(state: State, now: float) -> list[Effect]:
    """Send the skipped heartbeat, if there is one, as soon as work arrives."""
    return send_heartbeat(state, now) if state.fleet.has_skipped_heartbeat else []


def build_heartbeat(state: State, now: float, asks_sum: bool = False) -> Heartbeat:
    """Return this node's heartbeat, dated `now`."""
    return Heartbeat(
        sender=state.node.name,
        endpoint=state.agent.endpoint if state.agent else "",
        incarnation=state.incarnation,
        is_leaving=state.is_leaving,
        load=state.agent.compute_load() if state.agent else Load(),
        revision=state.configuration.revision,
        peer_address=state.node.peer_address,
        epoch=state.fleet.epoch,
        version=state.fleet.version,
        suspects_version=state.suspects.version,
        replica_suspects_version=_get_replica_suspects_version(state),
        evacuations_revision=state.evacuations.revision,
        ranks=state.agent.compute_rank_loads() if state.agent else (),
        sent_at=now,
        asks_sum=asks_sum,
        limits=state.gateway.limits.list_reports(now) if state.gateway else (),
        limits_version=(
            state.gateway.limits.version if state.gateway else ListVersion()
        ),
        cold_rates=describe_cold_rates(state),
        busy_replicas=(state.gateway.busy.take_reports(now) if state.gateway else ()),
    )


def _get_replica_suspects_version(state: State) -> int:
    return state.gateway.crashes.suspects.version if state.gateway else 0


def build_sum_timer(agent: AgentState, state: State, now: float) -> list[Effect]:
    """Return the timer after which other control hosts are sent a sum request."""
    if not is_bound_above_floor(agent, state):
        return []
    return [SetTimer(now + SUM_TIMEOUT, LoadSumOverdue(now))]


def needs_sum(state: State) -> bool:
    """Return whether the endpoint's load bound needs a sum that has not arrived."""
    agent = state.agent
    if agent is None or not state.fleet.is_sum_missing():
        return False
    return is_bound_above_floor(agent, state)


@reduce.register
def _(event: LoadSumOverdue, state: State, now: float) -> list[Effect]:
    if not needs_sum(state):
        return []
    request = build_heartbeat(state, now, asks_sum=True)
    return [
        SendMessage(address, request)
        for address in state.control_addresses
        if address != state.fleet.leader_address
    ]


def retry_stalled_attempts(state: State, now: float) -> list[Effect]:
    """Retry attempts whose endpoint is lost and silent on other endpoints.

    A request that may not be repeated waits for its endpoint until its deadline.
    """
    stalled = [
        exchange
        for exchange in state.router.exchanges.values()
        if exchange.attempt
        and exchange.request.is_repeatable
        and now - exchange.last_activity_at > STALL_TIMEOUT
        and state.fleet.is_lost(exchange.endpoint)
    ]
    return [
        effect
        for exchange in stalled
        for effect in handle_endpoint_loss(exchange, True, state, now)
    ]


@reduce.register
def _(event: Heartbeat, state: State, now: float) -> list[Effect]:
    state.load_table.record_heartbeat(event, state.configuration, now)
    sums = answer_sum_request(event, state, now)
    roster = state.roster
    if not is_leading(state, now) or not roster.epoch:
        hosts = _send_control_hosts(event, state)
        announced = announce_fall(event.endpoint, state, now)
        return [*sums, *hosts, *announced, *_send_newer_state(event, state)]
    roster.record_heartbeat(event, state.configuration, now)
    if not event.endpoint:
        state.router_heartbeats[event.peer_address] = now
    limits_version, limits = answer_limit_reports(event, state, now)
    busy_replicas = answer_busy_reports(event, state, now)
    changes = roster.page_changes(event.epoch, event.version)
    loads = _list_service_loads(event, state, now)
    falls = state.load_table.falls
    falls.sent_sums.update((event.endpoint, SentSum(item.load, now)) for item in loads)
    list_version, list_age = describe_shared_list(state, now)
    answer = HeartbeatAnswer(
        sender=state.node.name,
        peer_address=state.node.peer_address,
        revision=state.configuration.revision,
        loads=loads,
        endpoints=changes.states,
        epoch=roster.epoch,
        base_version=event.version if event.epoch == roster.epoch else 0,
        version=changes.version,
        control_addresses=_list_control_addresses(state),
        routers=len(state.router_heartbeats) if state.discovers_control_hosts else 0,
        list_version=list_version,
        list_age=list_age,
        limits_version=limits_version,
        limits=limits,
        busy_replicas=busy_replicas,
    )
    return [
        *sums,
        SendMessage(event.peer_address, answer),
        *announce_fall(event.endpoint, state, now),
        *_send_newer_state(event, state),
        *send_due_order(event, state, now),
    ]


def _send_newer_state(event: Heartbeat, state: State) -> list[Effect]:
    """Send a node what it lacks of the agreed state; it may not reach the leader."""
    return [
        *send_newer_suspects(event, state),
        *send_newer_replica_suspects(event, state),
        *send_newer_evacuations(event, state),
    ]


def _send_control_hosts(event: Heartbeat, state: State) -> list[Effect]:
    """Send a node that may not know the leader the addresses of the control hosts."""
    addresses = _list_control_addresses(state)
    if not addresses:
        return []
    message = ControlHostsTold(state.node.name, addresses)
    return [SendMessage(event.peer_address, message)]


@reduce.register
def _(event: ControlHostsTold, state: State, now: float) -> list[Effect]:
    known = state.control_addresses
    new = [item for item in event.peer_addresses if item not in known]
    if not new or not state.discovers_control_hosts:
        return []
    state.control_addresses = (*known, *new)[:MAX_CONTROL_HOSTS]
    return send_heartbeat(state, now)


def _list_control_addresses(state: State) -> tuple[str, ...]:
    replication = state.control.replication
    if replication is None or not state.discovers_control_hosts:
        return ()
    members = tuple(item.peer_address for item in replication.membership.members)
    return members or tuple(replication.discovered_addresses)


def _list_service_loads(
    event: Heartbeat, state: State, now: float
) -> tuple[ServiceLoad, ...]:
    endpoint = state.configuration.find_endpoint(event.endpoint)
    if endpoint is None or not is_settled_leader(endpoint.service, state, now):
        return ()
    return (compute_service_total(endpoint.service, state, now),)


@reduce.register
def _(event: HeartbeatAnswer, state: State, now: float) -> list[Effect]:
    restarted = state.fleet.list_restarted(event)
    if not state.fleet.apply_answer(event, now):
        return []
    state.control_addresses = event.control_addresses or state.control_addresses
    if state.gateway is not None and event.routers:
        state.gateway.router_count = event.routers
    confirm_limits(event, state, now)
    apply_busy_replicas(event, state, now)
    for endpoint in restarted:
        state.router.backoff.clear_leaving(endpoint)
    return [
        *reduce(LoadsReceived(), state, now),
        *request_newer_configuration(event.revision, state, event.peer_address),
        *confirm_list(
            event.list_version, event.list_age, event.peer_address, state, now
        ),
    ]


@reduce.register
def _(event: LivenessCheckDue, state: State, now: float) -> list[Effect]:
    timer = SetTimer(
        compute_next_tick(now, LIVENESS_CHECK_INTERVAL, state.incarnation),
        LivenessCheckDue(),
    )
    roster = state.roster
    is_leader = is_leading(state, now)
    _remove_silent_routers(state, now)
    timeout = HEARTBEAT_TIMEOUT if is_leader else LOAD_TIMEOUT
    state.load_table.sweep(state.configuration, timeout, now)
    if not is_leader:
        roster.epoch = ""
        return [timer]
    if not roster.epoch:
        roster.begin_epoch(state.create_id(), now)
    version = roster.version
    roster.publish_changes(state.configuration, now)
    logs = [
        LogEvent(
            "GW5003",
            (
                ("endpoint", item.endpoint),
                ("live", str(item.is_live)),
                ("leaving", str(item.is_leaving)),
                ("held", str(item.is_held)),
            ),
        )
        for item in roster.list_changes(roster.epoch, version)
    ]
    return [
        timer,
        *logs,
        *_send_region_loads(state),
        *offer_due_trials(state, now),
    ]


def _remove_silent_routers(state: State, now: float) -> None:
    for address, last_heartbeat_at in list(state.router_heartbeats.items()):
        if now - last_heartbeat_at > ROUTER_TIMEOUT:
            del state.router_heartbeats[address]
            state.limit_table.remove_router(address)


def _send_region_loads(state: State) -> list[Effect]:
    message = RegionLoads(
        sender=state.node.name,
        region=state.node.region,
        loads=state.load_table.list_sums(),
    )
    return [SendMessage(address, message) for address in state.region_addresses]


@reduce.register
def _(event: RegionLoads, state: State, now: float) -> list[Effect]:
    if event.region != state.node.region:
        state.load_table.record_region(event, now)
    return []


@reduce.register
def _(event: PlatformPollDue, state: State, now: float) -> list[Effect]:
    tick = compute_next_tick(now, PLATFORM_POLL_INTERVAL, state.incarnation)
    timer = SetTimer(tick, PlatformPollDue())
    if not is_leading(state, now):
        return [timer]
    return [timer, FetchHosts(state.platform_address)]


@reduce.register
def _(event: PlatformHostsListed, state: State, now: float) -> list[Effect]:
    state.roster.set_platform_hosts(event.hosts)
    return []
