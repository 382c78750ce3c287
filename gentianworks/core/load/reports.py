"""Load reports: an agent reports changes of load between heartbeats.

The rate of reports is limited over the fleet: in a larger fleet one endpoint matters
less to the mean, and the heartbeats report many changes a second anyway.
"""

from __future__ import annotations

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage, SetTimer
from gentianworks.core.events.engines import LoadsReceived
from gentianworks.core.events.membership import (
    LoadFell,
    LoadReport,
    LoadReportDue,
    LoadSum,
)
from gentianworks.core.load.agent_bounds import (
    compute_agent_bound,
    find_service,
    is_bound_above_floor,
)
from gentianworks.core.load.bound import compute_fresh_bound
from gentianworks.core.membership.fleet import HEARTBEAT_INTERVAL
from gentianworks.core.reducer import reduce
from gentianworks.core.state import State

MIN_REPORT_INTERVAL = 0.1  # seconds
MAX_REPORT_RATE = 200.0  # reports a second over the fleet
MIN_CHANGE = 0.0625  # fraction of the last reported load


def report_load_change(agent: AgentState, state: State, now: float) -> list[Effect]:
    """Report a significant change of load to the control host that sent the sum."""
    reported, interval = agent.reported_load, _compute_interval(state)
    if reported.is_scheduled or interval >= HEARTBEAT_INTERVAL:
        return []
    if not state.fleet.has_recent_sums(now) or not _is_significant(agent, state):
        return []
    due = reported.reported_at + interval
    if now < due:
        reported.is_scheduled = True
        return [SetTimer(due, LoadReportDue())]
    return _send_report(agent, state, now)


def _compute_interval(state: State) -> float:
    """Return the seconds between two reports of one endpoint."""
    endpoints = len(state.configuration.endpoints)
    return max(MIN_REPORT_INTERVAL, endpoints / MAX_REPORT_RATE)


def _is_significant(agent: AgentState, state: State) -> bool:
    """Return whether the load has changed by more than the bounds can ignore."""
    if not is_bound_above_floor(agent, state):
        return False
    before, present = agent.reported_load.load, agent.compute_load()
    changed = abs(present.requests - before.requests)
    return changed > MIN_CHANGE * before.requests


def _send_report(agent: AgentState, state: State, now: float) -> list[Effect]:
    load = agent.compute_load()
    agent.reported_load.record_report(load, now)
    report = LoadReport(
        sender=state.node.name,
        endpoint=agent.endpoint,
        incarnation=state.incarnation,
        load=load,
    )
    return [SendMessage(state.fleet.loads_source, report)]


@reduce.register
def _(event: LoadReportDue, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None:
        return []
    agent.reported_load.is_scheduled = False
    return report_load_change(agent, state, now)


@reduce.register
def _(event: LoadFell, state: State, now: float) -> list[Effect]:
    if not state.fleet.apply_fallen_sum(event, now):
        return []
    return reduce(LoadsReceived(), state, now)


@reduce.register
def _(event: LoadSum, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None or not state.fleet.is_preferred(event):
        return []
    if not event.is_whole and _is_too_low(event, agent, state, now):
        return []
    state.fleet.apply_sum(event)
    return reduce(LoadsReceived(), state, now)


def _is_too_low(event: LoadSum, agent: AgentState, state: State, now: float) -> bool:
    """Return whether an incomplete sum allows less than the one in use."""
    service = find_service(agent, state)
    if service is None or event.peer_address == state.fleet.loads_source:
        return False
    offered = compute_fresh_bound(service, event.total.load)
    return offered.is_below(compute_agent_bound(agent, state, now))
