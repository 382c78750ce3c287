"""Quarantine: what routers and agents do about requests that crashed an engine."""

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
CRASH_FAILURE_WINDOW = 2.0  # seconds in which all calls of a lost engine have failed


def check_quarantine(request: Request, state: State, now: float) -> Problem | None:
    """Return why a request must not run anywhere, or None."""
    if not state.suspects.suspects:
        return None
    suspect = state.suspects.get(compute_fingerprint(request), now)
    if suspect is None or not suspect.is_quarantined:
        return None
    return build_quarantine_problem(suspect)


def build_quarantine_problem(suspect: Suspect) -> Problem:
    """Return the problem of a request that is quarantined."""
    return Problem(
        ProblemKind.QUARANTINED,
        f"The request has crashed {suspect.crashes} engines and is quarantined; "
        f"change it, or have an operator run 'release {suspect.fingerprint}'.",
    )


def is_suspect(attempt: Attempt, state: State, now: float) -> bool:
    """Tell whether an attempt's request was in flight when an engine crashed."""
    if attempt.dispatch.crashes > 0:
        return True
    if not state.suspects.suspects and not state.held_crashes:
        return False
    fingerprint = attempt.fingerprint
    held = state.held_crashes.values()
    if any(item.report.fingerprint == fingerprint for item in held):
        return True
    return state.suspects.get(fingerprint, now) is not None


def may_start(attempt: Attempt, agent: AgentState, state: State, now: float) -> bool:
    """Tell whether an attempt may start beside what runs.

    A suspect runs alone, so that a crash convicts it and hurts no other request.
    """
    running = agent.list_running()
    if any(is_suspect(item, state, now) for item in running):
        return False
    return not running or not is_suspect(attempt, state, now)


def would_run_on_exiting_engine(
    attempt: Attempt, agent: AgentState, state: State, now: float
) -> bool:
    """Tell whether a suspect would start on an engine that is just going down.

    Its call would be cut and taken for the crash that convicts it.
    """
    is_down = now - agent.last_crash.crashed_at < ENGINE_EXIT_TIME
    return is_down and is_suspect(attempt, state, now)


def report_engine_crash(
    attempt: Attempt,
    failure: CallFailure,
    agent: AgentState,
    effects: list[Effect],
    state: State,
    now: float,
) -> list[Effect]:
    """Report a crash and hold the effects of a failure until the fleet knows.

    The caller's next try then finds every agent warned. The log ends the trial of a
    suspect as it counts its crash, so that no other copy starts before.
    """
    if failure is not CallFailure.CUT or not state.control_addresses:
        return effects
    agent.trials.pop(attempt.id, None)
    report = CrashReported(
        sender=state.node.name,
        peer_address=state.node.peer_address,
        report=state.create_id(),
        incident=_name_incident(attempt, agent, state, now),
        fingerprint=attempt.fingerprint,
        service=attempt.dispatch.request.service,
    )
    held = PendingCrash(report, effects)
    state.held_crashes[report.report] = held
    log = LogEvent("GW3002", (("fingerprint", report.fingerprint),))
    return [log, *_report(held, state, now)]


def _name_incident(
    attempt: Attempt, agent: AgentState, state: State, now: float
) -> str:
    """Return one name for all calls that were lost with the engine."""
    crash = agent.last_crash
    is_same = (
        attempt.called_at <= crash.crashed_at
        and now - crash.crashed_at < CRASH_FAILURE_WINDOW
    )
    if not is_same:
        agent.last_crash = LastCrash(state.create_id(), now)
    return agent.last_crash.incident


def _report(held: PendingCrash, state: State, now: float) -> list[Effect]:
    held.send_count += 1
    timer = SetTimer(now + CRASH_RETRY_INTERVAL, CrashRetryDue(held.report.report))
    return [*send_to_control(held.report, held.send_count, state), timer]


@reduce.register
def _(event: CrashRetryDue, state: State, now: float) -> list[Effect]:
    held = state.held_crashes.get(event.report)
    if held is None:
        return []
    if held.send_count < MAX_CRASH_SENDS:
        return _report(held, state, now)
    del state.held_crashes[event.report]
    return held.deferred_effects


@reduce.register
def _(event: CrashAcknowledged, state: State, now: float) -> list[Effect]:
    held = state.held_crashes.pop(event.report, None)
    return [] if held is None else held.deferred_effects
