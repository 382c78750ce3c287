"""A fleet of reducers in one process, with a network and engines that can fail."""

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
from properties.ledger_parts import Caller, EngineCall, Parcel, Timer

AGENTS = ("agent-1", "agent-2")
ROUTERS = ("router-1", "router-2")
CONTROL = "control-1"
START_TIME = 1000.0  # seconds
TIMEOUT = 60.0  # seconds
SETTLE_ROUNDS = 40
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
class LedgerWorld:
    """Run routers, agents and a control host, and check what callers are told."""

    now: float = START_TIME
    incarnation: int = 0
    states: dict[str, State] = field(factory=dict)
    parcels: list[Parcel] = field(factory=list)
    timers: list[Timer] = field(factory=list)
    calls: list[EngineCall] = field(factory=list)
    started_calls: list[EngineCall] = field(factory=list)
    connections: dict[str, str] = field(factory=dict)
    frozen: set[str] = field(factory=set)
    callers: dict[str, Caller] = field(factory=dict)
    runs: Counter[str] = field(factory=Counter)
    sealed: set[str] = field(factory=set)
    contenders: set[str] = field(factory=set)
    confirmed: set[str] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Start every process."""
        for name in (CONTROL, *AGENTS, *ROUTERS):
            self.start(name)
        self.deliver_all()

    def start(self, name: str) -> None:
        """Start a process, or start it again with nothing remembered."""
        self.incarnation += 1
        role = Role(name.split("-")[0])
        endpoint = f"booking-{name[-1]}"
        self.states[name] = State(
            node=Node(name, role, "r", "a", name, name),
            control_addresses=(CONTROL,),
            configuration=CONFIGURATION,
            agent=AgentState(endpoint) if role is Role.AGENT else None,
            checks_invariants=True,
        )
        self.frozen.discard(name)
        self.handle(name, ProcessStarted(self.incarnation))
        self.run_timers()

    def restart(self, name: str) -> None:
        """Lose a process's memory; its connections are cut and its callers lost."""
        for exchange in [key for key, item in self.callers.items()]:
            if self.callers[exchange].router == name:
                del self.callers[exchange]
        for attempt, router in list(self.connections.items()):
            if router == name:
                left = [
                    Parcel(agent, name, RouterDisconnected(attempt)) for agent in AGENTS
                ]
                self.parcels += left
                del self.connections[attempt]
        self.start(name)

    def handle(self, name: str, event: Event) -> None:
        """Reduce an event at a process and perform its effects."""
        state = self.states[name]
        for effect in reduce(event, state, self.now):
            self.perform(effect, name)

    @singledispatchmethod
    def perform(self, effect: Effect, name: str) -> None:
        """Perform an effect of a process; what the model lacks is dropped."""

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
            self.confirmed.discard(effect.message.exchange)
        self.parcels.append(Parcel(effect.address, name, effect.message))

    @perform.register
    def _(self, effect: SendDispatch, name: str) -> None:
        self.connections[effect.dispatch.attempt] = name
        self.parcels.append(Parcel(effect.http_address, name, effect.dispatch))

    @perform.register
    def _(self, effect: CancelDispatch, name: str) -> None:
        for agent in AGENTS:
            self.parcels.append(Parcel(agent, name, RouterDisconnected(effect.attempt)))

    @perform.register
    def _(self, effect: SendFrame, name: str) -> None:
        router = self.connections.get(effect.attempt)
        if router is not None:
            stream = f"{name} {effect.attempt}"
            self.parcels.append(Parcel(router, name, effect.message, stream))

    @perform.register
    def _(self, effect: CallEngine, name: str) -> None:
        key = effect.request.idempotency_key
        incarnation = self.states[name].incarnation
        self.calls.append(EngineCall(name, incarnation, effect.attempt, key))

    @perform.register
    def _(self, effect: FetchEngineLoad, name: str) -> None:
        self.handle(name, EngineLoadUnavailable(may_be_running=False))

    @perform.register
    def _(self, effect: StartAnswer, name: str) -> None:
        caller = self.callers.get(effect.exchange)
        assert caller is None or self.runs[caller.key] == 1

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
            assert self.runs[caller.key] == 1
        if effect.problem.run_state is RunState.NOT_RUN:
            self._seal(caller.key, effect.exchange)

    def _finish(self, caller: Caller, problem: Problem | None) -> None:
        assert not caller.is_finished
        caller.is_finished = True
        caller.problem = problem

    def _seal(self, key: str, exchange: str) -> None:
        if exchange in self.confirmed and self.runs[key]:
            return  # run by a request that came after the ledger had confirmed this
        assert self.runs[key] == 0, "a request that ran was called not run"
        others = [item for item in self.callers.values() if item.key == key]
        if all(item.is_finished for item in others):
            self.sealed.add(key)

    def _note_contender(self, event: Event) -> None:
        """Note which exchanges the ledger knows to want their key still."""
        if isinstance(event, ClaimWanted) and event.endpoint:
            self.contenders.add(event.exchange)
        if isinstance(event, ReleaseWanted) and event.is_final:
            self.contenders.discard(event.exchange)

    def _check_release(self, answer: ReleaseAnswered) -> None:
        own = self.callers.get(answer.exchange)
        if own is None or answer.verdict is not ClaimVerdict.NOT_RUN:
            return
        others = [
            exchange
            for exchange, item in self.callers.items()
            if item.key == own.key and not item.is_finished and item is not own
        ]
        is_alone = self.contenders.isdisjoint(others)
        assert is_alone, "a key is called not run that another exchange wants"
        assert self.runs[own.key] == 0, "the ledger called a run not run"
        self.confirmed.add(answer.exchange)

    def send_request(self, router: str, key: str, body: bytes = b"a ewe") -> str:
        """Send a request through a router and return its exchange."""
        exchange = self.states[router].create_id()
        self.sealed.discard(key)
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
            timeout=TIMEOUT,
        )
        self.handle(router, RequestArrived(exchange, request))
        return exchange

    def leave(self, exchange: str) -> None:
        """Let a caller leave before it is answered."""
        caller = self.callers.pop(exchange)
        self.handle(caller.router, CallerDisconnected(exchange))

    def list_deliverable(self) -> list[Parcel]:
        """Return the parcels that may arrive next.

        Those of one connection arrive in order, all others in any.
        """
        streams: set[str] = set()
        deliverable = []
        for parcel in self.parcels:
            stream = parcel.stream
            if parcel.target not in self.frozen and stream not in streams:
                deliverable.append(parcel)
            streams |= {stream} - {""}
        return deliverable

    def deliver(self, parcel: Parcel, is_kept: bool = False) -> None:
        """Deliver a parcel, and keep a copy of it on its way where it is doubled."""
        if parcel.stream or not is_kept:
            self.parcels.remove(parcel)
        self._note_contender(parcel.event)
        self.handle(parcel.target, parcel.event)

    def deliver_all(self) -> None:
        """Deliver everything to processes that are not frozen, in order."""
        while self.list_deliverable():
            self.deliver(self.list_deliverable()[0])

    def lose(self, parcel: Parcel) -> None:
        """Lose a parcel; a router notices where it was part of an attempt."""
        self.parcels.remove(parcel)
        if parcel.stream:
            self.parcels = [
                item for item in self.parcels if item.stream != parcel.stream
            ]
        attempt = getattr(parcel.event, "attempt", "")
        router = self.connections.get(attempt)
        if router is not None:
            cut = Parcel(
                router, "network", AttemptConnectionLost(attempt, was_sent=True)
            )
            self.parcels.append(cut)

    def cut(self, attempt: str) -> None:
        """Cut the connection of an attempt; both ends notice in time."""
        router = self.connections.pop(attempt)
        self.parcels = [
            item
            for item in self.parcels
            if not item.stream or getattr(item.event, "attempt", "") != attempt
        ]
        cut = Parcel(router, "network", AttemptConnectionLost(attempt, was_sent=True))
        left = [Parcel(agent, router, RouterDisconnected(attempt)) for agent in AGENTS]
        self.parcels += [cut, *left]

    def advance(self, seconds: float) -> None:
        """Let time pass and deliver the timers that are due."""
        self.now += seconds
        self.run_timers()

    def run_timers(self) -> None:
        """Deliver the timers that are due at processes that are not frozen."""
        due = [
            timer
            for timer in self.timers
            if timer.at <= self.now and timer.target not in self.frozen
        ]
        self.timers = [timer for timer in self.timers if timer not in due]
        for timer in sorted(due, key=lambda item: item.at):
            if self.states[timer.target].incarnation == timer.incarnation:
                self.handle(timer.target, timer.event)

    def start_call(self, call: EngineCall) -> None:
        """Let an engine begin to run a call, even if its agent has restarted."""
        self.calls.remove(call)
        self.started_calls.append(call)
        self.runs[call.key] += 1
        assert self.runs[call.key] == 1, "a request ran twice"
        assert call.key not in self.sealed, "a request ran after it was called not run"

    def refuse_call(self, call: EngineCall) -> None:
        """Let a call fail before it reaches its engine."""
        self.calls.remove(call)
        self._tell_agent(call, EngineCallFailed(call.attempt, CallFailure.NOT_SENT))

    def end_call(self, call: EngineCall, fails: bool) -> None:
        """Let an engine answer a call or crash."""
        self.started_calls.remove(call)
        if fails:
            self._tell_agent(call, EngineCallFailed(call.attempt, CallFailure.CUT))
            return
        receipt = f"receipt of {call.key}".encode()
        self._tell_agent(call, EngineAnswerStarted(call.attempt, 200, ()))
        self._tell_agent(call, EngineAnswerPiece(call.attempt, receipt))
        self._tell_agent(call, EngineAnswerEnded(call.attempt))

    def _tell_agent(self, call: EngineCall, event: Event) -> None:
        if self.states[call.agent].incarnation == call.incarnation:
            self.handle(call.agent, event)

    def settle(self) -> None:
        """Heal every fault and let all work end."""
        self.frozen.clear()
        for _ in range(SETTLE_ROUNDS):
            self.deliver_all()
            for call in list(self.calls):
                self.start_call(call)
            for call in list(self.started_calls):
                self.end_call(call, fails=False)
            self.deliver_all()
            self.advance(2.0)
