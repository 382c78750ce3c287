"""Scheduler: starts an agent's queued attempts, or refuses those that are too late."""

from __future__ import annotations

import math

from gentianworks.core.admission.levels import get_level
from gentianworks.core.admission.wait_estimates import MIN_RETRY_AFTER, QueueKey
from gentianworks.core.agents.attempts import AgentState, Attempt
from gentianworks.core.agents.invariants import check_agent
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.dispatch import CloseDispatch, SendFrame
from gentianworks.core.effects.engines import CallEngine, CancelEngineCall
from gentianworks.core.events.configuration import ConfigurationActivated
from gentianworks.core.events.dispatch import AttemptRefused, RouterDisconnected
from gentianworks.core.events.engines import QueueTimedOut
from gentianworks.core.ledger.claimed_runs import (
    compute_run_timeout,
    mark_refused,
    mark_running,
    void_unless_running,
)
from gentianworks.core.load.agent_bounds import (
    get_rank,
    has_room,
    is_model,
)
from gentianworks.core.load.reports import report_load_change
from gentianworks.core.quarantine.agent_trials import (
    end_finished_trials,
    needs_trial,
    request_trial,
)
from gentianworks.core.quarantine.enforcement import (
    may_start,
    would_run_on_exiting_engine,
)
from gentianworks.core.reducer import reduce
from gentianworks.core.state import State
from gentianworks.core.types import AttemptId, Problem, ProblemKind, RunState

MAX_TRIALS = 64


def describe_overload(agent: AgentState, retry_after: float) -> Problem:
    """Return the problem of an attempt that could not start in time."""
    return Problem(
        ProblemKind.OVERLOADED,
        f"Endpoint {agent.endpoint!r} can't start the request in time; "
        f"send it again in {retry_after:.0f} s.",
        retry_after=retry_after,
    )


def refuse_attempt(
    attempt: AttemptId, problem: Problem, agent: AgentState, state: State, now: float
) -> list[Effect]:
    """Remove an attempt and inform the router that it was refused or failed."""
    agent.attempts.pop(attempt, None)
    agent.running.pop(attempt, None)
    mark_refused(attempt, problem, agent)
    return send_refusal(attempt, problem, agent, state, now)


def send_refusal(
    attempt: AttemptId, problem: Problem, agent: AgentState, state: State, now: float
) -> list[Effect]:
    """Inform the router that an attempt was refused or failed."""
    refusal = AttemptRefused(
        sender=state.node.name,
        attempt=attempt,
        problem=problem,
        incarnation=state.incarnation,
        load=agent.compute_load(),
        revision=state.configuration.revision,
        level=get_level(agent, state, now),
    )
    return [SendFrame(attempt, refusal), CloseDispatch(attempt)]


def refuse_as_leaving(
    attempt: AttemptId, agent: AgentState, state: State, now: float
) -> list[Effect]:
    """Refuse an attempt because the endpoint is being removed."""
    problem = Problem(
        ProblemKind.LEAVING,
        f"Endpoint {agent.endpoint!r} is leaving; use another endpoint.",
    )
    return refuse_attempt(attempt, problem, agent, state, now)


def start_queued(agent: AgentState, state: State, now: float) -> list[Effect]:
    """Start queued attempts while the endpoint has room."""
    effects: list[Effect] = []
    while (attempt := _find_startable(agent, state, now)) is not None:
        if would_run_on_exiting_engine(attempt, agent, state, now):
            effects += _refuse_as_failed(attempt, agent, state, now)
        elif needs_trial(attempt, agent, state, now):
            effects += _request_trial(attempt, agent, state, now)
        elif cannot_finish_in_time(attempt, agent, state, now):
            effects += refuse_unfinishable(attempt, agent, state, now)
        else:
            effects += _start_attempt(attempt, agent, state, now)
    effects += end_finished_trials(agent, state, now)
    check_agent(agent, state, now)
    return [*effects, *report_load_change(agent, state, now)]


def _find_startable(agent: AgentState, state: State, now: float) -> Attempt | None:
    ticket = agent.queue.peek(state.configuration.ranks)
    if ticket is None or not agent.is_reconciled:
        return None
    if not has_room(agent, ticket.cost, state, now):
        return None
    attempt = agent.attempts[ticket.attempt]
    if would_run_on_exiting_engine(attempt, agent, state, now):
        return attempt
    if needs_trial(attempt, agent, state, now):
        return attempt
    return attempt if may_start(attempt, agent, state, now) else None


