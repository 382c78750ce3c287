"""Property tests of trials: at most one copy of a suspect runs on informed agents.

Copies of a request that crashes engines arrive at several agents among other requests;
messages are lost, duplicated and reordered, timers fire in any order, and a crashed
engine restarts at once.
"""

from __future__ import annotations

import random
from unittest.mock import patch

from attrs import define, evolve, frozen
from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.engines import CallEngine, CancelEngineCall
from gentianworks.core.effects.lifecycle import SendMessage, SetTimer
from gentianworks.core.events.base import Event
from gentianworks.core.events.dispatch import Dispatch
from gentianworks.core.events.engines import (
    CallFailure,
    EngineAnswerEnded,
    EngineCallFailed,
)
from gentianworks.core.events.quarantine import SuspectsChanged
from gentianworks.core.handlers import reduce
from gentianworks.core.quarantine import suspect_updates
from gentianworks.core.quarantine.fingerprints import compute_fingerprint
from gentianworks.core.state import State
from gentianworks.core.types import Node, Role
from gentianworks.tests.fixtures import NOW, REQUEST, build_configuration

AGENTS = 4
DEADLINE = 60.0  # seconds, for which a trial lasts at most
MAX_SETTLED_MESSAGES = 20
LOSS_RATE = 0.1
MAX_DURATION = 50.0  # seconds that pass in one example
SEEDS = strategies.integers(0, 2**16)
NUMBERS = strategies.integers(1, AGENTS)
CULPRIT = evolve(REQUEST, body=b"culprit")
FINGERPRINT = compute_fingerprint(CULPRIT)


@frozen
class PendingEvent:
    """Message or timer that a process has yet to receive; a message has no time."""

    address: str
    event: Event
    at: float | None = None


@define
class Call:
    """Call at an engine; `is_informed` means that its agent knew of the suspect."""

    attempt: str
    number: int
    is_culprit: bool
    is_informed: bool


