"""Answering: an agent's handlers from the engine's first byte to its last."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.admission.levels import measure_level
from gentianworks.core.agents.attempts import AgentState, Attempt
from gentianworks.core.agents.serving import refuse_attempt, start_queued
from gentianworks.core.cache.cache import describe_prompt
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.dispatch import CloseDispatch, SendFrame
from gentianworks.core.effects.engines import CancelCall
from gentianworks.core.events.dispatch import AnswerEnd, AnswerHead, AnswerPiece
from gentianworks.core.events.engines import (
    CallFailure,
    EngineEnded,
    EngineFailed,
    EnginePiece,
    EngineStarted,
)
from gentianworks.core.ledger.recording import (
    hold_piece,
    hold_start,
    record_end,
    record_failure,
)
from gentianworks.core.load.bounds import is_model
from gentianworks.core.load.load import measure_cost
from gentianworks.core.quarantine.enforcement import report_engine_crash
from gentianworks.core.reducer import reduce
from gentianworks.core.state import State
from gentianworks.core.types import Problem, ProblemKind, RunState

RETRY_AFTER = 1.0  # seconds
HTTP_OK = 200


@frozen
class _Call:
    agent: AgentState
    attempt: Attempt


def _find_call(
    event: EngineStarted | EnginePiece | EngineEnded | EngineFailed, state: State
) -> _Call | None:
    """Return the call that the engine speaks of, None where it is no longer wanted."""
    if state.agent is None:
        return None
    attempt = state.agent.find_call(event.attempt, event.call)
    return None if attempt is None else _Call(state.agent, attempt)


@reduce.register
def _(event: EngineStarted, state: State, now: float) -> list[Effect]:
    call = _find_call(event, state)
    if call is None:
        return []
    agent, attempt = call.agent, call.attempt
    _note_prompt(event, call)
    if hold_start(event.attempt, event.status, event.headers, agent):
        return []
    if attempt.has_started:
        is_same = event.status == attempt.status
        return [] if is_same else _cut(attempt, agent, state, now)
    attempt.status = event.status
    head = AnswerHead(
        sender=state.node.name,
        attempt=event.attempt,
        status=event.status,
        headers=event.headers,
        incarnation=state.incarnation,
        load=agent.measure_load(),
        revision=state.configuration.revision,
        level=measure_level(agent, state, now),
    )
    return [SendFrame(event.attempt, head)]


def _note_prompt(event: EngineStarted, call: _Call) -> None:
    request = call.attempt.dispatch.request
    if request.prompt and event.status == HTTP_OK:
        call.agent.cache.prompts.note(describe_prompt(request))


@reduce.register
def _(event: EnginePiece, state: State, now: float) -> list[Effect]:
    call = _find_call(event, state)
    if call is None:
        return []
    agent, attempt = call.agent, call.attempt
    if hold_piece(event.attempt, event.data, agent):
        return []
    piece = AnswerPiece(
        sender=state.node.name,
        attempt=event.attempt,
        sequence=attempt.pieces,
        data=event.data,
        first_event=event.first_event,
        last_event=event.last_event,
    )
    attempt.take_piece(event.first_event, event.last_event)
    if attempt.has_gap and attempt.resume_after >= 0:
        return _cut(attempt, agent, state, now)
    return [SendFrame(event.attempt, piece)]


def _cut(attempt: Attempt, agent: AgentState, state: State, now: float) -> list[Effect]:
    """End an answer that the engine did not resume where it had stopped."""
    agent.can_resume = False
    problem = Problem(
        ProblemKind.STREAM_CUT,
        f"Endpoint {agent.endpoint!r} did not resume the answer; "
        f"send the request again.",
        run_state=RunState.RAN,
        retry_after=RETRY_AFTER,
    )
    cancel = CancelCall(attempt.id)
    refusal = refuse_attempt(attempt.id, problem, agent, state, now)
    return [cancel, *refusal, *start_queued(agent, state, now)]


@reduce.register
def _(event: EngineEnded, state: State, now: float) -> list[Effect]:
    call = _find_call(event, state)
    if call is None:
        return []
    agent, attempt = call.agent, call.attempt
    generated = event.generated if is_model(agent, state) else 0
    _note_end(attempt, generated, agent, now)
    del agent.attempts[event.attempt], agent.running[event.attempt]
    if event.attempt in agent.claims.held:
        recorded = record_end(event.attempt, agent, state, now)
        return [*recorded, *start_queued(agent, state, now)]
    end = AnswerEnd(
        state.node.name, event.attempt, attempt.pieces, agent.measure_load()
    )
    return [
        SendFrame(event.attempt, end),
        CloseDispatch(event.attempt),
        *start_queued(agent, state, now),
    ]


def _note_end(attempt: Attempt, generated: int, agent: AgentState, now: float) -> None:
    if attempt.calls == 1:
        agent.throughput.note_end(now - attempt.called_at, attempt.ticket.cost)
    generated = attempt.events or generated
    if generated:
        request = attempt.dispatch.request
        excess = measure_cost(request, generated) - request.cost
        agent.queue.correct(attempt.ticket, attempt.ticket.cost + excess)


@reduce.register
def _(event: EngineFailed, state: State, now: float) -> list[Effect]:
    call = _find_call(event, state)
    if call is None:
        return []
    agent, attempt = call.agent, call.attempt
    run_state = _find_run_state(attempt, event.failure)
    is_held = event.attempt in agent.claims.held
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


def _find_run_state(attempt: Attempt, failure: CallFailure) -> RunState:
    if attempt.has_started:
        return RunState.RAN
    if failure is CallFailure.NOT_SENT and attempt.calls == 1:
        return RunState.NOT_RUN
    return RunState.UNKNOWN
