"""Suspect updates: handlers for lists of suspects and for answers on trials."""

from __future__ import annotations

from attrs import evolve

from gentianworks.core.admission.preemption import suspend_attempt
from gentianworks.core.agents.attempts import AgentState, Attempt
from gentianworks.core.agents.scheduler import refuse_attempt, start_queued
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.engines import CancelEngineCall
from gentianworks.core.effects.lifecycle import LogEvent
from gentianworks.core.events.quarantine import (
    SuspectsChanged,
    TrialAnswered,
    TrialClosed,
    TrialEnded,
    TrialRetryDue,
)
from gentianworks.core.load.agent_bounds import is_model
from gentianworks.core.quarantine.agent_trials import (
    MAX_TRIAL_END_SENDS,
    end_finished_trials,
    send_trial_message,
)
from gentianworks.core.quarantine.crashes import AgentTrial, TrialStage
from gentianworks.core.quarantine.enforcement import build_quarantine_problem
from gentianworks.core.quarantine.suspects import Suspect
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.control_hosts import send_to_control
from gentianworks.core.state import State
from gentianworks.core.types import RunState

TRIAL_ANSWER_TIMEOUT = 5.0  # seconds without an answer from a control host


@reduce.register
def _(event: SuspectsChanged, state: State, now: float) -> list[Effect]:
    state.suspects.update(event.version, event.suspects)
    agent = state.agent
    if agent is None or not state.suspects.suspects:
        return []
    effects: list[Effect] = []
    for attempt in list(agent.attempts.values()):
        suspect = state.suspects.get(attempt.fingerprint, now)
        if suspect is not None:
            effects += _refuse_or_suspend(attempt, suspect, agent, state, now)
    return [*effects, *start_queued(agent, state, now)]


def _refuse_or_suspend(
    attempt: Attempt, suspect: Suspect, agent: AgentState, state: State, now: float
) -> list[Effect]:
    """Refuse a quarantined request; suspend a suspect that runs without a trial."""
    if suspect.is_quarantined:
        return _refuse(attempt, suspect, agent, state, now)
    if attempt.id not in agent.running or attempt.id in agent.trials:
        return []
    can_stop = is_model(agent, state) and agent.can_resume and attempt.can_suspend
    if not can_stop:
        return []
    log = LogEvent("GW4006", (("attempt", attempt.id),))
    return [log, *suspend_attempt(attempt, agent)]


def _refuse(
    attempt: Attempt, suspect: Suspect, agent: AgentState, state: State, now: float
) -> list[Effect]:
    problem = build_quarantine_problem(suspect)
    if attempt.call_count > 0:
        has_started = attempt.has_started
        run_state = RunState.RAN if has_started else RunState.UNKNOWN
        problem = evolve(problem, run_state=run_state)
    if agent.is_waiting(attempt.id):
        agent.withdraw(attempt.id)
        return refuse_attempt(attempt.id, problem, agent, state, now)
    if not attempt.dispatch.request.is_repeatable:
        return []
    cancel = CancelEngineCall(attempt.id)
    return [cancel, *refuse_attempt(attempt.id, problem, agent, state, now)]


@reduce.register
def _(event: TrialAnswered, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None:
        return []
    trial = agent.trials.get(event.attempt)
    if trial is None:
        return _return_late_grant(event, state)
    if not agent.awaits_trial(event.attempt) or event.attempt not in agent.attempts:
        return []
    trial.last_answer_at = now
    if not event.is_granted:
        return []
    return _start_trial(event.attempt, trial, agent, state, now)


def _return_late_grant(event: TrialAnswered, state: State) -> list[Effect]:
    """Return a trial that was granted after its attempt had ended.

    While a report of the request's crash is pending, the trial stays open: the
    command that counts the crash ends it.
    """
    pending = state.pending_crashes.values()
    has_crash = any(item.report.fingerprint == event.fingerprint for item in pending)
    if has_crash or not event.is_granted:
        return []
    ended = TrialEnded(
        sender=state.node.name,
        peer_address=state.node.peer_address,
        fingerprint=event.fingerprint,
        attempt=event.attempt,
    )
    return send_to_control(ended, 0, state)


def _start_trial(
    attempt: str, trial: AgentTrial, agent: AgentState, state: State, now: float
) -> list[Effect]:
    trial.stage = TrialStage.GRANTED
    agent.queue.requeue(agent.attempts[attempt].ticket)
    return start_queued(agent, state, now)


@reduce.register
def _(event: TrialClosed, state: State, now: float) -> list[Effect]:
    if state.agent is not None:
        state.agent.trials.pop(event.attempt, None)
    return []


@reduce.register
def _(event: TrialRetryDue, state: State, now: float) -> list[Effect]:
    agent = state.agent
    trial = agent.trials.get(event.attempt) if agent else None
    if agent is None or trial is None or trial.stage is TrialStage.GRANTED:
        return []
    if trial.stage is TrialStage.WANTED and event.attempt not in agent.attempts:
        return end_finished_trials(agent, state, now)
    if trial.stage is TrialStage.ENDED and trial.send_count >= MAX_TRIAL_END_SENDS:
        del agent.trials[event.attempt]
        return []
    is_silent = now - trial.last_answer_at > TRIAL_ANSWER_TIMEOUT
    if trial.stage is TrialStage.WANTED and is_silent:
        return _start_trial(event.attempt, trial, agent, state, now)
    return send_trial_message(event.attempt, trial, agent, state, now)
