"""Tests of placement and admission by the slowness that replicas report."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from functools import cache
from random import Random
from typing import Any

import pytest
from aioprometheus import render
from attrs import define, evolve, field

from gentianworks.core.effects.callers import RefuseRequest, RelayPiece
from gentianworks.core.effects.gateway import CallReplica
from gentianworks.core.effects.metrics import ObserveDelayError
from gentianworks.core.events.gateway import (
    CallArrived,
    ReplicaAnswerEnded,
    ReplicaAnswerPiece,
)
from gentianworks.core.gateway.admission import DEFAULT_DURATION
from gentianworks.core.gateway.calls import Call, PromptPart
from gentianworks.core.gateway.dispatch import ANSWER_MARGIN
from gentianworks.core.gateway.replicas import Replica
from gentianworks.core.gateway.state import GatewayState
from gentianworks.core.handlers import reduce
from gentianworks.core.placement.speeds import FIGURE_LIFETIME, SpeedTable
from gentianworks.core.request_metrics import OpenSpans, derive_metrics
from gentianworks.core.routing.placement import order_by_score
from gentianworks.core.state import State
from gentianworks.telemetry.metrics import Metrics
from gentianworks.tests.gateways import (
    CALL,
    NOW,
    answer_call,
    build_gateway,
    get_effect,
    get_gateway,
    send_call,
)

TARGET = 0.215  # seconds
TICK = 0.005  # seconds
SPEED_TICKS = 20  # a machine's speed changes every 100 ms
BURSTS = (1, 1, 1, 4, 1, 2)  # of the usual rate, by second
WORKED = ((0.7, 1.0, 3.0), 0.4)  # usual slowness of each machine, and its variation
Figure = Callable[[float, Random], int]
FIGURES: dict[str, Figure] = {
    "unreported": lambda slowness, random: 0,
    "true": lambda slowness, random: round(100 * slowness),
    "always 25": lambda slowness, random: 25,
    "always 10,000": lambda slowness, random: 10_000,
    "random": lambda slowness, random: random.choice((25, 50, 100, 200, 400, 1000)),
}


@define
class Machine:
    """Replica that runs calls in order of arrival at a changing speed."""

    replica: Replica
    slowness: float = 1.0
    calls: dict[str, float] = field(factory=dict)  # seconds of work left

    def advance(self) -> list[str]:
        """Work for a tick; return the calls that have ended."""
        running = list(self.calls)[: self.replica.slots]
        for name in running:
            self.calls[name] -= TICK / self.slowness
        ended = [name for name in running if self.calls[name] <= 0]
        for name in ended:
            del self.calls[name]
        return ended

    def estimate(self) -> float:
        """Return the true time of one more call, per second of its work."""
        ahead = max(0, len(self.calls) + 1 - self.replica.slots)
        return (1 + ahead / self.replica.slots) * self.slowness


@define
class Replay:
    """Calls of 28 routers in virtual time; without a figure, one knows the truth."""

    figure: Figure | None
    seed: int
    usual: tuple[float, ...] = WORKED[0]
    variation: float = WORKED[1]
    rate: float = 55.0  # calls a second
    times: list[float] = field(factory=list)  # seconds; infinite for refused calls
    false_refusals: int = 0  # while a replica had a free slot

    def run(self, seconds: int = 20) -> Replay:
        """Play the calls of some seconds to their end."""
        random, lies = Random(self.seed), Random(self.seed + 1)
        routers = [build_gateway(len(self.usual)) for _ in range(28)]
        books = get_gateway(routers[0]).registry.list_usable("books")
        machines = {item.name: Machine(item) for item in books}
        sent: dict[str, tuple[float, State, CallReplica | None]] = {}
        next_at, end, tick = 0.0, float(seconds), 0
        while next_at < end or sent:
            now = tick * TICK
            if tick % SPEED_TICKS == 0:
                self._change_speeds(list(machines.values()), random)
            while next_at <= now and next_at < end:
                next_at += random.expovariate(self.rate * BURSTS[int(next_at) % 6])
                name, work = f"x{next_at}", random.gammavariate(4, 0.045 / 4)
                state = random.choice(routers)
                if self.figure is None:
                    best = min(machines.values(), key=Machine.estimate)
                    best.calls[name] = work
                    sent[name] = (now, state, None)
                elif call := self._send(name, state, machines, NOW + now):
                    machines[call.replica.name].calls[name] = work
                    sent[name] = (now, state, call)
            tick += 1
            for machine in machines.values():
                for name in machine.advance():
                    arrived_at, state, call = sent.pop(name)
                    self.times.append(round(tick * TICK - arrived_at, 3))
                    self._answer(call, state, machine, lies, NOW + tick * TICK)
        return self

    def _change_speeds(self, machines: list[Machine], random: Random) -> None:
        for usual, machine in zip(self.usual, machines, strict=True):
            machine.slowness = usual * math.exp(random.gauss(0, self.variation))

    def _send(
        self, name: str, state: State, machines: dict[str, Machine], now: float
    ) -> CallReplica | None:
        fields: dict[str, Any] = {
            "request_id": name,
            "path": "/pay/1",
            "prompt": (),
            "timeout": 1.07,
        }
        for effect in send_call(state, now, name, **fields):
            if isinstance(effect, CallReplica):
                return effect
        self.times.append(math.inf)
        free = (len(x.calls) < x.replica.slots for x in machines.values())
        self.false_refusals += any(free)
        return None

    def _answer(
        self,
        call: CallReplica | None,
        state: State,
        at: Machine,
        random: Random,
        now: float,
    ) -> None:
        if call is None or self.figure is None:
            return
        figure = self.figure(at.slowness, random)
        slots = at.replica.slots
        waiting = max(0, len(at.calls) - slots)
        running = len(at.calls) - waiting
        answer_call(call, state, now, running=running, waiting=waiting, slowness=figure)
        reduce(ReplicaAnswerEnded(call.attempt), state, now)


@cache
def play(name: str) -> tuple[float, float, int]:
    """Return the p95, the share of late calls and the false refusals of two replays."""
    figure = FIGURES.get(name)
    replays = [Replay(figure, seed).run() for seed in (1, 2)]
    times = sorted(time for replay in replays for time in replay.times)
    late = sum(time > TARGET for time in times) / len(times)
    refusals = sum(replay.false_refusals for replay in replays)
    return times[int(0.95 * len(times))], late, refusals


class TestReplay:
    """Guards against a figure that costs callers time instead of saving it."""

    def test_true_figures_lie_between_the_former_policy_and_full_knowledge(
        self,
    ) -> None:
        p95, late, refusals = play("true")
        former_p95, former_late, _ = play("unreported")
        best_p95, best_late, _ = play("full knowledge")
        assert best_p95 < p95 < 0.85 * former_p95
        assert best_late < late < 0.6 * former_late
        assert not refusals

    @pytest.mark.parametrize("figure", ["always 25", "always 10,000"])
    def test_a_constant_figure_changes_nothing(self, figure: str) -> None:
        assert play(figure) == play("unreported")

    def test_random_figures_leave_callers_no_worse_off(self) -> None:
        """Random figures cost chance at most: one standard error of the late share."""
        p95, late, refusals = play("random")
        former_p95, former_late, _ = play("unreported")
        calls = 2 * 20 * 55  # fewer than are played, so the error is an upper bound
        assert p95 <= former_p95
        assert late <= former_late + math.sqrt(former_late / calls)
        assert not refusals


class TestEstimate:
    def test_follows_the_figure_and_returns_to_the_usual(self) -> None:
        table = SpeedTable()
        table.record_figure("a", "s", 300, NOW)
        assert table.estimate_slowness("a", NOW) == 3.0
        assert table.estimate_slowness("a", NOW + FIGURE_LIFETIME / 2) == 2.0
        assert table.estimate_slowness("a", NOW + FIGURE_LIFETIME) == 1.0
        assert table.estimate_slowness("b", NOW) == 1.0

    @pytest.mark.parametrize(("figure", "slowness"), [(1, 0.25), (10**9, 4.0)])
    def test_is_bounded(self, figure: int, slowness: float) -> None:
        table = SpeedTable()
        table.record_figure("a", "s", figure, NOW)
        assert table.estimate_slowness("a", NOW) == slowness

    def test_an_old_figure_does_not_outweigh_a_new_one(self) -> None:
        table = SpeedTable()
        table.record_figure("a", "s", 400, NOW)
        table.record_figure("a", "s", 100, NOW + 60)
        assert table.estimate_slowness("a", NOW + 60) == 1.0

    def test_removed_replicas_are_forgotten(self) -> None:
        table = SpeedTable()
        table.record_figure("a", "s", 400, NOW)
        table.retain_replicas(set())
        assert not table.replicas

    def test_a_figure_of_another_replica_is_ignored(self) -> None:
        state = build_gateway()
        sent = get_effect(CallReplica, send_call(state))
        answer_call(sent, state, slowness=300, is_other_replica=True, is_not_run=True)
        assert not get_gateway(state).speeds.replicas


class TestTrust:
    def test_a_figure_that_all_replicas_report_has_no_effect(self) -> None:
        table = SpeedTable()
        for name in ("a", "b", "c"):
            table.record_figure(name, "s", 10_000, NOW)
        factors = {table.compute_cost_factor(x, "s", NOW) for x in ("a", "b", "d")}
        assert factors == {1.0}

    @pytest.mark.parametrize(
        ("is_true", "lowest", "highest"), [(1, 0.7, 1), (0, 0, 0.3)]
    )
    def test_counts_only_as_far_as_delays_confirm_it(
        self, is_true: int, lowest: float, highest: float
    ) -> None:
        random, table = Random(1), SpeedTable()
        table.record_figure("a", "s", 100, NOW)
        for _ in range(200):
            deviation = random.choice((-0.5, 0.0, 0.5))
            delay = 0.1 * random.gammavariate(4, 0.25) * (1 + is_true * deviation)
            table.record_delay("s", deviation, delay)
        assert lowest <= table.services["s"].compute_trust() <= highest


def report(state: State, service: str, figures: dict[int, int]) -> GatewayState:
    """Record figures by the replicas' numbers, as if delays had confirmed them."""
    gateway = get_gateway(state)
    for number, figure in figures.items():
        name = f"{service}-{number}"
        gateway.speeds.record_figure(name, service, figure, NOW)
    speeds = gateway.speeds.services[service]
    speeds.covariance = speeds.variance
    return gateway


