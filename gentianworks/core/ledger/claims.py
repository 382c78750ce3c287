"""Claims: a router's handlers for requests that must not be repeated.

Such a request is claimed in the ledger before it is dispatched. Its caller receives
"not run" only after the ledger has confirmed that the attempt did not run and never
will, and that no other exchange wants the key.
"""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.events.ledger import (
    ClaimAnswered,
    ClaimRequired,
    ClaimRetryDue,
    ReleaseAnswered,
    RunEnded,
    VoidAnswered,
)
from gentianworks.core.ledger.claim_problems import (
    REFUSAL_VERDICTS,
    describe_no_endpoint,
    describe_passed_deadline,
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
from gentianworks.core.ledger.claim_transitions import (
    ClaimedExchange,
    build_retry_timer,
    claim_next_endpoint,
    compute_control_turn,
    enter_stage,
    find_claimed_exchange,
    release_claim,
    send_recorded_answer,
    send_stage_messages,
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
from gentianworks.core.routing.dispatch import (
    fail_exchange,
    send_attempt,
)
from gentianworks.core.state import State


@reduce.register
def _(event: ClaimRequired, state: State, now: float) -> list[Effect]:
    exchange = state.router.exchanges[event.exchange]
    request = exchange.request
    progress = exchange.claim = ClaimProgress(
        key=compute_key_id(request.workspace, request.idempotency_key or exchange.id),
        digest=compute_fingerprint(request),
        has_generated_key=not request.idempotency_key,
        stage=Claiming(""),
    )
    return claim_next_endpoint(ClaimedExchange(exchange, progress), state, now)


@reduce.register
def _(event: ClaimRetryDue, state: State, now: float) -> list[Effect]:
    claimed = find_claimed_exchange(event.exchange, state)
    if claimed is None or claimed.progress.round != event.round:
        return []
    return send_stage_messages(claimed, state, now)


@reduce.register
def _(event: ClaimAnswered, state: State, now: float) -> list[Effect]:
    claimed = find_claimed_exchange(event.exchange, state)
    if claimed is None:
        return []
    if isinstance(claimed.progress.stage, Dispatched | Releasing):
        return []
    if event.verdict is ClaimVerdict.RAN and event.answer is not None:
        return send_recorded_answer(claimed.exchange, event.answer, state)
    if event.verdict in REFUSAL_VERDICTS:
        return fail_exchange(claimed.exchange, describe_verdict(event.verdict), state)
    return _handle_undecided(event, claimed, state, now)


def _handle_undecided(
    event: ClaimAnswered, claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    if event.verdict is ClaimVerdict.NOT_REGISTERED:
        return _skip_endpoint(claimed, state, now)
    if event.claim is None or event.claim.number <= claimed.progress.last_number:
        return []
    if event.verdict is ClaimVerdict.GRANTED:
        return _dispatch_granted(event.claim, claimed, state, now)
    if event.verdict is ClaimVerdict.IN_PROGRESS:
        return _start_watching(event.claim, claimed, state, now)
    return []


def _skip_endpoint(claimed: ClaimedExchange, state: State, now: float) -> list[Effect]:
    if not isinstance(claimed.progress.stage, Claiming):
        return []
    progress, endpoint = claimed.progress, claimed.progress.stage.endpoint
    progress.unregistered.add(endpoint)
    progress.unregistered_since = min(progress.unregistered_since, now)
    claimed.exchange.tried_endpoints.add(endpoint)
    return claim_next_endpoint(claimed, state, now)


def _dispatch_granted(
    claim: Claim, claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    if isinstance(claimed.progress.stage, Resolving):
        return []
    claimed.progress.last_number = claim.number
    endpoint = state.configuration.find_endpoint(claim.endpoint)
    if endpoint is None:
        problem = describe_no_endpoint(claimed.exchange.request.service)
        return release_claim(claim, problem, claimed, state, now)
    entered = enter_stage(Dispatched(claim), claimed, state, now)
    return [*entered, *send_attempt(claimed.exchange, endpoint, state, now, claim)]


def _start_watching(
    claim: Claim, claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    stage = claimed.progress.stage
    if isinstance(stage, Resolving) and stage.is_final:
        return []
    if isinstance(stage, Watching) and stage.claim == claim:
        return []
    claimed.progress.stage = Watching(claim, now)
    claimed.progress.round += 1
    claimed.progress.send_count += 1
    return [build_retry_timer(claimed, now)]


@reduce.register
def _(event: ReleaseAnswered, state: State, now: float) -> list[Effect]:
    claimed = find_claimed_exchange(event.exchange, state)
    if claimed is None:
        return []
    stage = claimed.progress.stage
    if not isinstance(stage, Releasing) or event.number != stage.number:
        return []
    if event.verdict is ClaimVerdict.RAN and event.answer is not None:
        return send_recorded_answer(claimed.exchange, event.answer, state)
    if event.verdict in REFUSAL_VERDICTS:
        return fail_exchange(claimed.exchange, describe_verdict(event.verdict), state)
    if not stage.is_final:
        return claim_next_endpoint(claimed, state, now)
    if event.verdict is ClaimVerdict.NOT_RUN:
        return fail_exchange(claimed.exchange, stage.problem, state)
    return fail_exchange(claimed.exchange, describe_verdict(event.verdict), state)


@reduce.register
def _(event: VoidAnswered, state: State, now: float) -> list[Effect]:
    claimed = find_claimed_exchange(event.exchange, state)
    if claimed is None:
        return []
    stage = claimed.progress.stage
    if not isinstance(stage, Watching | Resolving) or stage.claim != event.claim:
        return []
    if event.verdict is VoidVerdict.FORGOTTEN:
        return _record_unknown(event.claim, claimed.progress, state)
    if event.verdict is not VoidVerdict.VOIDED:
        return []
    problem = describe_passed_deadline()
    return release_claim(event.claim, problem, claimed, state, now)


def _record_unknown(
    claim: Claim, progress: ClaimProgress, state: State
) -> list[Effect]:
    ended = RunEnded(
        sender=state.node.name,
        peer_address=state.node.peer_address,
        claim=claim,
        status=ClaimStatus.UNKNOWN,
        answer=None,
    )
    return send_to_control(ended, compute_control_turn(progress), state)
