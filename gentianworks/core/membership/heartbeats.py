"""Heartbeats: handlers that carry load and membership between nodes."""

from __future__ import annotations

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.configuration.distribution import request_newer_configuration
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent, SendMessage, SetTimer
from gentianworks.core.effects.membership import FetchHosts
from gentianworks.core.events.engines import LoadsDue, LoadsHeard
from gentianworks.core.events.membership import (
    ControlHostsTold,
    Heartbeat,
    HeartbeatAnswer,
    HeartbeatDue,
    PlatformListed,
    PlatformPollDue,
    RegionLoads,
    SumDue,
    SweepDue,
)
from gentianworks.core.load.bounds import find_service, is_above_floor
from gentianworks.core.load.falls import follow_load
from gentianworks.core.load.sums import answer_question, find_total, leads_settled
from gentianworks.core.load.table import ToldSum
from gentianworks.core.membership.membership import HEARTBEAT_INTERVAL
from gentianworks.core.membership.roster import HEARTBEAT_TIMEOUT, SWEEP_INTERVAL
from gentianworks.core.orders.ordering import give_order
from gentianworks.core.quarantine.control_quarantine import send_newer_suspects
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.elections import is_leading
from gentianworks.core.routing.answers import lose_attempt
from gentianworks.core.state import State
from gentianworks.core.ticks import find_tick
from gentianworks.core.types import Load, Role, ServiceLoad

PLATFORM_POLL_INTERVAL = 1.0  # seconds
STALL_TIMEOUT = 1.5  # seconds
ANSWER_TIMEOUT = 0.25  # seconds
SUM_TIMEOUT = 0.1  # seconds
LOAD_TIMEOUT = 0.75  # seconds
MAX_CONTROL_HOSTS = 16  # addresses; a group has 3 or 5, with some that were replaced
LISTENER_TIMEOUT = 5.0  # seconds; ten heartbeats


def start_heartbeats(state: State, now: float) -> list[Effect]:
    """Return the effects that begin a process's part in the membership."""
    if state.node.role is not Role.CONTROL:
        return [SetTimer(now, HeartbeatDue())]
    timers: list[Effect] = [SetTimer(now, SweepDue())]
    if state.platform_address:
        timers.append(SetTimer(now, PlatformPollDue()))
    return timers


@reduce.register
def _(event: HeartbeatDue, state: State, now: float) -> list[Effect]:
    timers: list[Effect] = [SetTimer(now + HEARTBEAT_INTERVAL, HeartbeatDue())]
    state.fleet.beat_at = now
    if may_skip_heartbeat(state):
        state.fleet.has_skipped = True
        return timers
    if state.agent is not None:
        timers.append(SetTimer(now + ANSWER_TIMEOUT, LoadsDue()))
        timers += wait_for_sum(state.agent, state, now)
    return [*timers, *send_heartbeat(state, now), *abandon_stalled(state, now)]


def may_skip_heartbeat(state: State) -> bool:
    """Tell whether an idle node's heartbeat would say again what was just answered.

    One in a row at most is skipped, and none once an answer has failed to come.
    """
    fleet = state.fleet
    if fleet.has_skipped or not fleet.is_answered() or not _is_idle(state):
        return False
    return build_heartbeat(state, fleet.told_at) == fleet.told


def _is_idle(state: State) -> bool:
    """Tell whether nothing runs or waits here, nor in the service of the endpoint."""
    agent = state.agent
    if state.gateway is not None:
        return False
    if agent is None:
        return not state.router.exchanges
    service = find_service(agent, state)
    heard = state.fleet.loads.get(service.name) if service else None
    if heard is None or agent.attempts:
        return False
    return not heard.load.requests and not heard.load.queued


def send_heartbeat(state: State, now: float) -> list[Effect]:
    """Send this node's heartbeat to the leading control host, or to all of them."""
    fleet = state.fleet
    asks_sum = lacks_sum(state)
    is_served = fleet.has_source(now) and fleet.is_answered() and not asks_sum
    addresses = [fleet.source] if is_served else state.control_addresses
    heartbeat = build_heartbeat(state, now, asks_sum)
    fleet.note_told(heartbeat, now)
    if state.agent is not None:
        state.agent.reported.note(heartbeat.load, now)
    return [SendMessage(address, heartbeat) for address in addresses]


def send_skipped(state: State, now: float) -> list[Effect]:
    """Send the heartbeat that was left out, now that work has come."""
    return send_heartbeat(state, now) if state.fleet.has_skipped else []


def build_heartbeat(state: State, now: float, asks_sum: bool = False) -> Heartbeat:
    """Return this node's heartbeat."""
    return Heartbeat(
        sender=state.node.name,
        endpoint=state.agent.endpoint if state.agent else "",
        incarnation=state.incarnation,
        is_leaving=state.is_leaving,
        load=state.agent.measure_load() if state.agent else Load(),
        revision=state.configuration.revision,
        peer_address=state.node.peer_address,
        epoch=state.fleet.epoch,
        version=state.fleet.version,
        suspects_version=state.suspects.version,
        ranks=state.agent.measure_ranks() if state.agent else (),
        sent_at=now,
        asks_sum=asks_sum,
    )


def wait_for_sum(agent: AgentState, state: State, now: float) -> list[Effect]:
    """Return the timer that asks the other hosts where the leader is silent."""
    if not is_above_floor(agent, state):
        return []
    return [SetTimer(now + SUM_TIMEOUT, SumDue(now))]


def lacks_sum(state: State) -> bool:
    """Tell whether the endpoint's bound needs a sum that the leader did not tell."""
    agent = state.agent
    if agent is None or not state.fleet.lacks_sum():
        return False
    return is_above_floor(agent, state)