class TestPlacement:
    def place(self, state: State, count: int, **call: Any) -> Counter[str]:
        """Return the calls that each replica gets."""
        counts: Counter[str] = Counter()
        for number in range(count):
            fields: dict[str, Any] = {"request_id": f"x{number}", **call}
            for effect in send_call(state, NOW, f"x{number}", **fields):
                if isinstance(effect, CallReplica):
                    counts[effect.replica.name] += 1
        return counts

    def test_a_slow_replica_gets_fewer_calls_but_some(self) -> None:
        state = build_gateway(engine_slots=16)
        report(state, "engines", {1: 100, 2: 100, 3: 300})
        counts = self.place(state, 120, prompt=())
        assert 0 < counts["engines-3"] < counts["engines-1"] / 2

    def test_an_idle_replica_is_tried_again_when_its_figure_is_old(self) -> None:
        """A replica that gets no calls would never report that it is fast again."""
        state = build_gateway()
        report(state, "books", {1: 100, 2: 100, 3: 300})
        assert not self.place(state, 4, path="/read/1", prompt=())["books-3"]
        later = NOW + FIGURE_LIFETIME
        effects = send_call(state, later, "y", path="/read/1", prompt=())
        assert get_effect(CallReplica, effects).replica.name == "books-3"

    def test_the_load_bound_counts_calls_at_any_speed(self) -> None:
        """A fast replica that took all calls would hold over twice the mean."""
        for prompt in ((), CALL.prompt):
            state = build_gateway(4)
            report(state, "engines", {1: 1, 2: 1000, 3: 1000, 4: 1000})
            for number in range(60):
                fields: dict[str, Any] = {"request_id": f"x{number}", "prompt": prompt}
                sent = send_call(state, NOW, f"x{number}", **fields)
                name = get_effect(CallReplica, sent).replica.name
                loads = get_gateway(state).registry.loads
                assert loads[name].own_calls <= 1.6 * number / 4 + 3

    def test_a_slow_home_spills_its_prompts_sooner(self) -> None:
        state = build_gateway()
        usual = self.place(state, 60)
        home = usual.most_common()[0][0]
        slow = build_gateway()
        report(
            slow,
            "engines",
            {n: 300 if home.endswith(str(n)) else 100 for n in (1, 2, 3)},
        )
        assert 0 < self.place(slow, 60)[home] < usual[home] / 1.5


