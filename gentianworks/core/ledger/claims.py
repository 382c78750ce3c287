"""Claims: a router's handlers for requests that must not be repeated.

Such a request is claimed in the ledger before it is dispatched. Its caller is told
"not run" only once the ledger has confirmed that the attempt did not run, never will,
and that no other exchange wants the key.
"""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.events.ledger import (
    ClaimAnswered,
    ClaimDue,
    ClaimRetryDue,
    ReleaseAnswered,
    RunEnded,
    VoidAnswered,
)
from gentianworks.core.ledger.claim_problems import (
    DECIDED,
    describe_deadline,
    describe_no_endpoint,
    describe_verdict,
)
from gentianworks.core.ledger.claim_stages import (
    Claiming,
    ClaimProgress,
    Dispatched,
    Releasing,
    Resolving,
    Watching,
)
from gentianworks.core.ledger.claim_steps import (
    ClaimedExchange,
    claim_next,
    enter,
    find_claimed,
    find_turn,
    release,
    send_stage,
    tell_answer,
    time_retry,
)
from gentianworks.core.ledger.types import (
    Claim,
    ClaimStatus,
    ClaimVerdict,
    VoidVerdict,
)
from gentianworks.core.quarantine.fingerprints import (
    compute_fingerprint,
    compute_key_id,
)
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.control_hosts import send_to_control
from gentianworks.core.routing.routing import (
    refuse,
    send_attempt,
)
from gentianworks.core.state import State


@reduce.register
def _(event: ClaimDue, state: State, now: float) -> list[Effect]:
    exchange = state.router.exchanges[event.exchange]
    request = exchange.request
    progress = exchange.claim = ClaimProgress(
        key=compute_key_id(request.workspace, request.idempotency_key or exchange.id),
        digest=compute_fingerprint(request),
        has_own_key=not request.idempotency_key,
        stage=Claiming(""),
    )
    return claim_next(ClaimedExchange(exchange, progress), state, now)


@reduce.register
def _(event: ClaimRetryDue, state: State, now: float) -> list[Effect]:
    claimed = find_claimed(event.exchange, state)
    if claimed is None or claimed.progress.round != event.round:
        return []
    return send_stage(claimed, state, now)


@reduce.register
def _(event: ClaimAnswered, state: State, now: float) -> list[Effect]:
    claimed = find_claimed(event.exchange, state)
    if claimed is None:
        return []
    if isinstance(claimed.progress.stage, Dispatched | Releasing):
        return []
    if event.verdict is ClaimVerdict.RAN and event.answer is not None:
        return tell_answer(claimed.exchange, event.answer, state)
    if event.verdict in DECIDED:
        return refuse(claimed.exchange, describe_verdict(event.verdict), state)
    return _follow_claim(event, claimed, state, now)


def _follow_claim(
    event: ClaimAnswered, claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    if event.verdict is ClaimVerdict.NOT_REGISTERED:
        return _skip_endpoint(claimed, state, now)
    if event.claim is None or event.claim.number <= claimed.progress.last_number:
        return []
    if event.verdict is ClaimVerdict.GRANTED:
        return _take_grant(event.claim, claimed, state, now)
    if event.verdict is ClaimVerdict.IN_PROGRESS:
        return _watch(event.claim, claimed, state, now)
    return []


def _skip_endpoint(claimed: ClaimedExchange, state: State, now: float) -> list[Effect]:
    if not isinstance(claimed.progress.stage, Claiming):
        return []
    claimed.exchange.tried.add(claimed.progress.stage.endpoint)
    return claim_next(claimed, state, now)


def _take_grant(
    claim: Claim, claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    if isinstance(claimed.progress.stage, Resolving):
        return []
    claimed.progress.last_number = claim.number
    endpoint = state.configuration.find_endpoint(claim.endpoint)
    if endpoint is None:
        problem = describe_no_endpoint(claimed.exchange.request.service)
        return release(claim, problem, claimed, state, now)
    entered = enter(Dispatched(claim), claimed, state, now)
    return [*entered, *send_attempt(claimed.exchange, endpoint, state, now, claim)]


def _watch(
    claim: Claim, claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    stage = claimed.progress.stage
    if isinstance(stage, Resolving) and stage.is_final:
        return []
    if isinstance(stage, Watching) and stage.claim == claim:
        return []
    claimed.progress.stage = Watching(claim, now)
    claimed.progress.round += 1
    claimed.progress.sends += 1
    return [time_retry(claimed, now)]


@reduce.register
def _(event: ReleaseAnswered, state: State, now: float) -> list[Effect]:
    claimed = find_claimed(event.exchange, state)
    if claimed is None:
        return []
    stage = claimed.progress.stage
    if not isinstance(stage, Releasing) or event.number != stage.number:
        return []
    if event.verdict is ClaimVerdict.RAN and event.answer is not None:
        return tell_answer(claimed.exchange, event.answer, state)
    if event.verdict in DECIDED:
        return refuse(claimed.exchange, describe_verdict(event.verdict), state)
    if not stage.is_final:
        return claim_next(claimed, state, now)
    if event.verdict is ClaimVerdict.NOT_RUN:
        return refuse(claimed.exchange, stage.problem, state)
    return refuse(claimed.exchange, describe_verdict(event.verdict), state)


@reduce.register
def _(event: VoidAnswered, state: State, now: float) -> list[Effect]:
    claimed = find_claimed(event.exchange, state)
    if claimed is None:
        return []
    stage = claimed.progress.stage
    if not isinstance(stage, Watching | Resolving) or stage.claim != event.claim:
        return []
    if event.verdict is VoidVerdict.FORGOTTEN:
        return _report_unknown(event.claim, claimed.progress, state)
    if event.verdict is not VoidVerdict.VOIDED:
        return []
    problem = describe_deadline()
    return release(event.claim, problem, claimed, state, now)


def _report_unknown(
    claim: Claim, progress: ClaimProgress, state: State
) -> list[Effect]:
    ended = RunEnded(
        sender=state.node.name,
        peer_address=state.node.peer_address,
        claim=claim,
        status=ClaimStatus.UNKNOWN,
        answer=None,
    )
    return send_to_control(ended, find_turn(progress), state)
