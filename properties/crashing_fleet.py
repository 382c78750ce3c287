"""Crashing fleet: routers and control hosts before replicas that calls can crash.

The nodes run the real reducer in virtual time. A replica begins to answer a call after
a while; if the call has the deadly part, or is a deadly call, the replica ends instead
and starts again under another name.
"""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, evolve, field, frozen

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.callers import AbortAnswer, FinishAnswer, RefuseRequest
from gentianworks.core.effects.gateway import (
    CallReplica,
    CancelReplicaCall,
    CheckReplica,
)
from gentianworks.core.events.base import Event
from gentianworks.core.events.gateway import (
    CallArrived,
    ReplicaAnswerEnded,
    ReplicaAnswerHead,
    ReplicaAnswerPiece,
    ReplicaAnswerStarted,
    ReplicaCallFailed,
    ReplicaFailure,
)
from gentianworks.core.events.replica_suspects import ReplicaChecked
from gentianworks.core.gateway.calls import Call, PromptPart
from gentianworks.core.gateway.replicas import ReplicaName
from gentianworks.core.types import AttemptId, ProblemKind
from gentianworks.tests.gateways import EVENT_STREAM_HEAD, KEY, TABLE
from properties.listed_fleet import ListedFleet

DOWN_TIME = 3.0  # seconds until a crashed replica has started again
MAX_PROMPT_TIME = 0.3  # seconds until a replica begins to answer
MAX_ANSWER_TIME = 1.0  # seconds
CONNECT_TIME = 0.001  # seconds
CLIENT_RETRY_DELAY = 0.1  # seconds
FIRST_PARTS = 4
SUBJECTS = 40
DEADLY_PART = PromptPart("deadly", 95)


@frozen
class RunningCall:
    """Call at a replica, and the router that sent it."""

    router: int
    effect: CallReplica


@define
class CallOutcomes:
    """Numbers of the sound calls of clients by how their last attempt ended."""

    sent: int = 0
    served: int = 0
    quarantined: int = 0