class TestAdmission:
    def test_a_call_is_not_refused_while_a_slot_is_free(self) -> None:
        """Slowness alone doesn't refuse calls that a free replica may serve."""
        state = build_gateway()
        gateway = report(state, "books", {1: 400, 2: 400, 3: 50})
        gateway.mean_durations["books"] = 1.0
        gateway.registry.get_load("books-3").record_report(40, NOW)
        effects = send_call(state, path="/read/1", prompt=(), timeout=0.9)
        get_effect(CallReplica, effects)

    @pytest.mark.parametrize("cause", ["cold", "outlier"])
    def test_the_slots_of_a_replica_that_gets_no_calls_are_not_free(
        self, cause: str
    ) -> None:
        """Calls would queue at the full replicas beyond their deadline."""
        state = build_gateway()
        gateway = report(state, "books", {1: 100, 2: 100, 3: 100})
        for number in (1, 2):
            gateway.registry.get_load(f"books-{number}").record_report(60, NOW)
        if cause == "cold":
            gateway.limits.cold.limits = {"books-3": 9.0}
        else:
            gateway.outliers.avoid({"books-3": 2.0}, NOW)
        effects = send_call(state, path="/read/1", prompt=(), timeout=0.1)
        get_effect(RefuseRequest, effects)

    def test_the_queue_of_a_slow_replica_takes_longer(self) -> None:
        waits = []
        for figures in ({1: 100, 2: 100, 3: 100}, {1: 200, 2: 200, 3: 50}):
            state = build_gateway()
            gateway = report(state, "books", figures)
            for number in (1, 2, 3):
                gateway.registry.get_load(f"books-{number}").record_report(60, NOW)
            read: dict[str, Any] = {"path": "/read/1", "prompt": (), "timeout": 0.1}
            refused = get_effect(RefuseRequest, send_call(state, **read))
            waits.append(refused.problem.retry_after)
        assert 0 < waits[1] < waits[0]