class Trials(RuleBasedStateMachine):
    """Control host, and agents whose engines crash."""

    def __init__(self) -> None:
        super().__init__()
        self.timeout_patch = patch.object(
            suspect_updates, "TRIAL_ANSWER_TIMEOUT", float("inf")
        )
        self.timeout_patch.start()
        self.now = NOW
        self.number = 0
        self.informed_crashes = 0
        self.pending: list[PendingEvent] = []
        endpoints = build_configuration(AGENTS).endpoints
        self.states = {"control": self._build("control", Role.CONTROL)}
        for endpoint in endpoints:
            address = endpoint.peer_address
            self.states[address] = self._build(address, Role.AGENT, endpoint.name)
        self.calls: dict[str, dict[str, Call]] = {name: {} for name in self.states}

    def teardown(self) -> None:
        """Restore the timeout after which agents run a suspect without a grant."""
        self.timeout_patch.stop()

    def _build(self, address: str, role: Role, endpoint: str = "") -> State:
        return State(
            node=Node(address, role, "r", "a", address, address),
            control_addresses=("control",),
            configuration=build_configuration(AGENTS),
            agent=AgentState(endpoint) if endpoint else None,
            checks_invariants=True,
        )

    def _reduce(self, address: str, event: Event) -> None:
        for effect in reduce(event, self.states[address], self.now):
            self._perform(address, effect)

    def _perform(self, address: str, effect: Effect) -> None:
        if isinstance(effect, SendMessage) and effect.address in self.states:
            self.pending.append(PendingEvent(effect.address, effect.message))
        if isinstance(effect, SetTimer):
            self.pending.append(PendingEvent(address, effect.event, effect.due_at))
        if isinstance(effect, CancelEngineCall):
            self.calls[address].pop(effect.attempt, None)
        if isinstance(effect, CallEngine):
            is_culprit = effect.request == CULPRIT
            is_informed = is_culprit and self._knows(address)
            call = Call(effect.attempt, effect.call, is_culprit, is_informed)
            self.calls[address][effect.attempt] = call

    def _knows(self, address: str) -> bool:
        state = self.states[address]
        return state.suspects.get(FINGERPRINT, self.now) is not None

    def _pop_pending(self, seed: int, *, is_message: bool) -> PendingEvent | None:
        latest = NOW + MAX_DURATION
        found = [
            item
            for item in self.pending
            if (item.at is None) == is_message and (item.at or 0.0) <= latest
        ]
        if not found:
            return None
        chosen = random.Random(seed).choice(found)
        self.pending.remove(chosen)
        return chosen

    @initialize(is_known=strategies.booleans())
    def begin(self, is_known: bool) -> None:
        """Begin before the first crash, or after every agent was informed of it."""
        if is_known:
            registry = self.states["control"].control.replicated.suspects
            registry.record_crash(FINGERPRINT, "chat", "first", self.now)
            for number in range(1, AGENTS + 1):
                self.send_suspects(number)

    @rule(number=NUMBERS, is_culprit=strategies.booleans())
    def send(self, number: int, is_culprit: bool) -> None:
        """Dispatch an attempt to an agent."""
        self.number += 1
        request = CULPRIT if is_culprit else evolve(CULPRIT, body=b"%d" % self.number)
        attempt = f"a{self.number}"
        dispatch = Dispatch("r", attempt, "", 0, DEADLINE, 1, request)
        self._reduce(f"tcp://127.0.0.1:{number}", dispatch)

    @rule(seed=SEEDS)
    def deliver(self, seed: int) -> None:
        """Deliver one of the messages, in any order."""
        item = self._pop_pending(seed, is_message=True)
        if item is not None:
            self._reduce(item.address, item.event)

    @rule(seed=SEEDS)
    def settle(self, seed: int) -> None:
        """Deliver most messages and those that result from them, in any order."""
        generator = random.Random(seed)
        for _ in range(MAX_SETTLED_MESSAGES):
            item = self._pop_pending(generator.randrange(2**16), is_message=True)
            if item is not None and generator.random() > LOSS_RATE:
                self._reduce(item.address, item.event)

    @rule(seed=SEEDS)
    def lose(self, seed: int) -> None:
        """Lose one of the messages."""
        self._pop_pending(seed, is_message=True)

    @rule(seed=SEEDS)
    def duplicate(self, seed: int) -> None:
        """Duplicate one of the messages."""
        item = self._pop_pending(seed, is_message=True)
        if item is not None:
            self.pending += [item, item]

    @rule(seed=SEEDS)
    def fire(self, seed: int) -> None:
        """Let time pass until a timer is due."""
        item = self._pop_pending(seed, is_message=False)
        if item is not None and item.at is not None:
            self.now = max(self.now, item.at)
            self._reduce(item.address, item.event)

    @rule(number=NUMBERS)
    def send_suspects(self, number: int) -> None:
        """Send an agent the list of suspects, as after a heartbeat."""
        registry = self.states["control"].control.replicated.suspects
        notice = SuspectsChanged("control", registry.version, registry.list_latest())
        self._reduce(f"tcp://127.0.0.1:{number}", notice)

    @rule(number=NUMBERS)
    def run(self, number: int) -> None:
        """Let an engine complete its calls, or crash if the culprit is among them."""
        address = f"tcp://127.0.0.1:{number}"
        calls = list(self.calls[address].values())
        self.calls[address].clear()
        has_crashed = any(call.is_culprit for call in calls)
        self.informed_crashes += any(call.is_informed for call in calls)
        for call in calls:
            event: Event = EngineAnswerEnded(call.attempt, call.number)
            if has_crashed:
                event = EngineCallFailed(call.attempt, CallFailure.CUT, call.number)
            self._reduce(address, event)

    @invariant()
    def one_copy_runs_among_informed_agents(self) -> None:
        running = [
            call
            for address, calls in self.calls.items()
            if self._knows(address)
            for call in calls.values()
            if call.is_culprit
        ]
        assert len(running) <= 1, running

    @invariant()
    def one_informed_copy_crashes(self) -> None:
        assert self.informed_crashes <= 1


TestTrials = Trials.TestCase
TestTrials.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=60, deadline=None
)
