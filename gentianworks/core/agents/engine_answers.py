"""Engine answers: an agent's handlers for the answers of its engine."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.admission.levels import get_level
from gentianworks.core.agents.attempts import AgentState, Attempt
from gentianworks.core.agents.scheduler import refuse_attempt, start_queued
from gentianworks.core.cache.state import build_cached_prompt
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.dispatch import CloseDispatch, SendFrame
from gentianworks.core.effects.engines import CancelEngineCall
from gentianworks.core.events.dispatch import AnswerEnd, AnswerHead, AnswerPiece
from gentianworks.core.events.engines import (
    CallFailure,
    EngineAnswerEnded,
    EngineAnswerPiece,
    EngineAnswerStarted,
    EngineCallFailed,
)
from gentianworks.core.ledger.claimed_runs import (
    buffer_head,
    buffer_piece,
    record_answer,
    record_failure,
)
from gentianworks.core.load.agent_bounds import is_model
from gentianworks.core.load.bound import compute_cost
from gentianworks.core.quarantine.enforcement import report_engine_crash
from gentianworks.core.reducer import reduce
from gentianworks.core.state import State
from gentianworks.core.types import (
    Problem,
    ProblemKind,
    RunState,
    find_content_type,
)

RETRY_AFTER = 1.0  # seconds
HTTP_OK = 200


@frozen
class _Call:
    agent: AgentState
    attempt: Attempt


def _find_call(
    event: EngineAnswerStarted
    | EngineAnswerPiece
    | EngineAnswerEnded
    | EngineCallFailed,
    state: State,
) -> _Call | None:
    """Return the call that an event belongs to, or None if it is out of date."""
    if state.agent is None:
        return None
    attempt = state.agent.find_call(event.attempt, event.call)
    return None if attempt is None else _Call(state.agent, attempt)


@reduce.register
def _(event: EngineAnswerStarted, state: State, now: float) -> list[Effect]:
    call = _find_call(event, state)
    if call is None:
        return []
    agent, attempt = call.agent, call.attempt
    _record_cached_prompt(event, call)
    if buffer_head(event.attempt, event.status, event.headers, agent):
        return []
    if attempt.has_started:
        is_same = (
            event.status == attempt.status
            and find_content_type(event.headers) == attempt.content_type
        )
        return [] if is_same else _cut_stream(attempt, agent, state, now)
    attempt.status = event.status
    attempt.content_type = find_content_type(event.headers)
    head = AnswerHead(
        sender=state.node.name,
        attempt=event.attempt,
        status=event.status,
        headers=event.headers,
        incarnation=state.incarnation,
        load=agent.compute_load(),
        revision=state.configuration.revision,
        level=get_level(agent, state, now),
    )
    return [SendFrame(event.attempt, head)]


def _record_cached_prompt(event: EngineAnswerStarted, call: _Call) -> None:
    request = call.attempt.dispatch.request
    if request.prompt and event.status == HTTP_OK:
        call.agent.cache.prompts.add(build_cached_prompt(request))


@reduce.register
def _(event: EngineAnswerPiece, state: State, now: float) -> list[Effect]:
    call = _find_call(event, state)
    if call is None:
        return []
    agent, attempt = call.agent, call.attempt
    if buffer_piece(event.attempt, event.data, agent):
        return []
    piece = AnswerPiece(
        sender=state.node.name,
        attempt=event.attempt,
        sequence=attempt.piece_count,
        data=event.data,
        first_event=event.first_event,
        last_event=event.last_event,
    )
    attempt.record_piece(event.first_event, event.last_event)
    if attempt.has_gap and attempt.resume_after >= 0:
        return _cut_stream(attempt, agent, state, now)
    return [SendFrame(event.attempt, piece)]


def _cut_stream(
    attempt: Attempt, agent: AgentState, state: State, now: float
) -> list[Effect]:
    """End an answer that the engine did not resume at the event requested."""
    agent.can_resume = False
    problem = Problem(
        ProblemKind.STREAM_CUT,
        f"Endpoint {agent.endpoint!r} did not resume the answer; "
        f"send the request again.",
        run_state=RunState.RAN,
        retry_after=RETRY_AFTER,
    )
    cancel = CancelEngineCall(attempt.id)
    refusal = refuse_attempt(attempt.id, problem, agent, state, now)
    return [cancel, *refusal, *start_queued(agent, state, now)]


@reduce.register
def _(event: EngineAnswerEnded, state: State, now: float) -> list[Effect]:
    call = _find_call(event, state)
    if call is None:
        return []
    agent, attempt = call.agent, call.attempt
    generated = event.generated if is_model(agent, state) else 0
    _record_run(attempt, generated, agent, now)
    del agent.attempts[event.attempt], agent.running[event.attempt]
    if event.attempt in agent.claims.buffered_answers:
        recorded = record_answer(event.attempt, agent, state, now)
        return [*recorded, *start_queued(agent, state, now)]
    end = AnswerEnd(
        state.node.name, event.attempt, attempt.piece_count, agent.compute_load()
    )
    return [
        SendFrame(event.attempt, end),
        CloseDispatch(event.attempt),
        *start_queued(agent, state, now),
    ]


def _record_run(
    attempt: Attempt, generated: int, agent: AgentState, now: float
) -> None:
    if attempt.call_count == 1:
        agent.throughput.record_run(now - attempt.called_at, attempt.ticket.cost)
    generated = attempt.event_count or generated
    if generated:
        request = attempt.dispatch.request
        excess = compute_cost(request, generated) - request.cost
        agent.queue.adjust_charge(attempt.ticket, attempt.ticket.cost + excess)


@reduce.register
def _(event: EngineCallFailed, state: State, now: float) -> list[Effect]:
    call = _find_call(event, state)
    if call is None:
        return []
    agent, attempt = call.agent, call.attempt
    run_state = _get_run_state(attempt, event.failure)
    is_held = event.attempt in agent.claims.buffered_answers
    if is_held and run_state is not RunState.NOT_RUN:
        del agent.attempts[event.attempt], agent.running[event.attempt]
        recorded = record_failure(event.attempt, agent, state, now)
        held = report_engine_crash(attempt, event.failure, agent, recorded, state, now)
        return [*held, *start_queued(agent, state, now)]
    problem = Problem(
        ProblemKind.ENDPOINT_FAILED,
        f"Endpoint {agent.endpoint!r} failed; send the request again.",
        run_state=run_state,
        retry_after=RETRY_AFTER,
    )
    refusal = refuse_attempt(event.attempt, problem, agent, state, now)
    held = report_engine_crash(attempt, event.failure, agent, refusal, state, now)
    return [*held, *start_queued(agent, state, now)]


def _get_run_state(attempt: Attempt, failure: CallFailure) -> RunState:
    if attempt.has_started:
        return RunState.RAN
    if failure is CallFailure.NOT_SENT and attempt.call_count == 1:
        return RunState.NOT_RUN
    return RunState.UNKNOWN