def decide_as_before(
    service: str, call: Call, gateway: GatewayState, now: float
) -> tuple[str, bool]:
    """Return the replica and the refusal of the policy that knew no slowness."""
    registry, health = gateway.registry, gateway.health
    usable = registry.list_usable(service)
    calls = {item.name: registry.get_load(item.name).estimate(now) for item in usable}
    loads = {
        name: (count + 1) * health.compute_cost_factor(name, service, now)
        for name, count in calls.items()
    }
    if call.affinity_key:
        bound = 1.6 * max(0.0, sum(loads.values()) / len(loads) - 1) + 3.0
        order = order_by_score(call.affinity_key, usable)
        fitting = (x for x in order if loads[x.name] <= min(bound, x.slots))
        least = min(order, key=lambda item: loads[item.name])
        chosen = next(fitting, least)
    else:
        order = order_by_score(call.request_id, usable)
        chosen = min(order, key=lambda item: loads[item.name] / item.slots)
    duration = gateway.mean_durations.get(service, DEFAULT_DURATION)
    ahead = max(0, calls[chosen.name] + 1 - chosen.slots)
    wait = ahead * duration / chosen.slots
    total = wait if service == "engines" else wait + duration  # engines stream
    return chosen.name, total > call.timeout - ANSWER_MARGIN


