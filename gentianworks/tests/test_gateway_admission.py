"""Tests of what a gateway refuses when a service gets more than it can serve."""

from __future__ import annotations

from typing import Any

from attrs import define, field

from gentianworks.core.effects.callers import FinishAnswer, RefuseRequest
from gentianworks.core.effects.gateway import CallReplica
from gentianworks.core.events.gateway import CallExpired, ReplicaAnswerEnded
from gentianworks.core.gateway.admission import spread_return
from gentianworks.core.handlers import reduce
from gentianworks.core.state import State
from gentianworks.core.types import ProblemKind, RunState
from gentianworks.tests.gateways import (
    NOW,
    answer,
    build_gateway,
    get_gateway,
    send_call,
)

READ: dict[str, Any] = {"path": "/read/1", "prompt": (), "timeout": 1.5}
SLOTS = 6
WORK = 0.1  # seconds
REPLICAS = 3
TICK = 0.01  # seconds


@define
class Flood:
    """Replay a flood on replicas that run a few calls each and queue the rest."""

    state: State = field(factory=lambda: build_gateway(REPLICAS))
    now: float = NOW
    queues: dict[str, list[CallReplica]] = field(factory=dict)
    running: list[tuple[float, CallReplica]] = field(factory=list)
    arrived: dict[str, float] = field(factory=dict)
    served: dict[str, float] = field(factory=dict)
    refused: dict[str, RefuseRequest] = field(factory=dict)

    def send(self, exchange: str) -> None:
        """Let a call arrive."""
        self.arrived[exchange] = self.now
        call = {**READ, "request_id": exchange}
        for effect in send_call(self.state, self.now, exchange, **call):
            if isinstance(effect, CallReplica):
                self.queues.setdefault(effect.replica.name, []).append(effect)
            elif isinstance(effect, RefuseRequest):
                self.refused[exchange] = effect

    def step(self) -> None:
        """Let replicas end and begin calls."""
        self.now += TICK
        ended = [item for item in self.running if item[0] <= self.now]
        self.running = [item for item in self.running if item[0] > self.now]
        for _, call in ended:
            answer(call, self.state, self.now)
            effects = reduce(ReplicaAnswerEnded(call.attempt), self.state, self.now)
            if any(isinstance(effect, FinishAnswer) for effect in effects):
                self.served[call.exchange] = self.now - self.arrived[call.exchange]
        for name, queue in self.queues.items():
            busy = sum(call.replica.name == name for _, call in self.running)
            for call in queue[: SLOTS - busy]:
                self.running.append((self.now + WORK, call))
            del queue[: SLOTS - busy]
        for exchange, began_at in self.arrived.items():
            if self.now - began_at >= 1.5:
                reduce(CallExpired(exchange), self.state, self.now)


def flood(calls_per_tick: int, ticks: int = 300) -> Flood:
    """Return a flood that has been replayed."""
    replay = Flood()
    for tick in range(ticks):
        for number in range(calls_per_tick):
            replay.send(f"x{tick}-{number}")
        replay.step()
    for _ in range(200):
        replay.step()
    return replay


class TestFloods:
    def test_what_can_be_served_is_not_refused(self) -> None:
        replay = flood(1)
        assert not replay.refused
        assert len(replay.served) == len(replay.arrived)

    def test_of_five_times_the_load_what_is_taken_is_served_in_time(self) -> None:
        replay = flood(9)
        capacity = REPLICAS * SLOTS / WORK * 300 * TICK
        assert len(replay.served) >= 0.9 * capacity
        taken = len(replay.arrived) - len(replay.refused)
        assert len(replay.served) >= 0.95 * taken
        assert max(replay.served.values()) <= 1.5

    def test_a_refusal_is_given_at_once_and_says_when_to_come_back(self) -> None:
        replay = flood(9)
        problems = [item.problem for item in replay.refused.values()]
        assert problems
        assert all(item.kind is ProblemKind.OVERLOADED for item in problems)
        assert all(item.run_state is RunState.NOT_RUN for item in problems)
        assert all(item.retry_after > 0 for item in problems)
        assert len({item.retry_after for item in problems}) > len(problems) / 2


class TestReturns:
    def test_the_urgent_come_back_first(self) -> None:
        state = build_gateway()
        send_call(state)
        exchange = get_gateway(state).exchanges["x1"]
        waits = []
        for rank in (0, 1, 2):
            exchange.rank = rank
            waits.append(spread_return(exchange, 1.0))
        assert waits == sorted(waits)
        assert 1.0 <= waits[0] <= 1.25
