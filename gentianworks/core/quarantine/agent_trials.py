"""Agent trials: requests for permission to run a suspect, and their ends.

At most one copy of a suspect runs in the fleet. A suspect at the head of the queue is
taken out until a control host grants it the trial; it then returns to its place in the
queue and starts once nothing else runs at the endpoint.
"""

from __future__ import annotations

from gentianworks.core.agents.attempts import AgentState, Attempt
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SetTimer
from gentianworks.core.events.base import Message
from gentianworks.core.events.quarantine import TrialEnded, TrialRetryDue, TrialWanted
from gentianworks.core.ledger.claimed_runs import CLAIMED_RUN_TIMEOUT
from gentianworks.core.quarantine.crashes import AgentTrial, TrialStage
from gentianworks.core.quarantine.enforcement import is_suspect
from gentianworks.core.replication.control_hosts import send_to_control
from gentianworks.core.state import State
from gentianworks.core.types import AttemptId

TRIAL_RETRY_INTERVAL = 0.25  # seconds
MAX_TRIAL_END_SENDS = 20


def needs_trial(attempt: Attempt, agent: AgentState, state: State, now: float) -> bool:
    """Return whether an attempt is a suspect without a granted trial."""
    if not state.control_addresses or not is_suspect(attempt, state, now):
        return False
    trial = agent.trials.get(attempt.id)
    return trial is None or trial.stage is not TrialStage.GRANTED


def request_trial(
    attempt: Attempt, agent: AgentState, state: State, now: float
) -> list[Effect]:
    """Take a suspect out of the queue and request its trial from a control host."""
    agent.withdraw(attempt.id)
    trial = AgentTrial(attempt.fingerprint, last_answer_at=now)
    agent.trials[attempt.id] = trial
    return send_trial_message(attempt.id, trial, agent, state, now)


def _is_first_copy(attempt: AttemptId, trial: AgentTrial, agent: AgentState) -> bool:
    """Return whether no earlier copy of the request at this agent has an open trial."""
    open_trials = (
        name
        for name, other in agent.trials.items()
        if other.fingerprint == trial.fingerprint
        and other.stage is not TrialStage.ENDED
    )
    return next(open_trials, attempt) == attempt


def end_finished_trials(agent: AgentState, state: State, now: float) -> list[Effect]:
    """End the trials of attempts that have ended."""
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
    """Request or end a trial, and set a timer that repeats it without an answer."""
    timer = SetTimer(now + TRIAL_RETRY_INTERVAL, TrialRetryDue(attempt))
    if trial.stage is TrialStage.WANTED and not _is_first_copy(attempt, trial, agent):
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
            lifetime=_compute_lifetime(agent.attempts[attempt], now),
        )
    return [*send_to_control(message, trial.send_count, state), timer]


def _compute_lifetime(attempt: Attempt, now: float) -> float:
    """Return the seconds from now for which an attempt could run at most."""
    remaining = max(0.0, attempt.deadline - now)
    if attempt.dispatch.claim is None:
        return remaining
    return max(remaining, attempt.start_deadline - now + CLAIMED_RUN_TIMEOUT)
