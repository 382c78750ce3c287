"""Lifecycle: the start of a process, and its graceful stop once it is idle."""

from __future__ import annotations

from gentianworks.core.agents.drain import start_drain
from gentianworks.core.agents.reconciliation import start_reconciliation
from gentianworks.core.agents.registration import start_registration
from gentianworks.core.configuration.distribution import start_distribution
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SetTimer, StopProcess
from gentianworks.core.events.lifecycle import ShutdownRequested, Started, StopDue
from gentianworks.core.gateway.listing import start_listing
from gentianworks.core.membership.heartbeats import send_heartbeat, start_heartbeats
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.handover import begin_handover, is_handed_over
from gentianworks.core.state import State
from gentianworks.core.types import Role

STOP_CHECK_INTERVAL = 0.1  # seconds


@reduce.register
def _(event: Started, state: State, now: float) -> list[Effect]:
    state.incarnation = event.incarnation
    return [
        *start_distribution(state, now),
        *start_heartbeats(state, now),
        *start_reconciliation(state, now),
        *start_registration(state, now),
        *start_listing(state, now),
    ]


@reduce.register
def _(event: ShutdownRequested, state: State, now: float) -> list[Effect]:
    state.is_leaving = True
    stop = SetTimer(now + state.drain_time, StopDue())
    return [
        stop,
        *_tell_leaving(state, now),
        *begin_handover(state, now),
        *start_drain(state, now),
    ]


def _tell_leaving(state: State, now: float) -> list[Effect]:
    if state.node.role is Role.CONTROL:
        return []
    return send_heartbeat(state, now)


@reduce.register
def _(event: StopDue, state: State, now: float) -> list[Effect]:
    # A gateway that waited to be idle would never stop where callers keep coming; its
    # server takes no more connections and lets the calls in flight end.
    if state.gateway is not None or (_is_idle(state) and is_handed_over(state, now)):
        return [StopProcess()]
    return [SetTimer(now + STOP_CHECK_INTERVAL, StopDue())]


def _is_idle(state: State) -> bool:
    agent = state.agent
    has_work = agent is not None and bool(
        agent.attempts or agent.claims.held or agent.cache.moves or state.held_crashes
    )
    return not (state.router.exchanges or has_work)
