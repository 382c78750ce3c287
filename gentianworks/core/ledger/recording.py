"""Recording: an agent's handlers from a claimed attempt's run to its record.

The answer of a claimed attempt is held until the ledger has recorded it; only then
does the router, and so the caller, hear of it.
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
    RunRetryDue,
    VoidWanted,
)
from gentianworks.core.ledger.agent_claims import MAX_RECORDED_BYTES, HeldAnswer
from gentianworks.core.ledger.tombstones import AttemptMark, answer_void, void_unseen
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


def find_run_timeout(attempt: Attempt, now: float) -> float:
    """Return for how many seconds the engine may run an attempt.

    A claimed attempt may outlast its caller, so that its outcome becomes known.
    """
    timeout = max(0.0, attempt.deadline - now)
    if attempt.dispatch.claim is None:
        return timeout
    return max(timeout, CLAIMED_RUN_TIMEOUT)


def note_start(attempt: Attempt, agent: AgentState) -> None:
    """Mark a claimed attempt as running from the moment its call is made."""
    claim = attempt.dispatch.claim
    if claim is None:
        return
    agent.claims.guard.mark(claim.attempt, AttemptMark.RUNNING)
    agent.claims.held[claim.attempt] = HeldAnswer(claim)


def note_refusal(attempt: AttemptId, problem: Problem, agent: AgentState) -> None:
    """Leave a tombstone for a claimed attempt that is refused as not run."""
    if problem.run_state is RunState.NOT_RUN:
        agent.claims.guard.mark(attempt, AttemptMark.NOT_RUN)
        agent.claims.held.pop(attempt, None)


def hold_start(
    attempt: AttemptId, status: int, headers: tuple[Header, ...], agent: AgentState
) -> bool:
    """Hold the status and headers of a claimed attempt; tell whether it is one."""
    held = agent.claims.held.get(attempt)
    if held is None:
        return False
    held.status = status
    held.headers = headers
    return True


def hold_piece(attempt: AttemptId, data: bytes, agent: AgentState) -> bool:
    """Hold a piece of a claimed attempt's answer; tell whether it is one."""
    held = agent.claims.held.get(attempt)
    if held is None:
        return False
    held.add_piece(data)
    return True


def keep_running(attempt: AttemptId, agent: AgentState) -> bool:
    """Tell whether an attempt runs on without its router; otherwise it is void.

    What waits is withdrawn for good, so that its key is free for another attempt.
    """
    is_held = attempt in agent.claims.held
    if not is_held:
        agent.claims.guard.mark(attempt, AttemptMark.NOT_RUN)
    return is_held


def record_end(
    attempt: AttemptId, agent: AgentState, state: State, now: float
) -> list[Effect]:
    """Have the ledger record the whole answer of a claimed attempt."""
    agent.claims.guard.mark(attempt, AttemptMark.ENDED)
    held = agent.claims.held[attempt]
    held.ended_as = ClaimStatus.RAN
    return _send_end(held, state, now)


def record_failure(
    attempt: AttemptId, agent: AgentState, state: State, now: float
) -> list[Effect]:
    """Have the ledger record that a claimed attempt gave no whole answer."""
    agent.claims.guard.mark(attempt, AttemptMark.ENDED)
    held = agent.claims.held[attempt]
    held.is_whole = False
    held.ended_as = ClaimStatus.RAN if held.status else ClaimStatus.UNKNOWN
    return _send_end(held, state, now)


def _send_end(held: HeldAnswer, state: State, now: float) -> list[Effect]:
    assert held.ended_as is not None
    ended = RunEnded(
        sender=state.node.name,
        peer_address=state.node.peer_address,
        claim=held.claim,
        status=held.ended_as,
        answer=_build_record(held) if held.ended_as is ClaimStatus.RAN else None,
    )
    held.sends += 1
    timer = SetTimer(now + RUN_RETRY_INTERVAL, RunRetryDue(held.claim))
    return [*send_to_control(ended, held.sends, state), timer]


def _build_record(held: HeldAnswer) -> RecordedAnswer:
    is_kept = held.is_whole and len(held.body) <= MAX_RECORDED_BYTES
    body = bytes(held.body) if is_kept else b""
    return RecordedAnswer(held.status, held.headers, body, is_kept)


@reduce.register
def _(event: RunRetryDue, state: State, now: float) -> list[Effect]:
    held = state.agent.claims.held.get(event.claim.attempt) if state.agent else None
    if held is None or held.ended_as is None:
        return []
    return _send_end(held, state, now)


@reduce.register
def _(event: RunAcknowledged, state: State, now: float) -> list[Effect]:
    agent = state.agent
    held = agent.claims.held.get(event.claim.attempt) if agent else None
    if agent is None or held is None or held.ended_as is None:
        return []
    del agent.claims.held[event.claim.attempt]
    attempt = event.claim.attempt
    frames = _build_frames(held, agent, state)
    log = LogEvent("GW3001", (("attempt", attempt), ("end", held.ended_as.value)))
    sends = [SendFrame(attempt, frame) for frame in frames]
    return [log, *sends, CloseDispatch(attempt)]


def _build_frames(held: HeldAnswer, agent: AgentState, state: State) -> list[Message]:
    attempt = held.claim.attempt
    load = agent.compute_load()
    problem = _find_problem(held, agent)
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
        status=held.status,
        headers=held.headers,
        incarnation=state.incarnation,
        load=load,
        revision=state.configuration.revision,
    )
    piece = AnswerPiece(state.node.name, attempt, 0, bytes(held.body))
    return [head, piece, AnswerEnd(state.node.name, attempt, 1, load)]


def _find_problem(held: HeldAnswer, agent: AgentState) -> Problem | None:
    if held.ended_as is ClaimStatus.UNKNOWN:
        return Problem(
            ProblemKind.OUTCOME_UNKNOWN,
            f"Endpoint {agent.endpoint!r} failed while it may have been running the "
            f"request; check with the service before you send it under a new key.",
            run_state=RunState.UNKNOWN,
        )
    if not held.is_whole:
        return describe_unkept_answer()
    return None


def describe_unkept_answer() -> Problem:
    """Return the problem of a run whose answer was too large or too old to keep."""
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
    """Take a claimed attempt out of the queue for good."""
    agent.attempts.pop(attempt, None)
    if attempt in agent.queue:
        agent.queue.remove(attempt)
    agent.claims.guard.mark(attempt, AttemptMark.NOT_RUN)
