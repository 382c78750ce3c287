"""Property tests of agents: load bound, ranks, shares, suspension and answers."""

from __future__ import annotations

from collections import defaultdict

from attrs import define, field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.dispatch import SendFrame
from gentianworks.core.effects.engines import CallEngine, CancelEngineCall
from gentianworks.core.effects.lifecycle import SetTimer
from gentianworks.core.events.base import Event, Message
from gentianworks.core.events.dispatch import (
    AnswerEnd,
    AnswerHead,
    AnswerPiece,
    AttemptRefused,
    Dispatch,
    RouterDisconnected,
)
from gentianworks.core.events.engines import (
    CallFailure,
    EngineAnswerEnded,
    EngineAnswerPiece,
    EngineAnswerStarted,
    EngineCallFailed,
    LoadsReceived,
)
from gentianworks.core.events.lifecycle import ShutdownRequested
from gentianworks.core.handlers import reduce
from gentianworks.core.load.agent_bounds import compute_agent_bound
from gentianworks.core.load.bound import sum_loads
from gentianworks.core.state import State
from gentianworks.core.types import (
    Configuration,
    Endpoint,
    Header,
    Load,
    Node,
    Rank,
    Request,
    Role,
    RunState,
    Service,
    ServiceKind,
    ServiceLoad,
    Workspace,
)

CAPACITY = 6  # attempts that an agent runs at once
ANSWER_TOKENS = 3
COSTS = (1, 10, 500)  # tokens
RANKS = (
    Rank("submissions", 0, 0.3, 2.0),
    Rank("drafts", 1, 0.2, 2.0),
    Rank("questions", 2, 0.1, 2.0),
)
SERVICE = Service("chat", ServiceKind.MODEL, load_multiple=1.5, load_floor=2)
EVENT_STREAM = (Header("content-type", "text/event-stream"),)
AGENTS = ("e1", "e2", "e3")


def build_state(endpoint: str) -> State:
    """Return the state of an agent in a fleet of three."""
    configuration = Configuration(
        revision=1,
        ranks=RANKS,
        workspaces=(Workspace("large"), Workspace("small")),
        services=(SERVICE,),
        endpoints=tuple(
            Endpoint(name, "chat", "a", "", "", CAPACITY) for name in AGENTS
        ),
    )
    return State(
        node=Node(endpoint, Role.AGENT, "r", "a", "", ""),
        agent=AgentState(endpoint),
        configuration=configuration,
        checks_invariants=True,
    )


@define
class Call:
    """Call at a stand-in engine."""

    number: int
    next_event: int
    has_started: bool = False


@define
class Caller:
    """Router's view of one attempt."""

    frames: list[Message] = field(factory=list)
    has_reached_engine: bool = False
    is_disconnected: bool = False

    def list_events(self) -> list[int]:
        """Return the numbers of the answer events received so far."""
        return [
            frame.last_event for frame in self.frames if isinstance(frame, AnswerPiece)
        ]


