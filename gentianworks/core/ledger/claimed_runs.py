"""Claimed runs: an agent's handlers for the run of a claimed attempt and its record.

The answer of a claimed attempt is buffered until the ledger has recorded it. Only then
is it sent to the router, and so to the caller.
"""

from __future__ import annotations

from gentianworks.core.agents.attempts import AgentState, Attempt
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.dispatch import CloseDispatch, SendFrame
from gentianworks.core.effects.lifecycle import LogEvent, SetTimer
from gentianworks.core.events.base import Message
from gentianworks.core.events.dispatch import (
    AnswerEnd,
    AnswerHead,
    AnswerPiece,
    AttemptRefused,
)
from gentianworks.core.events.ledger import (
    RunAcknowledged,
    RunEnded,
    RunEndedRetryDue,
    VoidWanted,
)
from gentianworks.core.ledger.agent_claims import (
    MAX_RECORDED_ANSWER_BYTES,
    BufferedAnswer,
)
from gentianworks.core.ledger.tombstones import AttemptStatus, answer_void, void_unseen
from gentianworks.core.ledger.types import (
    ClaimStatus,
    RecordedAnswer,
    VoidVerdict,
)
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.control_hosts import send_to_control
from gentianworks.core.state import State
from gentianworks.core.types import (
    AttemptId,
    Header,
    Problem,
    ProblemKind,
    RunState,
)

RUN_RETRY_INTERVAL = 0.25  # seconds
CLAIMED_RUN_TIMEOUT = 300.0  # seconds


def compute_run_timeout(attempt: Attempt, now: float) -> float:
    """Return the seconds for which the engine may run an attempt.

    A claimed attempt may run past its caller's deadline, so that its outcome becomes
    known.
    """
    timeout = max(0.0, attempt.deadline - now)
    if attempt.dispatch.claim is None:
        return timeout
    return max(timeout, CLAIMED_RUN_TIMEOUT)


def mark_running(attempt: Attempt, agent: AgentState) -> None:
    """Mark a claimed attempt as running once its call to the engine is made."""
    claim = attempt.dispatch.claim
    if claim is None:
        return
    agent.claims.guard.set_status(claim.attempt, AttemptStatus.RUNNING)
    agent.claims.buffered_answers[claim.attempt] = BufferedAnswer(claim)


def mark_refused(attempt: AttemptId, problem: Problem, agent: AgentState) -> None:
    """Create a tombstone for a claimed attempt that is refused as not run."""
    if problem.run_state is RunState.NOT_RUN:
        agent.claims.guard.set_status(attempt, AttemptStatus.NOT_RUN)
        agent.claims.buffered_answers.pop(attempt, None)


def buffer_head(
    attempt: AttemptId, status: int, headers: tuple[Header, ...], agent: AgentState
) -> bool:
    """Buffer status and headers of a claimed attempt; return False for any other."""
    buffered = agent.claims.buffered_answers.get(attempt)
    if buffered is None:
        return False
    buffered.status = status
    buffered.headers = headers
    return True


def buffer_piece(attempt: AttemptId, data: bytes, agent: AgentState) -> bool:
    """Buffer a piece of a claimed attempt's answer; return False for any other."""
    buffered = agent.claims.buffered_answers.get(attempt)
    if buffered is None:
        return False
    buffered.add_piece(data)
    return True


def void_unless_running(attempt: AttemptId, agent: AgentState) -> bool:
    """Void an attempt whose router has disconnected, unless it is claimed and running.

    Return whether it continues to run. A queued attempt is withdrawn permanently, so
    that its key is free for another attempt.
    """
    is_running = attempt in agent.claims.buffered_answers
    if not is_running:
        agent.claims.guard.set_status(attempt, AttemptStatus.NOT_RUN)
    return is_running


def record_answer(
    attempt: AttemptId, agent: AgentState, state: State, now: float
) -> list[Effect]:
    """Send the complete answer of a claimed attempt to the ledger."""
    agent.claims.guard.set_status(attempt, AttemptStatus.ENDED)
    buffered = agent.claims.buffered_answers[attempt]
    buffered.final_status = ClaimStatus.RAN
    return _send_run_ended(buffered, state, now)


def record_failure(
    attempt: AttemptId, agent: AgentState, state: State, now: float
) -> list[Effect]:
    """Report to the ledger that a claimed attempt gave no complete answer."""
    agent.claims.guard.set_status(attempt, AttemptStatus.ENDED)
    buffered = agent.claims.buffered_answers[attempt]
    buffered.is_complete = False
    buffered.final_status = ClaimStatus.RAN if buffered.status else ClaimStatus.UNKNOWN
    return _send_run_ended(buffered, state, now)


