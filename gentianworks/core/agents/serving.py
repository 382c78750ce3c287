"""Serving: an agent's handlers for attempts, from their place in the queue on."""

from __future__ import annotations

import math

from gentianworks.core.admission.admission import MIN_RETRY_AFTER, QueueName
from gentianworks.core.admission.levels import measure_level
from gentianworks.core.agents.attempts import AgentState, Attempt
from gentianworks.core.agents.invariants import check_agent
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.dispatch import CloseDispatch, SendFrame
from gentianworks.core.effects.engines import CallEngine, CancelCall
from gentianworks.core.events.configuration import ConfigurationChosen
from gentianworks.core.events.dispatch import AttemptRefused, RouterLeft
from gentianworks.core.events.engines import QueueTimedOut
from gentianworks.core.ledger.recording import (
    find_run_timeout,
    keep_running,
    note_refusal,
    note_start,
)
from gentianworks.core.load.bounds import (
    find_rank,
    has_room,
    is_model,
)
from gentianworks.core.load.reports import report_change
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
    """Return the problem of work that could not start in time."""
    return Problem(
        ProblemKind.OVERLOADED,
        f"Endpoint {agent.endpoint!r} can't start the request in time; "
        f"send it again in {retry_after:.0f} s.",
        retry_after=retry_after,
    )


def refuse_attempt(
    attempt: AttemptId, problem: Problem, agent: AgentState, state: State, now: float
) -> list[Effect]:
    """Tell the router that an attempt was refused or failed, and forget it."""
    agent.attempts.pop(attempt, None)
    agent.running.pop(attempt, None)
    note_refusal(attempt, problem, agent)
    return answer_refusal(attempt, problem, agent, state, now)


def answer_refusal(
    attempt: AttemptId, problem: Problem, agent: AgentState, state: State, now: float
) -> list[Effect]:
    """Tell the router that an attempt was refused or failed."""
    refusal = AttemptRefused(
        sender=state.node.name,
        attempt=attempt,
        problem=problem,
        incarnation=state.incarnation,
        load=agent.measure_load(),
        revision=state.configuration.revision,
        level=measure_level(agent, state, now),
    )
    return [SendFrame(attempt, refusal), CloseDispatch(attempt)]


def refuse_as_leaving(
    attempt: AttemptId, agent: AgentState, state: State, now: float
) -> list[Effect]:
    """Tell the router that an attempt was not run because the endpoint leaves."""
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
            effects += _set_aside(attempt, agent, state, now)
        elif is_too_late(attempt, agent, state, now):
            effects += give_up(attempt, agent, state, now)
        else:
            effects += _start_attempt(attempt, agent, state, now)
    effects += end_finished_trials(agent, state, now)
    check_agent(agent, state, now)
    return [*effects, *report_change(agent, state, now)]


def _find_startable(agent: AgentState, state: State, now: float) -> Attempt | None:
    ticket = agent.queue.peek(state.configuration.ranks)
    if ticket is None or not agent.is_counted:
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
    run_state = RunState.RAN if attempt.calls else RunState.NOT_RUN
    problem = Problem(
        ProblemKind.ENDPOINT_FAILED,
        f"Endpoint {agent.endpoint!r} has lost its engine; send the request again.",
        run_state=run_state,
        retry_after=MIN_RETRY_AFTER,
    )
    return refuse_attempt(attempt.id, problem, agent, state, now)


def _set_aside(
    attempt: Attempt, agent: AgentState, state: State, now: float
) -> list[Effect]:
    if len(agent.trials) < MAX_TRIALS:
        return request_trial(attempt, agent, state, now)
    agent.withdraw(attempt.id)
    problem = describe_overload(agent, MIN_RETRY_AFTER)
    return refuse_attempt(attempt.id, problem, agent, state, now)


def is_too_late(attempt: Attempt, agent: AgentState, state: State, now: float) -> bool:
    """Tell whether a suspended answer can't be whole before its deadline."""
    if attempt.calls == 0 or not is_model(agent, state):
        return False
    return agent.find_spare(attempt, now) < 0.0


def give_up(
    attempt: Attempt, agent: AgentState, state: State, now: float
) -> list[Effect]:
    """Refuse a suspended answer that can't be whole before its deadline."""
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
    attempt.is_covered = agent.queue.start(attempt.ticket, ranks)
    agent.running[attempt.id] = attempt
    agent.throughput.note_start(attempt.ticket.rank)
    if attempt.calls == 0:
        _note_wait(attempt, agent, now - attempt.arrived_at)
    note_start(attempt, agent)
    attempt.calls += 1
    attempt.called_at = now
    attempt.resume_after = attempt.last_event
    call = CallEngine(
        attempt=attempt.id,
        request=attempt.dispatch.request,
        priority=find_rank(attempt.dispatch, state).priority,
        timeout=find_run_timeout(attempt, now),
        call=attempt.calls,
        resume_after=attempt.resume_after,
    )
    return [call]


def _note_wait(attempt: Attempt, agent: AgentState, waited: float) -> None:
    name = QueueName(attempt.ticket.rank, attempt.ticket.workspace)
    agent.throughput.note_wait(name, attempt.estimated_wait, waited)


@reduce.register
def _(event: QueueTimedOut, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None or not agent.is_waiting(event.attempt):
        return []
    attempt = agent.attempts[event.attempt]
    if attempt.calls > 0:
        return []
    refusal = refuse_late(attempt, agent, state, now)
    return [*refusal, *start_queued(agent, state, now)]


def refuse_late(
    attempt: Attempt, agent: AgentState, state: State, now: float
) -> list[Effect]:
    """Refuse queued work that can't start in time any more."""
    _note_wait(attempt, agent, math.inf)
    agent.withdraw(attempt.id)
    problem = describe_overload(agent, MIN_RETRY_AFTER)
    return refuse_attempt(attempt.id, problem, agent, state, now)


@reduce.register
def _(event: RouterLeft, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None or event.attempt not in agent.attempts:
        return []
    if keep_running(event.attempt, agent):
        return []
    is_waiting = agent.is_waiting(event.attempt)
    agent.attempts.pop(event.attempt)
    if is_waiting:
        agent.withdraw(event.attempt)
        return start_queued(agent, state, now)
    del agent.running[event.attempt]
    return [CancelCall(event.attempt), *start_queued(agent, state, now)]


@reduce.register
def _(event: ConfigurationChosen, state: State, now: float) -> list[Effect]:
    if state.agent is None:
        return []
    return start_queued(state.agent, state, now)