def _refuse_as_failed(
    attempt: Attempt, agent: AgentState, state: State, now: float
) -> list[Effect]:
    agent.withdraw(attempt.id)
    run_state = RunState.RAN if attempt.call_count else RunState.NOT_RUN
    problem = Problem(
        ProblemKind.ENDPOINT_FAILED,
        f"Endpoint {agent.endpoint!r} has lost its engine; send the request again.",
        run_state=run_state,
        retry_after=MIN_RETRY_AFTER,
    )
    return refuse_attempt(attempt.id, problem, agent, state, now)


def _request_trial(
    attempt: Attempt, agent: AgentState, state: State, now: float
) -> list[Effect]:
    """Request a trial of a suspect, or refuse it if too many are pending."""
    if len(agent.trials) < MAX_TRIALS:
        return request_trial(attempt, agent, state, now)
    agent.withdraw(attempt.id)
    problem = describe_overload(agent, MIN_RETRY_AFTER)
    return refuse_attempt(attempt.id, problem, agent, state, now)


def cannot_finish_in_time(
    attempt: Attempt, agent: AgentState, state: State, now: float
) -> bool:
    """Return whether a suspended answer can't be complete by its deadline."""
    if attempt.call_count == 0 or not is_model(agent, state):
        return False
    return agent.compute_slack(attempt, now) < 0.0


def refuse_unfinishable(
    attempt: Attempt, agent: AgentState, state: State, now: float
) -> list[Effect]:
    """Refuse a suspended answer that can't be complete by its deadline."""
    agent.queue.remove(attempt.id)
    problem = Problem(
        ProblemKind.DEADLINE_PASSED,
        "The answer was suspended and can't end in time; "
        "send the request again with a longer timeout.",
        run_state=RunState.RAN,
    )
    return refuse_attempt(attempt.id, problem, agent, state, now)


def _start_attempt(
    attempt: Attempt, agent: AgentState, state: State, now: float
) -> list[Effect]:
    ranks = state.configuration.ranks
    attempt.is_covered = agent.queue.dequeue(attempt.ticket, ranks)
    agent.running[attempt.id] = attempt
    agent.throughput.record_start(attempt.ticket.rank)
    if attempt.call_count == 0:
        _record_wait(attempt, agent, now - attempt.arrived_at)
    mark_running(attempt, agent)
    attempt.call_count += 1
    attempt.called_at = now
    attempt.resume_after = attempt.last_event
    call = CallEngine(
        attempt=attempt.id,
        request=attempt.dispatch.request,
        priority=get_rank(attempt.dispatch, state).priority,
        timeout=compute_run_timeout(attempt, now),
        call=attempt.call_count,
        resume_after=attempt.resume_after,
    )
    return [call]


def _record_wait(attempt: Attempt, agent: AgentState, waited: float) -> None:
    key = QueueKey(attempt.ticket.rank, attempt.ticket.workspace)
    agent.throughput.record_wait(key, attempt.estimated_wait, waited)


@reduce.register
def _(event: QueueTimedOut, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None or not agent.is_waiting(event.attempt):
        return []
    attempt = agent.attempts[event.attempt]
    if attempt.call_count > 0:
        return []
    refusal = refuse_late(attempt, agent, state, now)
    return [*refusal, *start_queued(agent, state, now)]


def refuse_late(
    attempt: Attempt, agent: AgentState, state: State, now: float
) -> list[Effect]:
    """Refuse an attempt that can no longer start in time."""
    _record_wait(attempt, agent, math.inf)
    agent.withdraw(attempt.id)
    problem = describe_overload(agent, MIN_RETRY_AFTER)
    return refuse_attempt(attempt.id, problem, agent, state, now)


@reduce.register
def _(event: RouterDisconnected, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None or event.attempt not in agent.attempts:
        return []
    if void_unless_running(event.attempt, agent):
        return []
    is_waiting = agent.is_waiting(event.attempt)
    agent.attempts.pop(event.attempt)
    if is_waiting:
        agent.withdraw(event.attempt)
        return start_queued(agent, state, now)
    del agent.running[event.attempt]
    return [CancelEngineCall(event.attempt), *start_queued(agent, state, now)]


@reduce.register
def _(event: ConfigurationActivated, state: State, now: float) -> list[Effect]:
    if state.agent is None:
        return []
    return start_queued(state.agent, state, now)
