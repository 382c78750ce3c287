"""Ledger simulation: the reducers of a small fleet, a faulty network and engines.

Routers, agents and a control host exchange messages in virtual time. The simulation
checks that no idempotency key runs twice, nor after a caller received the answer that
it did not run.
"""

from __future__ import annotations

from collections import Counter
from functools import singledispatchmethod

from attrs import define, field

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.callers import (
    AbortAnswer,
    FinishAnswer,
    RefuseRequest,
    RelayPiece,
    StartAnswer,
)
from gentianworks.core.effects.dispatch import CancelDispatch, SendDispatch, SendFrame
from gentianworks.core.effects.engines import CallEngine, FetchEngineLoad
from gentianworks.core.effects.lifecycle import SendMessage, SetTimer
from gentianworks.core.events.base import Event
from gentianworks.core.events.callers import CallerDisconnected, RequestArrived
from gentianworks.core.events.dispatch import AttemptConnectionLost, RouterDisconnected
from gentianworks.core.events.engines import (
    CallFailure,
    EngineAnswerEnded,
    EngineAnswerPiece,
    EngineAnswerStarted,
    EngineCallFailed,
    EngineLoadUnavailable,
)
from gentianworks.core.events.ledger import (
    ClaimAnswered,
    ClaimWanted,
    ReleaseAnswered,
    ReleaseWanted,
)
from gentianworks.core.events.lifecycle import ProcessStarted
from gentianworks.core.events.membership import HeartbeatDue
from gentianworks.core.handlers import reduce
from gentianworks.core.ledger.types import ClaimVerdict
from gentianworks.core.state import State
from gentianworks.core.types import (
    Configuration,
    Endpoint,
    Node,
    Problem,
    ProblemKind,
    Rank,
    Request,
    Role,
    RunState,
    Service,
    ServiceKind,
    Workspace,
)
from properties.ledger_types import Caller, EngineCall, Envelope, Timer

AGENTS = ("agent-1", "agent-2")
ROUTERS = ("router-1", "router-2")
CONTROL_HOST = "control-1"
START_TIME = 1000.0  # seconds
REQUEST_TIMEOUT = 60.0  # seconds
RECOVERY_ROUNDS = 40
CONFIGURATION = Configuration(
    revision=1,
    ranks=(Rank("submissions", 0, 0.3, 10.0),),
    workspaces=(Workspace("parish"),),
    services=(Service("booking", ServiceKind.PLAIN),),
    endpoints=tuple(
        Endpoint(f"booking-{name[-1]}", "booking", "a", name, name) for name in AGENTS
    ),
)


