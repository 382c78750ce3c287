"""Enforcement: checks of suspects at routers and agents, and reports of crashes.

A router or agent refuses a quarantined request; an agent runs a suspect alone and
reports each call that a crash of its engine cut off.
"""

from __future__ import annotations

from gentianworks.core.agents.attempts import AgentState, Attempt
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent, SetTimer
from gentianworks.core.events.engines import CallFailure
from gentianworks.core.events.quarantine import (
    CrashAcknowledged,
    CrashReported,
    CrashRetryDue,
)
from gentianworks.core.quarantine.crashes import LastCrash, PendingCrash
from gentianworks.core.quarantine.fingerprints import compute_fingerprint
from gentianworks.core.quarantine.suspects import Suspect
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.control_hosts import send_to_control
from gentianworks.core.state import State
from gentianworks.core.types import Problem, ProblemKind, Request

CRASH_RETRY_INTERVAL = 0.2  # seconds
MAX_CRASH_SENDS = 5
ENGINE_EXIT_TIME = 0.5  # seconds
CRASH_FAILURE_WINDOW = 2.0  # seconds within which all calls of a crashed engine fail


def check_quarantine(request: Request, state: State, now: float) -> Problem | None:
    """Return the problem of a quarantined request, or None for any other."""
    if not state.suspects.suspects:
        return None
    suspect = state.suspects.get(compute_fingerprint(request), now)
    if suspect is None or not suspect.is_quarantined:
        return None
    return build_quarantine_problem(suspect)


def build_quarantine_problem(suspect: Suspect) -> Problem:
    """Return the problem with which a quarantined request is refused."""
    return Problem(
        ProblemKind.QUARANTINED,
        f"The request has crashed {suspect.crashes} engines and is quarantined; "
        f"change it, or have an operator run 'release {suspect.fingerprint}'.",
    )


def is_suspect(attempt: Attempt, state: State, now: float) -> bool:
    """Return whether an attempt's request was in flight when an engine crashed."""
    if attempt.dispatch.crashes > 0:
        return True
    if not state.suspects.suspects and not state.pending_crashes:
        return False
    fingerprint = attempt.fingerprint
    pending = state.pending_crashes.values()
    if any(item.report.fingerprint == fingerprint for item in pending):
        return True
    return state.suspects.get(fingerprint, now) is not None


def may_start(attempt: Attempt, agent: AgentState, state: State, now: float) -> bool:
    """Return whether an attempt may start while the running attempts continue.

    A suspect runs alone, so that a crash is certainly its own and cuts off no other
    request.
    """
    running = agent.list_running()
    if any(is_suspect(item, state, now) for item in running):
        return False
    return not running or not is_suspect(attempt, state, now)


def would_run_on_exiting_engine(
    attempt: Attempt, agent: AgentState, state: State, now: float
) -> bool:
    """Return whether an attempt is a suspect and the engine is exiting after a crash.

    Its call would be cut off and counted as a second crash of the request.
    """
    is_exiting = now - agent.last_crash.crashed_at < ENGINE_EXIT_TIME
    return is_exiting and is_suspect(attempt, state, now)


def report_engine_crash(
    attempt: Attempt,
    failure: CallFailure,
    agent: AgentState,
    effects: list[Effect],
    state: State,
    now: float,
) -> list[Effect]:
    """Report a crash and defer the effects of a failure until it is acknowledged.

    Every agent then knows the suspect before the caller can retry. The command that
    counts the crash also ends the trial, so that no other copy starts earlier.
    """
    if failure is not CallFailure.CUT or not state.control_addresses:
        return effects
    agent.trials.pop(attempt.id, None)
    report = CrashReported(
        sender=state.node.name,
        peer_address=state.node.peer_address,
        report=state.create_id(),
        incident=_identify_incident(attempt, agent, state, now),
        fingerprint=attempt.fingerprint,
        service=attempt.dispatch.request.service,
    )
    crash = PendingCrash(report, effects)
    state.pending_crashes[report.report] = crash
    log = LogEvent("GW3002", (("fingerprint", report.fingerprint),))
    return [log, *_send_report(crash, state, now)]


def _identify_incident(
    attempt: Attempt, agent: AgentState, state: State, now: float
) -> str:
    """Return the incident id that all calls lost in one crash share."""
    crash = agent.last_crash
    is_same = (
        attempt.called_at <= crash.crashed_at
        and now - crash.crashed_at < CRASH_FAILURE_WINDOW
    )
    if not is_same:
        agent.last_crash = LastCrash(state.create_id(), now)
    return agent.last_crash.incident


def _send_report(crash: PendingCrash, state: State, now: float) -> list[Effect]:
    crash.send_count += 1
    timer = SetTimer(now + CRASH_RETRY_INTERVAL, CrashRetryDue(crash.report.report))
    return [*send_to_control(crash.report, crash.send_count, state), timer]


@reduce.register
def _(event: CrashRetryDue, state: State, now: float) -> list[Effect]:
    crash = state.pending_crashes.get(event.report)
    if crash is None:
        return []
    if crash.send_count < MAX_CRASH_SENDS:
        return _send_report(crash, state, now)
    del state.pending_crashes[event.report]
    return crash.deferred_effects


@reduce.register
def _(event: CrashAcknowledged, state: State, now: float) -> list[Effect]:
    crash = state.pending_crashes.pop(event.report, None)
    return [] if crash is None else crash.deferred_effects
