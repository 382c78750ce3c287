"""Property test of streams: each caller receives only its own answer, in order.

An answer is complete, or visibly cut. Agents answer several exchanges with numbered
events; their messages are lost, duplicated, reordered across exchanges and cut;
endpoints refuse and fail.
"""

from __future__ import annotations

import random

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.callers import (
    AbortAnswer,
    FinishAnswer,
    RefuseRequest,
    RelayPiece,
)
from gentianworks.core.effects.dispatch import SendDispatch
from gentianworks.core.effects.lifecycle import SetTimer
from gentianworks.core.events.base import Event
from gentianworks.core.events.callers import RoutingRetryDue
from gentianworks.core.events.dispatch import AnswerPiece, AttemptConnectionLost
from gentianworks.core.handlers import reduce
from gentianworks.core.types import Problem, ProblemKind, RunState
from gentianworks.tests.fixtures import (
    NOW,
    build_end,
    build_head,
    build_refusal,
    build_state,
    send_request,
)

EVENTS = 4
SEEDS = strategies.integers(0, 2**16)
REFUSALS = (
    Problem(ProblemKind.OVERLOADED, "full", retry_after=0.1),
    Problem(ProblemKind.LEAVING, "leaving"),
    Problem(ProblemKind.ENDPOINT_FAILED, "failed", run_state=RunState.UNKNOWN),
)


def build_data(exchange: str, number: int) -> bytes:
    return f"{exchange} event {number};".encode()


class Streams(RuleBasedStateMachine):
    """State machine that drives a router with the messages of faulty agents."""

    def __init__(self) -> None:
        super().__init__()
        self.state = build_state()
        self.now = NOW
        self.number = 0
        self.queued: list[Event] = []
        self.delivered: list[Event] = []
        self.received: dict[str, bytes] = {}
        self.ended: dict[str, Effect] = {}

    def handle(self, event: Event) -> None:
        for effect in reduce(event, self.state, self.now):
            self.perform(effect)

    def perform(self, effect: Effect) -> None:
        if isinstance(effect, SendDispatch):
            self.answer(effect)
        if isinstance(effect, SetTimer) and isinstance(effect.event, RoutingRetryDue):
            self.queued.append(effect.event)
        if isinstance(effect, RelayPiece):
            assert effect.exchange not in self.ended
            self.received[effect.exchange] = (
                self.received.get(effect.exchange, b"") + effect.data
            )
        if isinstance(effect, (FinishAnswer, AbortAnswer, RefuseRequest)):
            assert effect.exchange not in self.ended
            self.ended[effect.exchange] = effect

    def answer(self, effect: SendDispatch) -> None:
        """Queue the complete answer to a dispatch for delivery."""
        attempt, first = effect.dispatch.attempt, effect.dispatch.resume_after + 1
        numbers = range(first, EVENTS)
        pieces = [
            AnswerPiece(
                "agent", attempt, n - first, build_data(effect.exchange, n), n, n
            )
            for n in numbers
        ]
        self.queued += [build_head(attempt), *pieces, build_end(attempt, len(pieces))]

    @rule()
    def arrive(self) -> None:
        self.number += 1
        self.now += 0.1
        exchange = f"x{self.number}"
        for effect in send_request(self.state, self.now, exchange, chat=exchange):
            self.perform(effect)

    @rule(count=strategies.integers(1, 8))
    def deliver(self, count: int) -> None:
        for _ in range(count):
            if self.queued:
                self.delivered.append(self.queued.pop(0))
                self.handle(self.delivered[-1])

    @rule(seed=SEEDS)
    def deliver_out_of_order(self, seed: int) -> None:
        if self.queued:
            self.handle(self.queued.pop(seed % len(self.queued)))

    @rule(seed=SEEDS)
    def lose(self, seed: int) -> None:
        if self.queued:
            self.queued.pop(seed % len(self.queued))

    @rule(seed=SEEDS)
    def deliver_again(self, seed: int) -> None:
        if self.delivered:
            self.handle(self.delivered[seed % len(self.delivered)])

    @rule(seed=SEEDS, was_sent=strategies.booleans())
    def cut(self, seed: int, was_sent: bool) -> None:
        attempts = sorted(self.state.router.exchange_of_attempt)
        if attempts:
            self.handle(AttemptConnectionLost(attempts[seed % len(attempts)], was_sent))

    @rule(seed=SEEDS, problem=strategies.sampled_from(REFUSALS))
    def refuse(self, seed: int, problem: Problem) -> None:
        attempts = sorted(self.state.router.exchange_of_attempt)
        if attempts:
            self.handle(build_refusal(attempts[seed % len(attempts)], problem))

    @rule(seed=SEEDS)
    def shuffle(self, seed: int) -> None:
        random.Random(seed).shuffle(self.queued)

    @invariant()
    def caller_has_its_own_events_in_order(self) -> None:
        for exchange, received in self.received.items():
            complete = b"".join(build_data(exchange, n) for n in range(EVENTS))
            assert complete.startswith(received)

    @invariant()
    def finished_answers_are_complete(self) -> None:
        for exchange, effect in self.ended.items():
            complete = b"".join(build_data(exchange, n) for n in range(EVENTS))
            if isinstance(effect, FinishAnswer):
                assert self.received[exchange] == complete

    @invariant()
    def refused_requests_relayed_no_piece(self) -> None:
        for exchange, effect in self.ended.items():
            if isinstance(effect, RefuseRequest):
                assert exchange not in self.received


TestStreams = Streams.TestCase
TestStreams.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
