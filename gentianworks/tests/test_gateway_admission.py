"""Tests of how a gateway refuses calls of an overloaded service."""

from __future__ import annotations

from typing import Any

from attrs import define, field

from gentianworks.core.effects.callers import FinishAnswer, RefuseRequest
from gentianworks.core.effects.gateway import CallReplica
from gentianworks.core.events.gateway import CallExpired, ReplicaAnswerEnded
from gentianworks.core.gateway.admission import spread_retry_after
from gentianworks.core.handlers import reduce
from gentianworks.core.state import State
from gentianworks.core.types import ProblemKind, RunState
from gentianworks.tests.gateways import (
    NOW,
    answer_call,
    build_gateway,
    get_gateway,
    send_call,
)

READ: dict[str, Any] = {"path": "/read/1", "prompt": (), "timeout": 1.5}
SLOTS = 6
CALL_DURATION = 0.1  # seconds
REPLICAS = 3
TICK = 0.01  # seconds


@define
class Simulation:
    """Simulation of calls at replicas that run a few at a time and queue the rest."""

    state: State = field(factory=lambda: build_gateway(REPLICAS))
    now: float = NOW
    queues: dict[str, list[CallReplica]] = field(factory=dict)
    running: list[tuple[float, CallReplica]] = field(factory=list)
    arrived: dict[str, float] = field(factory=dict)
    served: dict[str, float] = field(factory=dict)
    refused: dict[str, RefuseRequest] = field(factory=dict)

    def send(self, exchange: str) -> None:
        """Send a call to the gateway."""
        self.arrived[exchange] = self.now
        call = {**READ, "request_id": exchange}
        for effect in send_call(self.state, self.now, exchange, **call):
            if isinstance(effect, CallReplica):
                self.queues.setdefault(effect.replica.name, []).append(effect)
            elif isinstance(effect, RefuseRequest):
                self.refused[exchange] = effect

    def step(self) -> None:
        """Advance the time by a tick: end, start and expire calls."""
        self.now += TICK
        ended = [item for item in self.running if item[0] <= self.now]
        self.running = [item for item in self.running if item[0] > self.now]
        for _, call in ended:
            answer_call(call, self.state, self.now)
            effects = reduce(ReplicaAnswerEnded(call.attempt), self.state, self.now)
            if any(isinstance(effect, FinishAnswer) for effect in effects):
                self.served[call.exchange] = self.now - self.arrived[call.exchange]
        for name, queue in self.queues.items():
            busy = sum(call.replica.name == name for _, call in self.running)
            for call in queue[: SLOTS - busy]:
                self.running.append((self.now + CALL_DURATION, call))
            del queue[: SLOTS - busy]
        for exchange, arrived_at in self.arrived.items():
            if self.now - arrived_at >= 1.5:
                reduce(CallExpired(exchange), self.state, self.now)


def simulate(calls_per_tick: int, ticks: int = 300) -> Simulation:
    """Return a simulation that has run to its end."""
    simulation = Simulation()
    for tick in range(ticks):
        for number in range(calls_per_tick):
            simulation.send(f"x{tick}-{number}")
        simulation.step()
    for _ in range(200):
        simulation.step()
    return simulation


class TestOverload:
    def test_a_load_within_capacity_is_not_refused(self) -> None:
        simulation = simulate(1)
        assert not simulation.refused
        assert len(simulation.served) == len(simulation.arrived)

    def test_accepted_calls_meet_their_deadline_at_five_times_the_capacity(
        self,
    ) -> None:
        simulation = simulate(9)
        capacity = REPLICAS * SLOTS / CALL_DURATION * 300 * TICK
        assert len(simulation.served) >= 0.9 * capacity
        accepted = len(simulation.arrived) - len(simulation.refused)
        assert len(simulation.served) >= 0.95 * accepted
        assert max(simulation.served.values()) <= 1.5

    def test_a_refusal_is_immediate_and_gives_a_retry_delay(self) -> None:
        simulation = simulate(9)
        problems = [item.problem for item in simulation.refused.values()]
        assert problems
        assert all(item.kind is ProblemKind.OVERLOADED for item in problems)
        assert all(item.run_state is RunState.NOT_RUN for item in problems)
        assert all(item.retry_after > 0 for item in problems)
        assert len({item.retry_after for item in problems}) > len(problems) / 2


class TestRetryDelays:
    def test_more_urgent_ranks_retry_first(self) -> None:
        state = build_gateway()
        send_call(state)
        exchange = get_gateway(state).exchanges["x1"]
        delays = []
        for rank in (0, 1, 2):
            exchange.rank = rank
            delays.append(spread_retry_after(exchange, 1.0))
        assert delays == sorted(delays)
        assert 1.0 <= delays[0] <= 1.25
