"""Claim steps: what a router sends at each stage of a claim."""

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
    Releasing,
    Resolving,
    Stage,
    Watching,
)
from gentianworks.core.ledger.recording import describe_unkept_answer
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


@frozen
class ClaimedExchange:
    """Hold an exchange in flight and how far its claim is."""

    exchange: Exchange
    progress: ClaimProgress


def find_claimed(exchange_id: ExchangeId, state: State) -> ClaimedExchange | None:
    """Return the exchange if it is in flight and needs a claim, or None."""
    exchange = state.router.exchanges.get(exchange_id)
    if exchange is None or exchange.claim is None:
        return None
    return ClaimedExchange(exchange, exchange.claim)


def claim_next(claimed: ClaimedExchange, state: State, now: float) -> list[Effect]:
    """Claim an attempt at the next endpoint, or end the exchange as not run."""
    exchange, progress = claimed.exchange, claimed.progress
    endpoint = find_endpoint(exchange, state, now)
    if endpoint is None or exchange.attempts >= MAX_ATTEMPTS:
        problem = progress.problem or describe_no_endpoint(exchange.request.service)
        stage = Releasing(progress.last_number, problem, is_final=True)
        return enter(stage, claimed, state, now)
    return enter(Claiming(endpoint.name), claimed, state, now)


def enter(
    stage: Stage, claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    """Enter a stage and send what it waits for."""
    claimed.progress.stage = stage
    claimed.progress.round += 1
    return send_stage(claimed, state, now)


def send_stage(claimed: ClaimedExchange, state: State, now: float) -> list[Effect]:
    """Send a stage's messages, and set the timer that sends them again."""
    sends = list_sends(claimed.progress.stage, claimed, state, now)
    if not sends:
        return []
    claimed.progress.sends += 1
    return [*sends, time_retry(claimed, now)]


def time_retry(claimed: ClaimedExchange, now: float) -> SetTimer:
    """Return the timer after which the present stage's messages are sent again."""
    retry = ClaimRetryDue(claimed.exchange.id, claimed.progress.round)
    return SetTimer(now + CLAIM_RETRY_INTERVAL, retry)


@singledispatch
def list_sends(
    stage: Stage, claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    """Return the messages that a stage sends until it is answered."""
    return []


@list_sends.register
def _(
    stage: Claiming, claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    return _want_claim(stage.endpoint, claimed, state)


@list_sends.register
def _(
    stage: Watching, claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    endpoint = find_endpoint(claimed.exchange, state, now)
    name = endpoint.name if endpoint else stage.claim.endpoint
    wanted = _want_claim(name, claimed, state)
    if now - stage.since < VOID_DELAY:
        return wanted
    return [*wanted, *_want_void(stage.claim, False, claimed.exchange, state)]


@list_sends.register
def _(
    stage: Resolving, claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    query = _want_claim("", claimed, state)
    return [*query, *_want_void(stage.claim, stage.is_final, claimed.exchange, state)]


@list_sends.register
def _(
    stage: Releasing, claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    wanted = ReleaseWanted(
        sender=state.node.name,
        peer_address=state.node.peer_address,
        exchange=claimed.exchange.id,
        key=claimed.progress.key,
        digest=claimed.progress.digest,
        number=stage.number,
        is_final=stage.is_final,
    )
    return send_to_control(wanted, find_turn(claimed.progress), state)


def _want_claim(endpoint: str, claimed: ClaimedExchange, state: State) -> list[Effect]:
    wanted = ClaimWanted(
        sender=state.node.name,
        peer_address=state.node.peer_address,
        exchange=claimed.exchange.id,
        key=claimed.progress.key,
        digest=claimed.progress.digest,
        endpoint=endpoint,
        last_number=claimed.progress.last_number,
    )
    return send_to_control(wanted, find_turn(claimed.progress), state)


def find_turn(progress: ClaimProgress) -> int:
    """Return whose turn it is to be sent a message among the control hosts."""
    return int(progress.key[:4], 16) + progress.sends


def _want_void(
    claim: Claim, withdraws_queued: bool, exchange: Exchange, state: State
) -> list[Effect]:
    endpoint = state.configuration.find_endpoint(claim.endpoint)
    if endpoint is None:
        return []
    wanted = VoidWanted(
        sender=state.node.name,
        peer_address=state.node.peer_address,
        exchange=exchange.id,
        claim=claim,
        withdraws_queued=withdraws_queued,
    )
    return [SendMessage(endpoint.peer_address, wanted)]


def tell_answer(
    exchange: Exchange, answer: RecordedAnswer, state: State
) -> list[Effect]:
    """Give a caller the recorded answer of its key."""
    if exchange.has_started or not answer.is_whole:
        return fail_exchange(exchange, describe_unkept_answer(), state)
    state.router.remove_exchange(exchange)
    return [
        StartAnswer(exchange.id, answer.status, answer.headers, exchange.endpoint),
        RelayPiece(exchange.id, answer.body),
        FinishAnswer(exchange.id),
    ]


def release(
    claim: Claim, problem: Problem, claimed: ClaimedExchange, state: State, now: float
) -> list[Effect]:
    """Have the ledger confirm that a claimed attempt did not run."""
    former = claimed.progress.stage
    is_late = isinstance(former, Resolving) and former.is_final
    is_final = is_late or problem.kind is ProblemKind.QUARANTINED
    stage = Releasing(claim.number, problem, is_final)
    return enter(stage, claimed, state, now)