class AgentMachine(RuleBasedStateMachine):
    """Random requests, answers, faults and load reports of three agents."""

    @initialize()
    def start(self) -> None:
        self.now = 100.0
        self.states = {name: build_state(name) for name in AGENTS}
        self.calls: dict[str, dict[str, Call]] = {name: {} for name in AGENTS}
        self.callers: dict[str, Caller] = defaultdict(Caller)
        self.timers: list[tuple[float, str, Event]] = []
        self.number = 0
        busy = Load(CAPACITY * len(AGENTS), 10_000, endpoints=len(AGENTS))
        for state in self.states.values():
            state.fleet.loads = {"chat": ServiceLoad("chat", busy)}
            state.fleet.loads_as_of = self.now

    def handle(self, name: str, event: Event) -> None:
        for effect in reduce(event, self.states[name], self.now):
            self.perform(name, effect)

    def perform(self, name: str, effect: Effect) -> None:
        calls = self.calls[name]
        match effect:
            case CallEngine():
                assert effect.attempt not in calls
                calls[effect.attempt] = Call(effect.call, effect.resume_after + 1)
                self.callers[effect.attempt].has_reached_engine = True
                late = EngineAnswerPiece(effect.attempt, b"late", 9, 9, effect.call - 1)
                self.timers.append((self.now, name, late))
            case CancelEngineCall():
                del calls[effect.attempt]
            case SetTimer():
                self.timers.append((effect.due_at, name, effect.event))
            case SendFrame():
                self.receive_frame(effect.attempt, effect.message)

    def receive_frame(self, attempt: str, message: Message) -> None:
        caller = self.callers[attempt]
        assert not caller.is_disconnected
        if caller.frames:
            assert not isinstance(caller.frames[-1], AnswerEnd | AttemptRefused)
        caller.frames.append(message)
        assert caller.list_events() == list(range(len(caller.list_events())))
        if isinstance(message, AttemptRefused):
            not_run = message.problem.run_state is RunState.NOT_RUN
            assert not_run != caller.has_reached_engine
        if isinstance(message, AnswerEnd):
            assert len(caller.list_events()) == ANSWER_TOKENS
            assert sum(isinstance(item, AnswerHead) for item in caller.frames) == 1

    @rule(
        name=st.sampled_from(AGENTS),
        rank=st.sampled_from(RANKS),
        workspace=st.sampled_from(("large", "small")),
        cost=st.sampled_from(COSTS),
        is_repeatable=st.booleans(),
        count=st.integers(1, 6),
    )
    def send_requests(
        self,
        name: str,
        rank: Rank,
        workspace: str,
        cost: int,
        is_repeatable: bool,
        count: int,
    ) -> None:
        for _ in range(count):
            self.number += 1
            request = Request(
                service="chat",
                workspace=workspace,
                rank=rank.name,
                method="POST",
                path="/",
                headers=(),
                body=b"",
                cost=cost,
                is_repeatable=is_repeatable,
            )
            attempt = f"a{self.number}"
            self.handle(name, Dispatch("router", attempt, name, 0, 60.0, 1, request))

    def choose_call(self, data: st.DataObject) -> tuple[str, str, Call] | None:
        active = [
            (name, attempt, call)
            for name, calls in self.calls.items()
            for attempt, call in calls.items()
        ]
        return data.draw(st.sampled_from(active)) if active else None

    @rule(data=st.data(), count=st.integers(1, ANSWER_TOKENS + 1))
    def produce_events(self, data: st.DataObject, count: int) -> None:
        chosen = self.choose_call(data)
        if chosen is None:
            return
        name, attempt, call = chosen
        if not call.has_started:
            call.has_started = True
            started = EngineAnswerStarted(attempt, 200, EVENT_STREAM, call.number)
            self.handle(name, started)
        for _ in range(count):
            if attempt not in self.calls[name]:
                return
            if call.next_event == ANSWER_TOKENS:
                del self.calls[name][attempt]
                self.handle(name, EngineAnswerEnded(attempt, call.number))
                return
            event = call.next_event
            call.next_event += 1
            piece = EngineAnswerPiece(attempt, b"x", event, event, call.number)
            self.handle(name, piece)

    @rule(data=st.data(), failure=st.sampled_from(CallFailure))
    def fail_call(self, data: st.DataObject, failure: CallFailure) -> None:
        chosen = self.choose_call(data)
        if chosen is None or failure is CallFailure.NOT_SENT:
            return
        name, attempt, call = chosen
        del self.calls[name][attempt]
        self.handle(name, EngineCallFailed(attempt, failure, call.number))

    @rule(name=st.sampled_from(AGENTS), data=st.data())
    def disconnect_router(self, name: str, data: st.DataObject) -> None:
        agent = self.states[name].agent
        assert agent is not None
        if agent.attempts:
            attempt = data.draw(st.sampled_from(sorted(agent.attempts)))
            self.callers[attempt].is_disconnected = True
            self.handle(name, RouterDisconnected(attempt))

    @rule(unreached=st.sampled_from(((), AGENTS[:1], AGENTS[:2])))
    def report_loads(self, unreached: tuple[str, ...]) -> None:
        total = sum_loads(
            state.agent.compute_load()
            for state in self.states.values()
            if state.agent is not None
        )
        for name in set(AGENTS) - set(unreached):
            fleet = self.states[name].fleet
            fleet.loads = {"chat": ServiceLoad("chat", total)}
            fleet.loads_as_of = self.now
            self.handle(name, LoadsReceived())
            self.check_bound(name)

    @rule(name=st.sampled_from(AGENTS), data=st.data())
    def preempt(self, name: str, data: st.DataObject) -> None:
        """Start low-priority work, then send urgent work that may pre-empt it."""
        self.send_requests(name, RANKS[2], "large", 10, True, CAPACITY)
        self.produce_events(data, 1)
        self.produce_events(data, 1)
        self.send_requests(name, RANKS[0], "small", 10, True, 2)
        self.advance(0.3)

    @rule(seconds=st.sampled_from((0.01, 0.3, 1.0, 5.0, 40.0)))
    def advance(self, seconds: float) -> None:
        self.now += seconds
        due = [item for item in self.timers if item[0] <= self.now]
        self.timers = [item for item in self.timers if item[0] > self.now]
        for _, name, event in sorted(due, key=lambda item: item[0]):
            self.handle(name, event)

    @precondition(lambda self: self.number > 5)
    @rule(name=st.sampled_from(AGENTS))
    def drain(self, name: str) -> None:
        self.handle(name, ShutdownRequested())
        agent = self.states[name].agent
        assert agent is not None
        assert all(attempt.call_count for attempt in agent.attempts.values())

    def check_bound(self, name: str) -> None:
        """Assert that work exceeds the bound only if none of it can be suspended."""
        agent = self.states[name].agent
        assert agent is not None
        bound = compute_agent_bound(agent, self.states[name], self.now)
        if bound.is_exceeded(agent.compute_load()):
            assert not any(attempt.can_suspend for attempt in agent.list_running())

    @invariant()
    def running_attempts_match_calls(self) -> None:
        for name, state in getattr(self, "states", {}).items():
            assert state.agent is not None
            assert set(state.agent.running) == set(self.calls[name])
            assert len(state.agent.running) <= CAPACITY

    @invariant()
    def debt_is_below_one_attempt(self) -> None:
        for state in getattr(self, "states", {}).values():
            assert state.agent is not None
            for queue in state.agent.queue.ranks.values():
                assert queue.credit > -max(COSTS)


TestAgent = AgentMachine.TestCase
TestAgent.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)