@define
class LedgerSimulation:
    """Routers, agents and a control host that run in virtual time."""

    now: float = START_TIME
    incarnation: int = 0
    states: dict[str, State] = field(factory=dict)
    in_transit: list[Envelope] = field(factory=list)
    timers: list[Timer] = field(factory=list)
    # calls that have not reached their engine
    pending_calls: list[EngineCall] = field(factory=list)
    started_calls: list[EngineCall] = field(factory=list)
    connections: dict[str, str] = field(factory=dict)  # routers by attempt
    frozen: set[str] = field(factory=set)  # names of processes
    callers: dict[str, Caller] = field(factory=dict)  # by exchange
    run_counts: Counter[str] = field(factory=Counter)  # by idempotency key
    # keys whose callers have all received an answer, the last "not run"
    not_run_keys: set[str] = field(factory=set)
    # exchanges that the ledger knows to still want their key
    claiming_exchanges: set[str] = field(factory=set)
    # exchanges whose release the ledger answered with "not run"
    not_run_exchanges: set[str] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Start every process."""
        for name in (CONTROL_HOST, *AGENTS, *ROUTERS):
            self.start(name)
        self.deliver_all()

    def start(self, name: str) -> None:
        """Start or restart a process with an empty state."""
        self.incarnation += 1
        role = Role(name.split("-")[0])
        endpoint = f"booking-{name[-1]}"
        self.states[name] = State(
            node=Node(name, role, "r", "a", name, name),
            control_addresses=(CONTROL_HOST,),
            configuration=CONFIGURATION,
            agent=AgentState(endpoint) if role is Role.AGENT else None,
            checks_invariants=True,
        )
        self.frozen.discard(name)
        self.handle(name, ProcessStarted(self.incarnation))
        self.fire_timers()

    def restart(self, name: str) -> None:
        """Restart a process; a router's connections are cut and its callers lost."""
        for exchange in [key for key, item in self.callers.items()]:
            if self.callers[exchange].router == name:
                del self.callers[exchange]
        for attempt, router in list(self.connections.items()):
            if router == name:
                disconnections = [
                    Envelope(agent, name, RouterDisconnected(attempt))
                    for agent in AGENTS
                ]
                self.in_transit += disconnections
                del self.connections[attempt]
        self.start(name)

    def handle(self, name: str, event: Event) -> None:
        """Reduce an event at a process and perform its effects."""
        state = self.states[name]
        for effect in reduce(event, state, self.now):
            self.perform(effect, name)

    @singledispatchmethod
    def perform(self, effect: Effect, name: str) -> None:
        """Perform an effect of a process; effects without a method are ignored."""

    @perform.register
    def _(self, effect: SetTimer, name: str) -> None:
        if not isinstance(effect.event, HeartbeatDue):
            incarnation = self.states[name].incarnation
            timer = Timer(name, incarnation, effect.due_at, effect.event)
            self.timers.append(timer)

    @perform.register
    def _(self, effect: SendMessage, name: str) -> None:
        if isinstance(effect.message, ReleaseAnswered):
            self._check_release(effect.message)
        if isinstance(effect.message, ClaimAnswered):
            self.not_run_exchanges.discard(effect.message.exchange)
        self.in_transit.append(Envelope(effect.address, name, effect.message))

    @perform.register
    def _(self, effect: SendDispatch, name: str) -> None:
        self.connections[effect.dispatch.attempt] = name
        self.in_transit.append(Envelope(effect.http_address, name, effect.dispatch))

    @perform.register
    def _(self, effect: CancelDispatch, name: str) -> None:
        for agent in AGENTS:
            self.in_transit.append(
                Envelope(agent, name, RouterDisconnected(effect.attempt))
            )

    @perform.register
    def _(self, effect: SendFrame, name: str) -> None:
        router = self.connections.get(effect.attempt)
        if router is not None:
            stream = f"{name} {effect.attempt}"
            self.in_transit.append(Envelope(router, name, effect.message, stream))

    @perform.register
    def _(self, effect: CallEngine, name: str) -> None:
        key = effect.request.idempotency_key
        incarnation = self.states[name].incarnation
        self.pending_calls.append(EngineCall(name, incarnation, effect.attempt, key))

    @perform.register
    def _(self, effect: FetchEngineLoad, name: str) -> None:
        self.handle(name, EngineLoadUnavailable(may_be_running=False))

    @perform.register
    def _(self, effect: StartAnswer, name: str) -> None:
        caller = self.callers.get(effect.exchange)
        assert caller is None or self.run_counts[caller.key] == 1

    @perform.register
    def _(self, effect: RelayPiece, name: str) -> None:
        caller = self.callers.get(effect.exchange)
        if caller is not None:
            caller.body += effect.data

    @perform.register
    def _(self, effect: FinishAnswer, name: str) -> None:
        caller = self.callers.get(effect.exchange)
        if caller is not None:
            assert caller.body == f"receipt of {caller.key}".encode()
            self._finish(caller, None)

    @perform.register
    def _(self, effect: AbortAnswer, name: str) -> None:
        caller = self.callers.get(effect.exchange)
        if caller is not None:
            self._finish(caller, effect.problem)

    @perform.register
    def _(self, effect: RefuseRequest, name: str) -> None:
        caller = self.callers.get(effect.exchange)
        if caller is None:
            return
        self._finish(caller, effect.problem)
        if effect.problem.kind is ProblemKind.KEY_REUSED:
            return
        if effect.problem.run_state is RunState.RAN:
            assert self.run_counts[caller.key] == 1
        if effect.problem.run_state is RunState.NOT_RUN:
            self._record_not_run(caller.key, effect.exchange)

    def _finish(self, caller: Caller, problem: Problem | None) -> None:
        assert not caller.is_finished
        caller.is_finished = True
        caller.problem = problem

    def _record_not_run(self, key: str, exchange: str) -> None:
        if exchange in self.not_run_exchanges and self.run_counts[key]:
            # A later request of the key ran after the ledger had confirmed this answer.
            return
        assert self.run_counts[key] == 0, "a request that ran was reported as not run"
        others = [item for item in self.callers.values() if item.key == key]
        if all(item.is_finished for item in others):
            self.not_run_keys.add(key)

    def _track_claim(self, event: Event) -> None:
        if isinstance(event, ClaimWanted) and event.endpoint:
            self.claiming_exchanges.add(event.exchange)
        if isinstance(event, ReleaseWanted) and event.is_final:
            self.claiming_exchanges.discard(event.exchange)

    def _check_release(self, answer: ReleaseAnswered) -> None:
        caller = self.callers.get(answer.exchange)
        if caller is None or answer.verdict is not ClaimVerdict.NOT_RUN:
            return
        others = [
            exchange
            for exchange, item in self.callers.items()
            if item.key == caller.key and not item.is_finished and item is not caller
        ]
        is_unclaimed = self.claiming_exchanges.isdisjoint(others)
        assert is_unclaimed, (
            "the ledger reported a key as not run that another exchange still claims"
        )
        assert self.run_counts[caller.key] == 0, (
            "the ledger reported a key that ran as not run"
        )
        self.not_run_exchanges.add(answer.exchange)

    def send_request(self, router: str, key: str, body: bytes = b"a ewe") -> str:
        """Send a request through a router and return the id of its exchange."""
        exchange = self.states[router].create_id()
        self.not_run_keys.discard(key)
        self.callers[exchange] = Caller(key, router)
        request = Request(
            service="booking",
            workspace="parish",
            rank="submissions",
            method="POST",
            path="/pens",
            headers=(),
            body=body,
            idempotency_key=key,
            is_repeatable=False,
            timeout=REQUEST_TIMEOUT,
        )
        self.handle(router, RequestArrived(exchange, request))
        return exchange

    def disconnect_caller(self, exchange: str) -> None:
        """Disconnect a caller before it receives its answer."""
        caller = self.callers.pop(exchange)
        self.handle(caller.router, CallerDisconnected(exchange))

    def list_deliverable(self) -> list[Envelope]:
        """Return the envelopes that may arrive next.

        Those of one stream arrive in order, all others in any order.
        """
        streams: set[str] = set()
        deliverable = []
        for envelope in self.in_transit:
            stream = envelope.stream
            if envelope.target not in self.frozen and stream not in streams:
                deliverable.append(envelope)
            streams |= {stream} - {""}
        return deliverable

    def deliver(self, envelope: Envelope, is_duplicated: bool = False) -> None:
        """Deliver an envelope; a duplicated one stays in transit unless in a stream."""
        if envelope.stream or not is_duplicated:
            self.in_transit.remove(envelope)
        self._track_claim(envelope.event)
        self.handle(envelope.target, envelope.event)

    def deliver_all(self) -> None:
        """Deliver all envelopes to processes that are not frozen, in order."""
        while self.list_deliverable():
            self.deliver(self.list_deliverable()[0])

    def drop(self, envelope: Envelope) -> None:
        """Drop an envelope; the router of its attempt observes a lost connection."""
        self.in_transit.remove(envelope)
        if envelope.stream:
            self.in_transit = [
                item for item in self.in_transit if item.stream != envelope.stream
            ]
        attempt = getattr(envelope.event, "attempt", "")
        router = self.connections.get(attempt)
        if router is not None:
            cut = Envelope(
                router, "network", AttemptConnectionLost(attempt, was_sent=True)
            )
            self.in_transit.append(cut)

    def cut_connection(self, attempt: str) -> None:
        """Cut the connection of an attempt; both ends receive a notice of it."""
        router = self.connections.pop(attempt)
        self.in_transit = [
            item
            for item in self.in_transit
            if not item.stream or getattr(item.event, "attempt", "") != attempt
        ]
        cut = Envelope(router, "network", AttemptConnectionLost(attempt, was_sent=True))
        disconnections = [
            Envelope(agent, router, RouterDisconnected(attempt)) for agent in AGENTS
        ]
        self.in_transit += [cut, *disconnections]

    def advance(self, seconds: float) -> None:
        """Advance virtual time by some seconds and fire the timers that are due."""
        self.now += seconds
        self.fire_timers()

    def fire_timers(self) -> None:
        """Fire the due timers of processes that are not frozen."""
        due = [
            timer
            for timer in self.timers
            if timer.due_at <= self.now and timer.target not in self.frozen
        ]
        self.timers = [timer for timer in self.timers if timer not in due]
        for timer in sorted(due, key=lambda item: item.due_at):
            if self.states[timer.target].incarnation == timer.incarnation:
                self.handle(timer.target, timer.event)

    def start_call(self, call: EngineCall) -> None:
        """Let an engine start to run a call, even if the agent has restarted since."""
        self.pending_calls.remove(call)
        self.started_calls.append(call)
        self.run_counts[call.key] += 1
        assert self.run_counts[call.key] == 1, "a request ran twice"
        assert call.key not in self.not_run_keys, (
            "a request ran after it was reported as not run"
        )

    def fail_unsent_call(self, call: EngineCall) -> None:
        """Fail a call before it reaches its engine."""
        self.pending_calls.remove(call)
        self._notify_agent(call, EngineCallFailed(call.attempt, CallFailure.NOT_SENT))

    def end_call(self, call: EngineCall, fails: bool) -> None:
        """Answer a call or, if it fails, crash its engine."""
        self.started_calls.remove(call)
        if fails:
            self._notify_agent(call, EngineCallFailed(call.attempt, CallFailure.CUT))
            return
        receipt = f"receipt of {call.key}".encode()
        self._notify_agent(call, EngineAnswerStarted(call.attempt, 200, ()))
        self._notify_agent(call, EngineAnswerPiece(call.attempt, receipt))
        self._notify_agent(call, EngineAnswerEnded(call.attempt))

    def _notify_agent(self, call: EngineCall, event: Event) -> None:
        if self.states[call.agent].incarnation == call.incarnation:
            self.handle(call.agent, event)

    def recover(self) -> None:
        """Heal every fault and advance until all work has ended."""
        self.frozen.clear()
        for _ in range(RECOVERY_ROUNDS):
            self.deliver_all()
            for call in list(self.pending_calls):
                self.start_call(call)
            for call in list(self.started_calls):
                self.end_call(call, fails=False)
            self.deliver_all()
            self.advance(2.0)