@reduce.register
def _(event: SumDue, state: State, now: float) -> list[Effect]:
    if not lacks_sum(state):
        return []
    question = build_heartbeat(state, now, asks_sum=True)
    return [
        SendMessage(address, question)
        for address in state.control_addresses
        if address != state.fleet.source
    ]


def abandon_stalled(state: State, now: float) -> list[Effect]:
    """Go on elsewhere with attempts whose endpoint is lost and silent.

    Work not to be repeated waits for its endpoint until its deadline.
    """
    stalled = [
        exchange
        for exchange in state.router.exchanges.values()
        if exchange.attempt
        and exchange.request.is_repeatable
        and now - exchange.heard_at > STALL_TIMEOUT
        and state.fleet.is_lost(exchange.endpoint)
    ]
    return [
        effect
        for exchange in stalled
        for effect in lose_attempt(exchange, True, state, now)
    ]


@reduce.register
def _(event: Heartbeat, state: State, now: float) -> list[Effect]:
    state.load_table.hear(event, state.configuration, now)
    told = answer_question(event, state, now)
    roster = state.roster
    if not is_leading(state, now) or not roster.epoch:
        hosts = _tell_control_hosts(event, state)
        return [*told, *hosts, *follow_load(event.endpoint, state, now)]
    roster.hear(event, state.configuration, now)
    if not event.endpoint:
        state.listeners[event.peer_address] = now
    changes = roster.page_changes(event.epoch, event.version)
    loads = _list_loads(event, state, now)
    falls = state.load_table.falls
    falls.told.update((event.endpoint, ToldSum(item.load, now)) for item in loads)
    answer = HeartbeatAnswer(
        sender=state.node.name,
        peer_address=state.node.peer_address,
        revision=state.configuration.revision,
        loads=loads,
        endpoints=changes.states,
        epoch=roster.epoch,
        base_version=event.version if event.epoch == roster.epoch else 0,
        version=changes.version,
        control_addresses=_list_control(state),
        routers=len(state.listeners) if state.finds_control else 0,
    )
    return [
        *told,
        SendMessage(event.peer_address, answer),
        *follow_load(event.endpoint, state, now),
        *send_newer_suspects(event, state),
        *give_order(event, state, now),
    ]


def _tell_control_hosts(event: Heartbeat, state: State) -> list[Effect]:
    """Tell a node that may not know the leader where to look for it."""
    addresses = _list_control(state)
    if not addresses:
        return []
    told = ControlHostsTold(state.node.name, addresses)
    return [SendMessage(event.peer_address, told)]


@reduce.register
def _(event: ControlHostsTold, state: State, now: float) -> list[Effect]:
    known = state.control_addresses
    news = [item for item in event.peer_addresses if item not in known]
    if not news or not state.finds_control:
        return []
    state.control_addresses = (*known, *news)[:MAX_CONTROL_HOSTS]
    return send_heartbeat(state, now)


def _list_control(state: State) -> tuple[str, ...]:
    replication = state.control.replication
    if replication is None or not state.finds_control:
        return ()
    return tuple(item.peer_address for item in replication.membership.members)


def _list_loads(event: Heartbeat, state: State, now: float) -> tuple[ServiceLoad, ...]:
    endpoint = state.configuration.find_endpoint(event.endpoint)
    if endpoint is None or not leads_settled(endpoint.service, state, now):
        return ()
    return (find_total(endpoint.service, state, now),)


@reduce.register
def _(event: HeartbeatAnswer, state: State, now: float) -> list[Effect]:
    returned = state.fleet.list_returned(event)
    if not state.fleet.take_answer(event, now):
        return []
    state.control_addresses = event.control_addresses or state.control_addresses
    if state.gateway is not None and event.routers:
        state.gateway.routers = event.routers
    for endpoint in returned:
        state.router.avoidance.forget_leaving(endpoint)
    wants = request_newer_configuration(event.revision, state, event.peer_address)
    return [*reduce(LoadsHeard(), state, now), *wants]


@reduce.register
def _(event: SweepDue, state: State, now: float) -> list[Effect]:
    timer = SetTimer(find_tick(now, SWEEP_INTERVAL, state.incarnation), SweepDue())
    roster = state.roster
    is_leader = is_leading(state, now)
    _forget_listeners(state, now)
    timeout = HEARTBEAT_TIMEOUT if is_leader else LOAD_TIMEOUT
    state.load_table.sweep(state.configuration, timeout, now)
    if not is_leader:
        roster.epoch = ""
        return [timer]
    if not roster.epoch:
        roster.begin_epoch(state.create_id(), now)
    version = roster.version
    roster.sweep(state.configuration, now)
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
    return [timer, *logs, *_tell_regions(state)]


def _forget_listeners(state: State, now: float) -> None:
    for address, heard_at in list(state.listeners.items()):
        if now - heard_at > LISTENER_TIMEOUT:
            del state.listeners[address]


def _tell_regions(state: State) -> list[Effect]:
    message = RegionLoads(
        sender=state.node.name,
        region=state.node.region,
        loads=state.load_table.list_sums(),
    )
    return [SendMessage(address, message) for address in state.region_addresses]


@reduce.register
def _(event: RegionLoads, state: State, now: float) -> list[Effect]:
    if event.region != state.node.region:
        state.load_table.hear_region(event, now)
    return []


@reduce.register
def _(event: PlatformPollDue, state: State, now: float) -> list[Effect]:
    tick = find_tick(now, PLATFORM_POLL_INTERVAL, state.incarnation)
    timer = SetTimer(tick, PlatformPollDue())
    if not is_leading(state, now):
        return [timer]
    return [timer, FetchHosts(state.platform_address)]


@reduce.register
def _(event: PlatformListed, state: State, now: float) -> list[Effect]:
    state.roster.take_hosts(event.hosts)
    return []