class TestUnreported:
    CHAT: dict[str, Any] = {"path": "/chat/1", "timeout": 0.3}
    READ: dict[str, Any] = {"path": "/read/1", "timeout": 0.3, "prompt": ()}

    def test_every_decision_is_the_former_one(self) -> None:
        """Guards deployments whose replicas report no slowness."""
        random, state = Random(5), build_gateway(6, engine_slots=8)
        gateway = get_gateway(state)
        outcomes: Counter[tuple[str, bool]] = Counter()
        for number in range(1500):
            now = NOW + number * 0.01
            self.change_loads(gateway, random, now)
            service = random.choice(("engines", "books"))
            fields = dict(self.CHAT if service == "engines" else self.READ)
            if service == "engines":
                shared = PromptPart(str(number % 9), 400)
                fields["prompt"] = (shared, PromptPart("own", 9))
            call = evolve(CALL, request_id=f"r{number}", **fields)
            name, is_refused = decide_as_before(service, call, gateway, now)
            effects = reduce(CallArrived(f"x{number}", call), state, now)
            sent = [item for item in effects if isinstance(item, CallReplica)]
            assert [x.replica.name for x in sent] == [name][: not is_refused]
            outcomes[service, is_refused] += 1
            if sent and random.random() < 0.9:
                answer_call(sent[0], state, now)
                reduce(ReplicaAnswerEnded(sent[0].attempt), state, now)
        assert len(outcomes) == 4
        assert min(outcomes.values()) > 20

    def change_loads(self, gateway: GatewayState, random: Random, now: float) -> None:
        """Let some replicas report other loads, or answer slowly or with failures."""
        gateway.mean_durations["books"] = random.choice((0.05, 0.1, 0.2))
        gateway.mean_durations["engines"] = 1.0
        for item in gateway.registry.replicas.values():
            if random.random() < 0.05:
                load = gateway.registry.get_load(item.name)
                load.record_report(random.choice((0, 3, 9, 30)), now)
                latency, is_failure = random.choice((0.1, 0.9)), random.random() < 0.2
                gateway.health.record_answer(
                    item.name, item.service, latency, is_failure, now
                )


class TestMetric:
    def test_has_the_error_of_the_expected_time_to_the_first_piece(self) -> None:
        state, spans, errors = build_gateway(1), OpenSpans(), []
        for number, delay in enumerate((0.2, 0.3)):
            now, name = NOW + number, f"x{number}"
            arrived = CallArrived(name, CALL)
            sent = reduce(arrived, state, now)
            derive_metrics(arrived, sent, spans, now)
            attempt = get_effect(CallReplica, sent)
            answer_call(attempt, state, now + delay, slowness=100)
            piece = ReplicaAnswerPiece(attempt.attempt, b"x", number, number)
            effects = reduce(piece, state, now + delay)
            get_effect(RelayPiece, effects)
            metrics = derive_metrics(piece, effects, spans, now + delay)
            errors += [x for x in metrics if isinstance(x, ObserveDelayError)]
            reduce(ReplicaAnswerEnded(attempt.attempt), state, now + delay)
        # The first call was placed before any figure was known.
        assert [round(item.seconds, 3) for item in errors] == [0.1]
        assert errors[0].service == "engines"

    def test_is_exposed_with_its_quantiles(self) -> None:
        metrics = Metrics()
        for number in range(100):
            metrics.delay_errors.observe({"service": "s"}, number / 100)
        content, _ = render(metrics.registry, ["text/plain"])
        text = content.decode()
        for quantile in ("0.5", "0.9"):
            assert f'delay_error_seconds{{quantile="{quantile}",service="s"}}' in text
