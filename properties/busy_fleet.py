"""Busy fleet: many routers whose calls crowd a few replicas of a service.

Some replicas hold far more calls than they have slots, since they alone served for a
while. Each router hears of a replica's load only with an answer, and gets few of them.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from functools import partial, singledispatch
from itertools import count

from attrs import define, evolve, field

from gentianworks.core.busy_replicas.loads import BusyTable
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.gateway import CallReplica, CancelReplicaCall
from gentianworks.core.effects.lifecycle import SendMessage, SetTimer
from gentianworks.core.events.base import Event
from gentianworks.core.events.gateway import (
    ReplicaAnswerEnded,
    ReplicaAnswerPiece,
    ReplicaListFetched,
)
from gentianworks.core.events.membership import Heartbeat, HeartbeatAnswer
from gentianworks.core.gateway.calls import PromptPart
from gentianworks.core.gateway.replicas import ReplicaName
from gentianworks.core.handlers import reduce
from gentianworks.core.membership.heartbeats import send_heartbeat
from gentianworks.core.state import State
from gentianworks.tests.gateways import (
    NOW,
    answer_call,
    build_gateway,
    build_replicas,
    send_call,
)

SERVICE = "engines"
ROUTER_COUNT = 29
REPLICA_COUNT = 25
CROWDED_COUNT = 7  # replicas that serve alone at first
SLOTS = 64
RATE = 176.0  # calls a second
PROMPT_COUNT = 900  # shared prompts
RUN_SHAPE, RUN_MEAN = 4.0, 1.7  # of a gamma distribution; the mean is in seconds
SLOWING_CALLS = 32.0  # running calls with which each takes twice as long
CROWDED_TIME = 8.0  # seconds
HEARTBEAT_INTERVAL = 0.5  # seconds
CONTROL_ADDRESS = "tcp://control"
BOUND_MULTIPLE = 2.0  # of the mean load
BOUND_FLOOR = 3  # calls


@define
class BusyReplica:
    """Replica that runs calls in order of arrival, as many as it has slots."""

    running: dict[str, float] = field(factory=dict)  # time of the end, by attempt
    waiting: dict[str, float] = field(factory=dict)  # seconds of work, by attempt

    def count_calls(self) -> int:
        """Return the number of calls that the replica holds."""
        return len(self.running) + len(self.waiting)


@define
class BusyFleet:
    """Routers and replicas in virtual time."""

    seed: int
    rate: float = RATE
    hot_share: float = 0.0  # of the calls, with one prompt
    run_mean: float = RUN_MEAN
    prefill: float = 0.0  # seconds from the start of a call to its answer
    now: float = NOW
    sent: list[tuple[float, bool]] = field(factory=list)  # (time, is over the bound)
    table: BusyTable = field(factory=BusyTable)
    routers: list[State] = field(init=False)
    replicas: dict[ReplicaName, BusyReplica] = field(init=False)
    rng: random.Random = field(init=False)
    _calls: dict[str, tuple[CallReplica, State]] = field(factory=dict)  # by attempt
    # (due time, sequence number, action), as a heap
    _actions: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _numbers: count[int] = field(factory=count)
    _heartbeat_count: int = 0

    def __attrs_post_init__(self) -> None:
        """Start the routers with the replicas that serve at first."""
        self.rng = random.Random(self.seed)
        self.routers = [build_gateway(CROWDED_COUNT) for _ in range(ROUTER_COUNT)]
        for index, state in enumerate(self.routers):
            state.incarnation = index
            state.node = evolve(state.node, peer_address=f"tcp://router-{index}")
            state.control_addresses = (CONTROL_ADDRESS,)
        names = [item.name for item in build_replicas(SERVICE, REPLICA_COUNT, SLOTS)]
        self.replicas = {name: BusyReplica() for name in names}

    def list_all_replicas(self) -> None:
        """Let the other replicas serve too."""
        listed = build_replicas(SERVICE, REPLICA_COUNT, SLOTS)
        for index in range(ROUTER_COUNT):
            self._handle(index, ReplicaListFetched(listed))

    def run(self, seconds: float) -> None:
        """Advance virtual time while calls arrive, start and end."""
        end = self.now + seconds
        next_arrival = self.now + self.rng.expovariate(self.rate)
        next_heartbeat = self.now
        while self.now < end:
            ends = [
                (at, name, attempt)
                for name, item in self.replicas.items()
                for attempt, at in item.running.items()
            ]
            next_end = min(ends, default=(end, "", ""))
            next_action = self._actions[0][0] if self._actions else end
            due = min(next_arrival, next_heartbeat, next_end[0], next_action, end)
            self.now = max(self.now, due)
            if due == next_arrival:
                next_arrival += self.rng.expovariate(self.rate)
                self._arrive()
            elif due == next_heartbeat:
                next_heartbeat += HEARTBEAT_INTERVAL / ROUTER_COUNT
                self._send_next_heartbeat()
            elif due == next_end[0] and next_end[2]:
                self._end(next_end[1], next_end[2])
            elif due == next_action and self._actions:
                heapq.heappop(self._actions)[2]()

    def _send_next_heartbeat(self) -> None:
        """Let the routers send their heartbeats to the leader in turn."""
        self._heartbeat_count += 1
        index = self._heartbeat_count % ROUTER_COUNT
        self._perform_all(index, send_heartbeat(self.routers[index], self.now))

    def answer_heartbeat(self, heartbeat: Heartbeat, index: int) -> None:
        """Record a heartbeat at the leader and answer it."""
        self.table.record(heartbeat.busy_replicas, self.now)
        answer = HeartbeatAnswer(
            "control",
            CONTROL_ADDRESS,
            revision=0,
            loads=(),
            endpoints=(),
            busy_replicas=self.table.list_busy(self.now),
        )
        self._handle(index, answer)

    def compute_excess(self, since: float, until: float) -> tuple[int, int]:
        """Return how many calls of a period were sent above the bound, and of all."""
        chosen = [is_over for at, is_over in self.sent if since <= at < until]
        return sum(chosen), len(chosen)

    def _arrive(self) -> None:
        index = self.rng.randrange(ROUTER_COUNT)
        name = f"x{next(self._numbers)}"
        is_hot = self.rng.random() < self.hot_share
        prompt = "hot" if is_hot else f"p{self.rng.randrange(PROMPT_COUNT)}"
        parts = (PromptPart("s", 500), PromptPart(prompt, 500), PromptPart(name, 50))
        state = self.routers[index]
        effects = send_call(state, self.now, name, request_id=name, prompt=parts)
        self._perform_all(index, effects)

    def _handle(self, index: int, event: Event) -> None:
        self._perform_all(index, reduce(event, self.routers[index], self.now))

    def _perform_all(self, index: int, effects: list[Effect]) -> None:
        for effect in effects:
            perform(effect, self, index)

    def start_call(self, effect: CallReplica, index: int) -> None:
        """Let a call reach a replica."""
        loads = [item.count_calls() for item in self.replicas.values()]
        replica = self.replicas[effect.replica.name]
        bound = BOUND_MULTIPLE * sum(loads) / len(loads) + BOUND_FLOOR
        self.sent.append((self.now, replica.count_calls() > bound))
        self._calls[effect.attempt] = (effect, self.routers[index])
        work = self.rng.gammavariate(RUN_SHAPE, self.run_mean / RUN_SHAPE)
        replica.waiting[effect.attempt] = work
        self._start_waiting(effect.replica.name)

    def cancel_call(self, attempt: str) -> None:
        """Remove a call that its router gives up."""
        effect, _ = self._calls.pop(attempt, (None, None))
        if effect is None:
            return
        replica = self.replicas[effect.replica.name]
        replica.waiting.pop(attempt, None)
        replica.running.pop(attempt, None)
        self._start_waiting(effect.replica.name)

    def schedule(self, due_at: float, action: Callable[[], None]) -> None:
        """Do something at a time in seconds."""
        item = (max(due_at, self.now), next(self._numbers), action)
        heapq.heappush(self._actions, item)

    def deliver(self, due_at: float, index: int, event: Event) -> None:
        """Deliver an event to a router at a time in seconds."""
        self.schedule(due_at, partial(self._handle, index, event))

    def _start_waiting(self, name: ReplicaName) -> None:
        replica = self.replicas[name]
        while replica.waiting and len(replica.running) < SLOTS:
            attempt = next(iter(replica.waiting))
            slowness = 1 + len(replica.running) / SLOWING_CALLS
            work = replica.waiting.pop(attempt)
            replica.running[attempt] = self.now + self.prefill + slowness * work
            self.schedule(self.now + self.prefill, partial(self._answer, attempt))

    def _answer(self, attempt: str) -> None:
        """Let a replica begin its answer, unless the call has ended."""
        if attempt not in self._calls:
            return
        effect, state = self._calls[attempt]
        replica = self.replicas[effect.replica.name]
        figures = {"running": len(replica.running), "waiting": len(replica.waiting)}
        index = self.routers.index(state)
        self._perform_all(index, answer_call(effect, state, self.now, **figures))
        self._handle(index, ReplicaAnswerPiece(attempt, b"x", 1, 1))

    def _end(self, name: ReplicaName, attempt: str) -> None:
        _, state = self._calls.pop(attempt)
        del self.replicas[name].running[attempt]
        self._handle(self.routers.index(state), ReplicaAnswerEnded(attempt))
        self._start_waiting(name)


@singledispatch
def perform(effect: Effect, fleet: BusyFleet, index: int) -> None:
    """Perform an effect of a router; effects without an implementation are ignored."""


@perform.register
def _(effect: CallReplica, fleet: BusyFleet, index: int) -> None:
    fleet.start_call(effect, index)


@perform.register
def _(effect: CancelReplicaCall, fleet: BusyFleet, index: int) -> None:
    fleet.cancel_call(effect.attempt)


@perform.register
def _(effect: SetTimer, fleet: BusyFleet, index: int) -> None:
    fleet.deliver(effect.due_at, index, effect.event)


@perform.register
def _(effect: SendMessage, fleet: BusyFleet, index: int) -> None:
    if isinstance(effect.message, Heartbeat):
        fleet.answer_heartbeat(effect.message, index)
