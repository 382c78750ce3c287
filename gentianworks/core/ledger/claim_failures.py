"""Claim failures: a router's handlers for what interrupts a claimed request.

A refusal, a lost connection, a disconnected caller and a passed deadline are handled
here.
"""

from __future__ import annotations

from functools import singledispatch

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.dispatch import CancelDispatch
from gentianworks.core.effects.lifecycle import SetTimer
from gentianworks.core.events.ledger import (
    ClaimedAttemptLost,
    ClaimedAttemptRefused,
    ClaimedCallerDisconnected,
    ClaimedDeadlineReached,
    ProofOverdue,
)
from gentianworks.core.ledger.claim_problems import (
    describe_no_endpoint,
    describe_passed_deadline,
    describe_unknown_outcome,
    describe_verdict,
)
from gentianworks.core.ledger.claim_stages import (
    Claiming,
    ClaimProgress,
    ClaimStage,
    Dispatched,
    Releasing,
    Resolving,
)
from gentianworks.core.ledger.claim_transitions import (
    ClaimedExchange,
    enter_stage,
    find_claimed_exchange,
    release_claim,
)
from gentianworks.core.ledger.types import (
    Claim,
    ClaimVerdict,
)
from gentianworks.core.reducer import reduce
from gentianworks.core.routing.dispatch import fail_exchange
from gentianworks.core.state import State
from gentianworks.core.types import ProblemKind, RunState

PROOF_TIMEOUT = 1.5  # seconds


@reduce.register
def _(event: ClaimedAttemptRefused, state: State, now: float) -> list[Effect]:
    claimed = find_claimed_exchange(event.exchange, state)
    if claimed is None:
        return []
    progress = claimed.progress
    claim = _get_dispatched_claim(progress)
    if claim is None:
        return []
    problem = event.problem
    if problem.run_state is RunState.NOT_RUN:
        progress.last_problem = problem
        return release_claim(claim, problem, claimed, state, now)
    if problem.kind is not ProblemKind.STALE_ATTEMPT:
        return fail_exchange(claimed.exchange, problem, state)
    return _start_resolving(claim, claimed, state, now)


def _get_dispatched_claim(progress: ClaimProgress) -> Claim | None:
    stage = progress.stage
    return stage.claim if isinstance(stage, Dispatched | Resolving) else None


def _start_resolving(
    claim: Claim, claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    if isinstance(claimed.progress.stage, Resolving):
        return []
    return enter_stage(Resolving(claim, False), claimed, state, now)


@reduce.register
def _(event: ClaimedAttemptLost, state: State, now: float) -> list[Effect]:
    claimed = find_claimed_exchange(event.exchange, state)
    if claimed is None:
        return []
    progress = claimed.progress
    claim = _get_dispatched_claim(progress)
    if claim is None:
        return []
    if event.was_sent:
        return _start_resolving(claim, claimed, state, now)
    problem = describe_no_endpoint(claimed.exchange.request.service)
    return release_claim(claim, problem, claimed, state, now)


@reduce.register
def _(event: ClaimedCallerDisconnected, state: State, now: float) -> list[Effect]:
    claimed = find_claimed_exchange(event.exchange, state)
    if claimed is None:
        return []
    if not isinstance(claimed.progress.stage, Claiming):
        state.router.remove_exchange(claimed.exchange)
        return [CancelDispatch(claimed.exchange.attempt)]
    return _enter_final_stage(claimed, state, now)


@reduce.register
def _(event: ClaimedDeadlineReached, state: State, now: float) -> list[Effect]:
    claimed = find_claimed_exchange(event.exchange, state)
    if claimed is None:
        return []
    return _enter_final_stage(claimed, state, now)


def _enter_final_stage(
    claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    """Enter the stage that determines the outcome, for at most PROOF_TIMEOUT."""
    stage = get_final_stage(claimed.progress.stage, claimed.progress)
    if stage is None:
        problem = describe_verdict(ClaimVerdict.CONTENDED)
        return fail_exchange(claimed.exchange, problem, state)
    timer = SetTimer(now + PROOF_TIMEOUT, ProofOverdue(claimed.exchange.id))
    return [timer, *enter_stage(stage, claimed, state, now)]


@singledispatch
def get_final_stage(stage: ClaimStage, progress: ClaimProgress) -> ClaimStage | None:
    """Return the stage that determines the outcome after the deadline, or None."""
    return None


@get_final_stage.register
def _(stage: Claiming, progress: ClaimProgress) -> ClaimStage | None:
    return Releasing(0, describe_passed_deadline(), is_final=True)


@get_final_stage.register
def _(stage: Dispatched, progress: ClaimProgress) -> ClaimStage | None:
    return Resolving(stage.claim, is_final=True)


@get_final_stage.register
def _(stage: Resolving, progress: ClaimProgress) -> ClaimStage | None:
    return Resolving(stage.claim, is_final=True)


@get_final_stage.register
def _(stage: Releasing, progress: ClaimProgress) -> ClaimStage | None:
    return Releasing(stage.number, stage.problem, is_final=True)


@reduce.register
def _(event: ProofOverdue, state: State, now: float) -> list[Effect]:
    claimed = find_claimed_exchange(event.exchange, state)
    if claimed is None:
        return []
    progress = claimed.progress
    stage = progress.stage
    problem = describe_unknown_outcome()
    if progress.has_generated_key and isinstance(stage, Releasing):
        problem = stage.problem
    cancel = CancelDispatch(claimed.exchange.attempt)
    return [cancel, *fail_exchange(claimed.exchange, problem, state)]
