"""Load reports: changes of load that do not wait for the next heartbeat.

Reports of the whole fleet are held to a rate: the larger a fleet is, the less one
endpoint matters to the mean, and its heartbeats bring many changes a second anyway.
"""

from __future__ import annotations

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage, SetTimer
from gentianworks.core.events.engines import LoadsHeard
from gentianworks.core.events.membership import (
    LoadFell,
    LoadReport,
    LoadReportDue,
    LoadSum,
)
from gentianworks.core.load.bounds import find_bound, find_service, is_above_floor
from gentianworks.core.load.load import multiply_mean
from gentianworks.core.membership.fleet import HEARTBEAT_INTERVAL
from gentianworks.core.reducer import reduce
from gentianworks.core.state import State

MIN_REPORT_INTERVAL = 0.1  # seconds
MAX_REPORT_RATE = 200.0  # reports a second of the whole fleet
MIN_CHANGE = 0.0625  # fraction of the load that was reported last


def report_change(agent: AgentState, state: State, now: float) -> list[Effect]:
    """Report the load to whoever told the sum if it has changed much."""
    reported, interval = agent.reported, _find_interval(state)
    if reported.is_due or interval >= HEARTBEAT_INTERVAL:
        return []
    if not state.fleet.has_recent_sums(now) or not _matters(agent, state):
        return []
    due = reported.at + interval
    if now < due:
        reported.is_due = True
        return [SetTimer(due, LoadReportDue())]
    return _send_report(agent, state, now)


def _find_interval(state: State) -> float:
    """Return the seconds between two reports of one endpoint."""
    endpoints = len(state.configuration.endpoints)
    return max(MIN_REPORT_INTERVAL, endpoints / MAX_REPORT_RATE)


def _matters(agent: AgentState, state: State) -> bool:
    """Tell whether the load has changed by more than the bounds can ignore."""
    if not is_above_floor(agent, state):
        return False
    before, present = agent.reported.load, agent.measure_load()
    changed = abs(present.requests - before.requests)
    return changed > MIN_CHANGE * before.requests


def _send_report(agent: AgentState, state: State, now: float) -> list[Effect]:
    load = agent.measure_load()
    agent.reported.note(load, now)
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
    agent.reported.is_due = False
    return report_change(agent, state, now)


@reduce.register
def _(event: LoadFell, state: State, now: float) -> list[Effect]:
    if not state.fleet.apply_fallen_sum(event, now):
        return []
    return reduce(LoadsHeard(), state, now)


@reduce.register
def _(event: LoadSum, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None or not state.fleet.is_preferred(event):
        return []
    if not event.is_whole and _is_too_low(event, agent, state, now):
        return []
    state.fleet.apply_sum(event)
    return reduce(LoadsHeard(), state, now)


def _is_too_low(event: LoadSum, agent: AgentState, state: State, now: float) -> bool:
    """Tell whether the sum that is held allows more than one that is not whole."""
    service = find_service(agent, state)
    if service is None or event.peer_address == state.fleet.loads_source:
        return False
    told = multiply_mean(service, event.total.load)
    return told.is_below(find_bound(agent, state, now))
