"""Trials: how an agent lets at most one copy of a suspect run in the whole fleet.

A suspect that is next in the queue is set aside until control grants it the trial of
its request; then it goes back to its place and starts once nothing else runs there.
"""

from __future__ import annotations

from gentianworks.core.agents.attempts import AgentState, Attempt
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SetTimer
from gentianworks.core.events.base import Message
from gentianworks.core.events.quarantine import TrialDue, TrialEnded, TrialWanted
from gentianworks.core.ledger.recording import CLAIMED_RUN_TIMEOUT
from gentianworks.core.quarantine.crashes import AgentTrial, TrialStage
from gentianworks.core.quarantine.enforcement import is_suspect
from gentianworks.core.replication.control_hosts import send_to_control
from gentianworks.core.state import State
from gentianworks.core.types import AttemptId

TRIAL_RETRY_INTERVAL = 0.25  # seconds
MAX_TRIAL_END_SENDS = 20


def needs_trial(attempt: Attempt, agent: AgentState, state: State, now: float) -> bool:
    """Tell whether an attempt is a suspect that control has not let run yet."""
    if not state.control_addresses or not is_suspect(attempt, state, now):
        return False
    trial = agent.trials.get(attempt.id)
    return trial is None or trial.stage is not TrialStage.GRANTED


def request_trial(
    attempt: Attempt, agent: AgentState, state: State, now: float
) -> list[Effect]:
    """Set a suspect aside and ask control to let it run."""
    agent.withdraw(attempt.id)
    trial = AgentTrial(attempt.fingerprint, last_answer_at=now)
    agent.trials[attempt.id] = trial
    return send_trial_message(attempt.id, trial, agent, state, now)


def _is_turn(attempt: AttemptId, trial: AgentTrial, agent: AgentState) -> bool:
    """Tell whether no other copy of a request at this agent goes first."""
    open_trials = (
        name
        for name, other in agent.trials.items()
        if other.fingerprint == trial.fingerprint
        and other.stage is not TrialStage.ENDED
    )
    return next(open_trials, attempt) == attempt


def end_finished_trials(agent: AgentState, state: State, now: float) -> list[Effect]:
    """End the trials of the attempts that are over."""
    effects: list[Effect] = []
    for attempt, trial in list(agent.trials.items()):
        if attempt in agent.attempts or trial.stage is TrialStage.ENDED:
            continue
        if trial.send_count == 0:
            del agent.trials[attempt]
            continue
        trial.stage = TrialStage.ENDED
        trial.send_count = 0
        effects += send_trial_message(attempt, trial, agent, state, now)
    return effects


def send_trial_message(
    attempt: AttemptId, trial: AgentTrial, agent: AgentState, state: State, now: float
) -> list[Effect]:
    """Ask for a trial or end it, and do so again unless control answers."""
    timer = SetTimer(now + TRIAL_RETRY_INTERVAL, TrialDue(attempt))
    if trial.stage is TrialStage.WANTED and not _is_turn(attempt, trial, agent):
        trial.last_answer_at = now
        return [timer]
    trial.send_count += 1
    message: Message
    if trial.stage is TrialStage.ENDED:
        message = TrialEnded(
            sender=state.node.name,
            peer_address=state.node.peer_address,
            fingerprint=trial.fingerprint,
            attempt=attempt,
        )
    else:
        message = TrialWanted(
            sender=state.node.name,
            peer_address=state.node.peer_address,
            fingerprint=trial.fingerprint,
            attempt=attempt,
            lifetime=_find_lifetime(agent.attempts[attempt], now),
        )
    return [*send_to_control(message, trial.send_count, state), timer]


def _find_lifetime(attempt: Attempt, now: float) -> float:
    """Return for how many seconds from now an attempt could run at most."""
    left = max(0.0, attempt.deadline - now)
    if attempt.dispatch.claim is None:
        return left
    return max(left, attempt.start_by - now + CLAIMED_RUN_TIMEOUT)
