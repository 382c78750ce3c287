"""Claim transitions: stage changes of a claim and the messages of each stage."""

from __future__ import annotations

from functools import singledispatch

from attrs import frozen

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.callers import FinishAnswer, RelayPiece, StartAnswer
from gentianworks.core.effects.lifecycle import SendMessage, SetTimer
from gentianworks.core.events.ledger import (
    ClaimRetryDue,
    ClaimWanted,
    ReleaseWanted,
    VoidWanted,
)
from gentianworks.core.ledger.claim_problems import describe_no_endpoint
from gentianworks.core.ledger.claim_stages import (
    Claiming,
    ClaimProgress,
    ClaimStage,
    Releasing,
    Resolving,
    Watching,
)
from gentianworks.core.ledger.claimed_runs import describe_unkept_answer
from gentianworks.core.ledger.types import (
    Claim,
    RecordedAnswer,
)
from gentianworks.core.replication.control_hosts import send_to_control
from gentianworks.core.routing.dispatch import (
    MAX_ATTEMPTS,
    fail_exchange,
    find_endpoint,
)
from gentianworks.core.routing.exchanges import Exchange
from gentianworks.core.state import State
from gentianworks.core.types import ExchangeId, Problem, ProblemKind

CLAIM_RETRY_INTERVAL = 0.25  # seconds
VOID_DELAY = 1.0  # seconds
REGISTRATION_WAIT = 2.0  # seconds; an agent that has started registers each 0.25 s


@frozen
class ClaimedExchange:
    """Exchange in flight with the progress of its claim."""

    exchange: Exchange
    progress: ClaimProgress


def find_claimed_exchange(
    exchange_id: ExchangeId, state: State
) -> ClaimedExchange | None:
    """Return the exchange if it is in flight and needs a claim, None otherwise."""
    exchange = state.router.exchanges.get(exchange_id)
    if exchange is None or exchange.claim is None:
        return None
    return ClaimedExchange(exchange, exchange.claim)


def claim_next_endpoint(
    claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    """Claim an attempt at the next endpoint, or release the key if there is none."""
    exchange, progress = claimed.exchange, claimed.progress
    endpoint = find_endpoint(exchange, state, now)
    if endpoint is None and _may_wait_for_registration(progress, now):
        return _wait_for_registration(claimed, state, now)
    if endpoint is None or exchange.attempts >= MAX_ATTEMPTS:
        problem = progress.last_problem or describe_no_endpoint(
            exchange.request.service
        )
        stage = Releasing(progress.last_number, problem, is_final=True)
        return enter_stage(stage, claimed, state, now)
    return enter_stage(Claiming(endpoint.name), claimed, state, now)


def _may_wait_for_registration(progress: ClaimProgress, now: float) -> bool:
    waited = now - progress.unregistered_since
    return bool(progress.unregistered) and waited < REGISTRATION_WAIT


def _wait_for_registration(
    claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    """Try the endpoints again whose agents were not registered, after a pause."""
    exchange, progress = claimed.exchange, claimed.progress
    exchange.tried_endpoints -= progress.unregistered
    progress.unregistered.clear()
    endpoint = find_endpoint(exchange, state, now)
    if endpoint is None:
        return claim_next_endpoint(claimed, state, now)
    progress.stage = Claiming(endpoint.name)
    progress.round += 1
    return [build_retry_timer(claimed, now)]


def enter_stage(
    stage: ClaimStage, claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    """Enter a stage and send its messages."""
    claimed.progress.stage = stage
    claimed.progress.round += 1
    return send_stage_messages(claimed, state, now)


def send_stage_messages(
    claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    """Send the messages of the current stage and set the timer of their retry."""
    messages = build_stage_messages(claimed.progress.stage, claimed, state, now)
    if not messages:
        return []
    claimed.progress.send_count += 1
    return [*messages, build_retry_timer(claimed, now)]


def build_retry_timer(claimed: ClaimedExchange, now: float) -> SetTimer:
    """Return the timer after which the messages of the current stage are sent again."""
    retry = ClaimRetryDue(claimed.exchange.id, claimed.progress.round)
    return SetTimer(now + CLAIM_RETRY_INTERVAL, retry)


@singledispatch
def build_stage_messages(
    stage: ClaimStage, claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    """Return the messages that a stage sends and repeats until it is answered."""
    return []


@build_stage_messages.register
def _(
    stage: Claiming, claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    return _request_claim(stage.endpoint, claimed, state)


@build_stage_messages.register
def _(
    stage: Watching, claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    endpoint = find_endpoint(claimed.exchange, state, now)
    name = endpoint.name if endpoint else stage.claim.endpoint
    claim_requests = _request_claim(name, claimed, state)
    if now - stage.started_at < VOID_DELAY:
        return claim_requests
    return [
        *claim_requests,
        *_request_void(stage.claim, False, claimed.exchange, state),
    ]


@build_stage_messages.register
def _(
    stage: Resolving, claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    query = _request_claim("", claimed, state)
    return [
        *query,
        *_request_void(stage.claim, stage.is_final, claimed.exchange, state),
    ]


@build_stage_messages.register
def _(
    stage: Releasing, claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    message = ReleaseWanted(
        sender=state.node.name,
        peer_address=state.node.peer_address,
        exchange=claimed.exchange.id,
        key=claimed.progress.key,
        digest=claimed.progress.digest,
        number=stage.number,
        is_final=stage.is_final,
    )
    return send_to_control(message, compute_control_turn(claimed.progress), state)


def _request_claim(
    endpoint: str, claimed: ClaimedExchange, state: State
) -> list[Effect]:
    message = ClaimWanted(
        sender=state.node.name,
        peer_address=state.node.peer_address,
        exchange=claimed.exchange.id,
        key=claimed.progress.key,
        digest=claimed.progress.digest,
        endpoint=endpoint,
        last_number=claimed.progress.last_number,
    )
    return send_to_control(message, compute_control_turn(claimed.progress), state)


def compute_control_turn(progress: ClaimProgress) -> int:
    """Return the turn that selects the control host of the next message.

    Keys are spread over the control hosts, and each retry goes to the next one.
    """
    return int(progress.key[:4], 16) + progress.send_count


def _request_void(
    claim: Claim, withdraws_queued: bool, exchange: Exchange, state: State
) -> list[Effect]:
    endpoint = state.configuration.find_endpoint(claim.endpoint)
    if endpoint is None:
        return []
    message = VoidWanted(
        sender=state.node.name,
        peer_address=state.node.peer_address,
        exchange=exchange.id,
        claim=claim,
        withdraws_queued=withdraws_queued,
    )
    return [SendMessage(endpoint.peer_address, message)]


def send_recorded_answer(
    exchange: Exchange, answer: RecordedAnswer, state: State
) -> list[Effect]:
    """Send a caller the recorded answer of its key."""
    if exchange.has_started or not answer.is_whole:
        return fail_exchange(exchange, describe_unkept_answer(), state)
    state.router.remove_exchange(exchange)
    return [
        StartAnswer(exchange.id, answer.status, answer.headers, exchange.endpoint),
        RelayPiece(exchange.id, answer.body),
        FinishAnswer(exchange.id),
    ]


def release_claim(
    claim: Claim, problem: Problem, claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    """Request that the ledger confirm that a claimed attempt did not run."""
    previous_stage = claimed.progress.stage
    is_past_deadline = isinstance(previous_stage, Resolving) and previous_stage.is_final
    is_final = is_past_deadline or problem.kind is ProblemKind.QUARANTINED
    stage = Releasing(claim.number, problem, is_final)
    return enter_stage(stage, claimed, state, now)