def _send_run_ended(buffered: BufferedAnswer, state: State, now: float) -> list[Effect]:
    assert buffered.final_status is not None
    ended = RunEnded(
        sender=state.node.name,
        peer_address=state.node.peer_address,
        claim=buffered.claim,
        status=buffered.final_status,
        answer=_build_answer(buffered)
        if buffered.final_status is ClaimStatus.RAN
        else None,
    )
    buffered.send_count += 1
    timer = SetTimer(now + RUN_RETRY_INTERVAL, RunEndedRetryDue(buffered.claim))
    return [*send_to_control(ended, buffered.send_count, state), timer]


def _build_answer(buffered: BufferedAnswer) -> RecordedAnswer:
    is_stored = buffered.is_complete and len(buffered.body) <= MAX_RECORDED_ANSWER_BYTES
    body = bytes(buffered.body) if is_stored else b""
    return RecordedAnswer(buffered.status, buffered.headers, body, is_stored)


@reduce.register
def _(event: RunEndedRetryDue, state: State, now: float) -> list[Effect]:
    buffered = (
        state.agent.claims.buffered_answers.get(event.claim.attempt)
        if state.agent
        else None
    )
    if buffered is None or buffered.final_status is None:
        return []
    return _send_run_ended(buffered, state, now)


@reduce.register
def _(event: RunAcknowledged, state: State, now: float) -> list[Effect]:
    agent = state.agent
    buffered = agent.claims.buffered_answers.get(event.claim.attempt) if agent else None
    if agent is None or buffered is None or buffered.final_status is None:
        return []
    del agent.claims.buffered_answers[event.claim.attempt]
    attempt = event.claim.attempt
    frames = _build_frames(buffered, agent, state)
    log = LogEvent(
        "GW3001", (("attempt", attempt), ("end", buffered.final_status.value))
    )
    sends = [SendFrame(attempt, frame) for frame in frames]
    return [log, *sends, CloseDispatch(attempt)]


def _build_frames(
    buffered: BufferedAnswer, agent: AgentState, state: State
) -> list[Message]:
    attempt = buffered.claim.attempt
    load = agent.compute_load()
    problem = _find_problem(buffered, agent)
    if problem is not None:
        return [
            AttemptRefused(
                sender=state.node.name,
                attempt=attempt,
                problem=problem,
                incarnation=state.incarnation,
                load=load,
                revision=state.configuration.revision,
            )
        ]
    head = AnswerHead(
        sender=state.node.name,
        attempt=attempt,
        status=buffered.status,
        headers=buffered.headers,
        incarnation=state.incarnation,
        load=load,
        revision=state.configuration.revision,
    )
    piece = AnswerPiece(state.node.name, attempt, 0, bytes(buffered.body))
    return [head, piece, AnswerEnd(state.node.name, attempt, 1, load)]


def _find_problem(buffered: BufferedAnswer, agent: AgentState) -> Problem | None:
    if buffered.final_status is ClaimStatus.UNKNOWN:
        return Problem(
            ProblemKind.OUTCOME_UNKNOWN,
            f"Endpoint {agent.endpoint!r} failed while it may have been running the "
            f"request; check with the service before you send it under a new key.",
            run_state=RunState.UNKNOWN,
        )
    if not buffered.is_complete:
        return describe_unkept_answer()
    return None


def describe_unkept_answer() -> Problem:
    """Return the problem of a run whose answer was too large or too old to store."""
    return Problem(
        ProblemKind.ANSWER_NOT_KEPT,
        "The request was run but its answer is not kept; ask the service for it.",
        run_state=RunState.RAN,
    )


@reduce.register
def _(event: VoidWanted, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None:
        return []
    guard = agent.claims.guard
    verdict = void_unseen(event, state.incarnation, guard)
    is_queued = guard.is_queued(event.claim.attempt)
    if verdict is not VoidVerdict.IN_PROGRESS or not is_queued:
        return answer_void(event, verdict, state.node.name)
    if not event.withdraws_queued:
        return answer_void(event, verdict, state.node.name)
    withdraw_queued(event.claim.attempt, agent)
    answer = answer_void(event, VoidVerdict.VOIDED, state.node.name)
    return [*answer, CloseDispatch(event.claim.attempt)]


def withdraw_queued(attempt: AttemptId, agent: AgentState) -> None:
    """Remove a claimed attempt from the queue and never run it."""
    agent.attempts.pop(attempt, None)
    if attempt in agent.queue:
        agent.queue.remove(attempt)
    agent.claims.guard.set_status(attempt, AttemptStatus.NOT_RUN)
