"""Lifecycle: the start of a process, and its graceful stop after it is idle."""

from __future__ import annotations

from gentianworks.core.agents.drain import start_drain
from gentianworks.core.agents.reconciliation import start_reconciliation
from gentianworks.core.agents.registration import start_registration
from gentianworks.core.configuration.distribution import start_distribution
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SetTimer, StopProcess
from gentianworks.core.events.gateway import GraceEnding
from gentianworks.core.events.lifecycle import (
    ProcessStarted,
    ShutdownRequested,
    StopCheckDue,
)
from gentianworks.core.membership.heartbeats import send_heartbeat, start_heartbeats
from gentianworks.core.membership.seeds import start_seed_checks
from gentianworks.core.reducer import reduce
from gentianworks.core.replica_list.discovery import start_discovery
from gentianworks.core.replication.handover import begin_handover, is_handover_complete
from gentianworks.core.state import State
from gentianworks.core.types import Role

STOP_CHECK_INTERVAL = 0.1  # seconds
GRACE_MARGIN = 0.5  # seconds, for the last answers to reach their callers


@reduce.register
def _(event: ProcessStarted, state: State, now: float) -> list[Effect]:
    state.incarnation = event.incarnation
    return [
        *start_distribution(state, now),
        *start_heartbeats(state, now),
        *start_reconciliation(state, now),
        *start_registration(state, now),
        *start_discovery(state, now),
        *start_seed_checks(state, now),
    ]


@reduce.register
def _(event: ShutdownRequested, state: State, now: float) -> list[Effect]:
    state.is_leaving = True
    state.last_answer_at = now + state.grace_time - GRACE_MARGIN
    stop = SetTimer(now + state.drain_time, StopCheckDue())
    return [
        stop,
        *_announce_departure(state, now),
        *begin_handover(state, now),
        *start_drain(state, now),
        *_time_last_answers(state),
    ]


def _time_last_answers(state: State) -> list[Effect]:
    if state.gateway is None or state.last_answer_at == float("inf"):
        return []
    return [SetTimer(state.last_answer_at, GraceEnding())]


def _announce_departure(state: State, now: float) -> list[Effect]:
    if state.node.role is Role.CONTROL:
        return []
    return send_heartbeat(state, now)


@reduce.register
def _(event: StopCheckDue, state: State, now: float) -> list[Effect]:
    # A gateway doesn't wait until it is idle: under steady traffic it would never stop.
    # Its server accepts no more connections and lets the calls in flight finish.
    if state.gateway is not None or (
        _is_idle(state) and is_handover_complete(state, now)
    ):
        return [StopProcess()]
    return [SetTimer(now + STOP_CHECK_INTERVAL, StopCheckDue())]


def _is_idle(state: State) -> bool:
    agent = state.agent
    has_work = agent is not None and bool(
        agent.attempts
        or agent.claims.buffered_answers
        or agent.cache.moves
        or state.pending_crashes
    )
    return not (state.router.exchanges or has_work)
