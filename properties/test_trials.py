"""Property test of trials: of a request that crashes engines one told copy runs.

Copies of it and other requests arrive at several agents; messages are lost, doubled
and reordered, timers fire in any order, and an engine is up again at once.
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
from gentianworks.core.effects.engines import CallEngine, CancelCall
from gentianworks.core.effects.lifecycle import SendMessage, SetTimer
from gentianworks.core.events.base import Event
from gentianworks.core.events.dispatch import Dispatch
from gentianworks.core.events.engines import CallFailure, EngineEnded, EngineFailed
from gentianworks.core.events.quarantine import SuspectsChanged
from gentianworks.core.handlers import reduce
from gentianworks.core.quarantine import suspect_updates
from gentianworks.core.quarantine.fingerprints import compute_fingerprint
from gentianworks.core.state import State
from gentianworks.core.types import Node, Role
from gentianworks.tests.fixtures import NOW, REQUEST, build_configuration

AGENTS = 4
DEADLINE = 60.0  # seconds, for which a trial lasts at most
MOST_MESSAGES = 20
LOSS = 0.1
LONGEST = 50.0  # seconds that pass in one example
SEEDS = strategies.integers(0, 2**16)
NUMBERS = strategies.integers(1, AGENTS)
CULPRIT = evolve(REQUEST, body=b"culprit")
FINGERPRINT = compute_fingerprint(CULPRIT)


@frozen
class Waiting:
    """Hold a message or timer of a process until it comes; a message has no time."""

    address: str
    event: Event
    at: float | None = None


@define
class Call:
    """Hold a call at an engine; `was_told` tells that its agent knew the suspect."""

    attempt: str
    number: int
    is_culprit: bool
    was_told: bool


class Trials(RuleBasedStateMachine):
    """Drive a control host and agents whose engines crash."""

    def __init__(self) -> None:
        super().__init__()
        self.patience = patch.object(
            suspect_updates, "TRIAL_ANSWER_TIMEOUT", float("inf")
        )
        self.patience.start()
        self.now = NOW
        self.number = 0
        self.told_crashes = 0
        self.waiting: list[Waiting] = []
        endpoints = build_configuration(AGENTS).endpoints
        self.states = {"control": self._build("control", Role.CONTROL)}
        for endpoint in endpoints:
            address = endpoint.peer_address
            self.states[address] = self._build(address, Role.AGENT, endpoint.name)
        self.calls: dict[str, dict[str, Call]] = {name: {} for name in self.states}

    def teardown(self) -> None:
        """Let agents lose patience again."""
        self.patience.stop()

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
            self.waiting.append(Waiting(effect.address, effect.message))
        if isinstance(effect, SetTimer):
            self.waiting.append(Waiting(address, effect.event, effect.at))
        if isinstance(effect, CancelCall):
            self.calls[address].pop(effect.attempt, None)
        if isinstance(effect, CallEngine):
            is_culprit = effect.request == CULPRIT
            told = is_culprit and self._knows(address)
            call = Call(effect.attempt, effect.call, is_culprit, told)
            self.calls[address][effect.attempt] = call

    def _knows(self, address: str) -> bool:
        state = self.states[address]
        return state.suspects.get(FINGERPRINT, self.now) is not None

    def _take(self, seed: int, *, is_message: bool) -> Waiting | None:
        latest = NOW + LONGEST
        found = [
            item
            for item in self.waiting
            if (item.at is None) == is_message and (item.at or 0.0) <= latest
        ]
        if not found:
            return None
        chosen = random.Random(seed).choice(found)
        self.waiting.remove(chosen)
        return chosen

    @initialize(is_known=strategies.booleans())
    def begin(self, is_known: bool) -> None:
        """Begin before the first crash, or as every agent has heard of it."""
        if is_known:
            book = self.states["control"].control.replicated.suspects
            book.record_crash(FINGERPRINT, "chat", "first", self.now)
            for number in range(1, AGENTS + 1):
                self.tell(number)

    @rule(number=NUMBERS, is_culprit=strategies.booleans())
    def send(self, number: int, is_culprit: bool) -> None:
        """Bring an attempt to an agent."""
        self.number += 1
        request = CULPRIT if is_culprit else evolve(CULPRIT, body=b"%d" % self.number)
        attempt = f"a{self.number}"
        dispatch = Dispatch("r", attempt, "", 0, DEADLINE, 1, request)
        self._reduce(f"tcp://127.0.0.1:{number}", dispatch)

    @rule(seed=SEEDS)
    def deliver(self, seed: int) -> None:
        """Deliver one of the messages, in any order."""
        taken = self._take(seed, is_message=True)
        if taken is not None:
            self._reduce(taken.address, taken.event)

    @rule(seed=SEEDS)
    def settle(self, seed: int) -> None:
        """Deliver most messages and what follows on them, in any order."""
        source = random.Random(seed)
        for _ in range(MOST_MESSAGES):
            taken = self._take(source.randrange(2**16), is_message=True)
            if taken is not None and source.random() > LOSS:
                self._reduce(taken.address, taken.event)

    @rule(seed=SEEDS)
    def lose(self, seed: int) -> None:
        """Lose one of the messages."""
        self._take(seed, is_message=True)

    @rule(seed=SEEDS)
    def double(self, seed: int) -> None:
        """Have one of the messages come twice."""
        taken = self._take(seed, is_message=True)
        if taken is not None:
            self.waiting += [taken, taken]

    @rule(seed=SEEDS)
    def fire(self, seed: int) -> None:
        """Let time pass until a timer is due."""
        taken = self._take(seed, is_message=False)
        if taken is not None and taken.at is not None:
            self.now = max(self.now, taken.at)
            self._reduce(taken.address, taken.event)

    @rule(number=NUMBERS)
    def tell(self, number: int) -> None:
        """Have an agent hear the list of suspects, as with a heartbeat."""
        book = self.states["control"].control.replicated.suspects
        notice = SuspectsChanged("control", book.version, book.list_latest())
        self._reduce(f"tcp://127.0.0.1:{number}", notice)

    @rule(number=NUMBERS)
    def run(self, number: int) -> None:
        """Let an engine end what it runs, or crash if that is among it."""
        address = f"tcp://127.0.0.1:{number}"
        calls = list(self.calls[address].values())
        self.calls[address].clear()
        has_crashed = any(call.is_culprit for call in calls)
        self.told_crashes += any(call.was_told for call in calls)
        for call in calls:
            event: Event = EngineEnded(call.attempt, call.number)
            if has_crashed:
                event = EngineFailed(call.attempt, CallFailure.CUT, call.number)
            self._reduce(address, event)

    @invariant()
    def one_copy_runs_where_the_suspect_is_known(self) -> None:
        running = [
            call
            for address, calls in self.calls.items()
            if self._knows(address)
            for call in calls.values()
            if call.is_culprit
        ]
        assert len(running) <= 1, running

    @invariant()
    def one_told_copy_crashes(self) -> None:
        assert self.told_crashes <= 1


TestTrials = Trials.TestCase
TestTrials.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=60, deadline=None
)
