"""Claim ends: handlers of what cuts short a request that must not be repeated."""

from __future__ import annotations

from functools import singledispatch

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.dispatch import CancelDispatch
from gentianworks.core.effects.lifecycle import SetTimer
from gentianworks.core.events.ledger import (
    ClaimedAttemptLost,
    ClaimedAttemptRefused,
    ClaimedCallerLeft,
    ClaimedDeadlineReached,
    ProofDue,
)
from gentianworks.core.ledger.claim_problems import (
    describe_deadline,
    describe_no_endpoint,
    describe_unknown,
    describe_verdict,
)
from gentianworks.core.ledger.claim_stages import (
    Claiming,
    ClaimProgress,
    Dispatched,
    Releasing,
    Resolving,
    Stage,
)
from gentianworks.core.ledger.claim_steps import (
    ClaimedExchange,
    enter,
    find_claimed,
    release,
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
    claimed = find_claimed(event.exchange, state)
    if claimed is None:
        return []
    progress = claimed.progress
    claim = _find_dispatched(progress)
    if claim is None:
        return []
    problem = event.problem
    if problem.run_state is RunState.NOT_RUN:
        progress.problem = problem
        return release(claim, problem, claimed, state, now)
    if problem.kind is not ProblemKind.STALE_ATTEMPT:
        return fail_exchange(claimed.exchange, problem, state)
    return _resolve(claim, claimed, state, now)


def _find_dispatched(progress: ClaimProgress) -> Claim | None:
    stage = progress.stage
    return stage.claim if isinstance(stage, Dispatched | Resolving) else None


def _resolve(
    claim: Claim, claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    if isinstance(claimed.progress.stage, Resolving):
        return []
    return enter(Resolving(claim, False), claimed, state, now)


@reduce.register
def _(event: ClaimedAttemptLost, state: State, now: float) -> list[Effect]:
    claimed = find_claimed(event.exchange, state)
    if claimed is None:
        return []
    progress = claimed.progress
    claim = _find_dispatched(progress)
    if claim is None:
        return []
    if event.was_sent:
        return _resolve(claim, claimed, state, now)
    problem = describe_no_endpoint(claimed.exchange.request.service)
    return release(claim, problem, claimed, state, now)


@reduce.register
def _(event: ClaimedCallerLeft, state: State, now: float) -> list[Effect]:
    claimed = find_claimed(event.exchange, state)
    if claimed is None:
        return []
    if not isinstance(claimed.progress.stage, Claiming):
        state.router.remove_exchange(claimed.exchange)
        return [CancelDispatch(claimed.exchange.attempt)]
    return _give_up(claimed, state, now)


@reduce.register
def _(event: ClaimedDeadlineReached, state: State, now: float) -> list[Effect]:
    claimed = find_claimed(event.exchange, state)
    if claimed is None:
        return []
    return _give_up(claimed, state, now)


def _give_up(claimed: ClaimedExchange, state: State, now: float) -> list[Effect]:
    """Seek a proof that a request past its deadline did not run, for a short while."""
    stage = find_last_stage(claimed.progress.stage, claimed.progress)
    if stage is None:
        problem = describe_verdict(ClaimVerdict.CONTENDED)
        return fail_exchange(claimed.exchange, problem, state)
    timer = SetTimer(now + PROOF_TIMEOUT, ProofDue(claimed.exchange.id))
    return [timer, *enter(stage, claimed, state, now)]


@singledispatch
def find_last_stage(stage: Stage, progress: ClaimProgress) -> Stage | None:
    """Return the stage in which the outcome is sought after the deadline."""
    return None


@find_last_stage.register
def _(stage: Claiming, progress: ClaimProgress) -> Stage | None:
    return Releasing(0, describe_deadline(), is_final=True)


@find_last_stage.register
def _(stage: Dispatched, progress: ClaimProgress) -> Stage | None:
    return Resolving(stage.claim, is_final=True)


@find_last_stage.register
def _(stage: Resolving, progress: ClaimProgress) -> Stage | None:
    return Resolving(stage.claim, is_final=True)


@find_last_stage.register
def _(stage: Releasing, progress: ClaimProgress) -> Stage | None:
    return Releasing(stage.number, stage.problem, is_final=True)


@reduce.register
def _(event: ProofDue, state: State, now: float) -> list[Effect]:
    claimed = find_claimed(event.exchange, state)
    if claimed is None:
        return []
    progress = claimed.progress
    stage = progress.stage
    problem = describe_unknown()
    if progress.has_own_key and isinstance(stage, Releasing):
        problem = stage.problem
    cancel = CancelDispatch(claimed.exchange.attempt)
    return [cancel, *fail_exchange(claimed.exchange, problem, state)]