@define
class CrashingFleet(ListedFleet):
    """Fleet whose replicas crash under calls with a deadly part, or at random."""

    replica_count: int = 6
    calls_per_second: float = 40.0
    deadly_share: float = 0.05
    has_deadly_part: bool = True  # False: one whole call is deadly
    deadly_router: int | None = None  # the only one that clients send deadly calls to
    crash_times: list[float] = field(factory=list)
    deadly_sends: list[float] = field(factory=list)
    outcomes: CallOutcomes = field(factory=CallOutcomes)
    running: dict[ReplicaName, dict[AttemptId, RunningCall]] = field(factory=dict)
    calls: dict[str, Call] = field(factory=dict)  # by exchange
    next_number: int = 0
    pending_starts: list[tuple[float, ReplicaName, str]] = field(factory=list)
    # (time, replica, attempt) at which a replica begins to answer, in no order
    pending_answers: list[tuple[float, ReplicaName, AttemptId]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Start the nodes and the replicas."""
        super().__attrs_post_init__()
        for _ in range(self.replica_count):
            self.start_replica()
        for host in self.routers:
            assert host.state.gateway is not None
            host.state.gateway.table = TABLE

    def start_replica(self, address: str = "") -> None:
        """Add a replica that has no calls yet."""
        self.next_number += 1
        name = f"i-{self.next_number}"
        replica = self.platform.add(name, address)
        self.platform.replicas[name] = evolve(replica, slots=64)
        self.running[name] = {}

    def play(self, seconds: float) -> None:
        """Let clients send calls for some seconds."""
        end = self.now + seconds
        while self.now < end:
            self.run(self.rng.expovariate(self.calls_per_second))
            is_deadly = self.rng.random() < self.deadly_share
            call = self.create_deadly_call() if is_deadly else self.create_sound_call()
            self.outcomes.sent += not is_deadly
            self.send_call(call, retries=1)

    def create_sound_call(self) -> Call:
        """Return a call about one of the usual subjects."""
        subject = int(SUBJECTS * self.rng.random() ** 2)
        return self._create_call(subject, ())

    def create_deadly_call(self) -> Call:
        """Return a call that shares its first part and its subject with sound ones."""
        if self.has_deadly_part:
            return self._create_call(7, (DEADLY_PART,))
        return evolve(self._create_call(7, ()), body=b"deadly")

    def _create_call(self, subject: int, added: tuple[PromptPart, ...]) -> Call:
        number = self.rng.getrandbits(48)
        own = PromptPart(f"own-{number:x}", 100)
        parts = (
            PromptPart(f"first-{subject % FIRST_PARTS}", 2000),
            PromptPart(f"subject-{subject}", 3000),
            *added,
            own,
        )
        return Call(
            request_id=f"{number:x}",
            host="a.example",
            method="POST",
            path="/chat/1",
            headers=(),
            body=f"{number}".encode(),
            timeout=5.0,
            api_key=KEY,
            prompt=parts,
        )

    def send_call(self, call: Call, retries: int) -> None:
        """Send a client's call to a router."""
        router = self.size + self.rng.randrange(self.router_count)
        if self.deadly_router is not None and self.is_deadly(call):
            router = self.deadly_router
        self.send_call_to(router, call, retries)

    def send_call_to(self, router: int, call: Call, retries: int) -> None:
        """Send a client's call to a given router."""
        exchange = f"{call.request_id}/{retries}"
        self.calls[exchange] = call
        self._handle(router, CallArrived(exchange, call))

    def cut_router(self, router: int, hosts: Iterable[int]) -> None:
        """Cut the links between a router and some hosts, in both directions."""
        own = self.hosts[router].address
        for number in hosts:
            other = self.hosts[number].address
            self.cut_links |= {(own, other), (other, own)}

    def crash_replica(self, name: ReplicaName) -> None:
        """End a replica and cut off its calls; it starts again under another name."""
        calls = self.running.pop(name, None)
        if calls is None:
            return
        self.crash_times.append(self.now)
        for attempt, call in calls.items():
            failed = ReplicaCallFailed(attempt, ReplicaFailure.CUT, "closed")
            self.schedule(CONNECT_TIME, call.router, failed, 0)
        address = self.platform.replicas[name].address
        self.pending_starts.append((self.now + DOWN_TIME, name, address))

    def run(self, seconds: float) -> None:
        """Advance virtual time and let replicas start, answer and crash."""
        end = self.now + seconds
        while True:
            times = [item[0] for item in (*self.pending_starts, *self.pending_answers)]
            due = min(times, default=end)
            if due >= end:
                break
            super().run(max(0.0, due - self.now))
            self._start_due_replicas()
            self._answer_due_calls()
        super().run(max(0.0, end - self.now))

    def _start_due_replicas(self) -> None:
        due = [item for item in self.pending_starts if item[0] <= self.now]
        self.pending_starts = [item for item in self.pending_starts if item not in due]
        for _, name, address in due:
            del self.platform.replicas[name]
            self.start_replica(address)

    def _answer_due_calls(self) -> None:
        due = [item for item in self.pending_answers if item[0] <= self.now]
        self.pending_answers = [
            item for item in self.pending_answers if item[0] > self.now
        ]
        for _, name, attempt in due:
            running = self.running.get(name, {}).get(attempt)
            if running is None:
                continue
            if self.is_deadly(running.effect.call):
                self.crash_replica(name)
                continue
            self._answer(name, attempt, running)

    def _answer(self, name: ReplicaName, attempt: AttemptId, call: RunningCall) -> None:
        piece = ReplicaAnswerPiece(attempt, b"id: 0", 0, 0)
        answer_time = self.rng.uniform(0.1, MAX_ANSWER_TIME)
        events: tuple[tuple[float, Event], ...] = (
            (0.0, ReplicaAnswerStarted(attempt, self.build_head(name))),
            (CONNECT_TIME, piece),
            (answer_time, ReplicaAnswerEnded(attempt)),
        )
        for delay, event in events:
            self.schedule(delay, call.router, event, 0)

    def build_head(self, name: ReplicaName) -> ReplicaAnswerHead:
        """Return the head of an answer of a replica."""
        return EVENT_STREAM_HEAD

    def is_deadly(self, call: Call) -> bool:
        """Return whether a call crashes replicas."""
        return DEADLY_PART in call.prompt or call.body == b"deadly"

    def call_replica(self, router: int, effect: CallReplica) -> None:
        """Let a call reach its replica, if that is up."""
        calls = self.running.get(effect.replica.name)
        if calls is None:
            failed = ReplicaCallFailed(
                effect.attempt, ReplicaFailure.NOT_SENT, "refused"
            )
            self.schedule(CONNECT_TIME, router, failed, 0)
            return
        if self.is_deadly(effect.call):
            self.deadly_sends.append(self.now)
        calls[effect.attempt] = RunningCall(router, effect)
        begin_at = self.now + self.rng.uniform(0.02, MAX_PROMPT_TIME)
        self.pending_answers.append((begin_at, effect.replica.name, effect.attempt))

    def end_call(self, exchange: str, kind: ProblemKind | None) -> None:
        """Record how a client's attempt ended; the client tries once more."""
        call = self.calls.pop(exchange, None)
        if call is None:
            return
        is_deadly = self.is_deadly(call)
        number, _, retries = exchange.partition("/")
        if kind is None:
            self.outcomes.served += not is_deadly
        elif int(retries):
            again = evolve(call, request_id=f"{number}-again")
            self.send_call(again, int(retries) - 1)
        elif kind is ProblemKind.QUARANTINED:
            self.outcomes.quarantined += not is_deadly

    def _perform_all(self, number: int, effects: list[Effect]) -> None:
        super()._perform_all(number, effects)
        for effect in effects:
            if isinstance(effect, CallReplica):
                self.call_replica(number, effect)
            elif isinstance(effect, CancelReplicaCall):
                for calls in self.running.values():
                    calls.pop(effect.attempt, None)
            elif isinstance(effect, CheckReplica):
                is_gone = effect.replica.name not in self.running
                checked = ReplicaChecked(effect.replica.name, is_gone)
                self.schedule(CONNECT_TIME, number, checked, 0)
            elif isinstance(effect, FinishAnswer):
                self.end_call(effect.exchange, None)
            elif isinstance(effect, (RefuseRequest, AbortAnswer)):
                self.end_call(effect.exchange, effect.problem.kind)
