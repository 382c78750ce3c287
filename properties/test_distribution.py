"""Property tests of distribution: no process returns to an older revision.

This holds across restarts too.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from gentianworks.core.configuration.deltas import compute_delta
from gentianworks.core.configuration.distribution import (
    accept_configuration,
    adopt_replicated,
)
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage
from gentianworks.core.events.base import Event
from gentianworks.core.events.configuration import (
    ConfigurationPollDue,
    RevisionReadConfirmed,
    RevisionWanted,
)
from gentianworks.core.events.lifecycle import ProcessStarted
from gentianworks.core.handlers import reduce
from gentianworks.core.state import State
from gentianworks.core.types import Configuration, Endpoint, Node, Role, Workspace

LEADER = "tcp://10.0.0.1:1"
ISOLATED = "tcp://10.0.0.2:1"
AGENTS = ("tcp://10.0.1.1:1", "tcp://10.0.1.2:1")
ROUTER = "tcp://10.0.2.1:1"
NODES = (*AGENTS, ROUTER)
NOW = 100.0
MAX_DELIVERIES = 200


def create_state(address: str, role: Role) -> State:
    node = Node(address, role, "eu-west", "a", address, "")
    state = State(node, control_addresses=(LEADER, ISOLATED))
    state.distribution.relay_addresses = AGENTS
    return state


def build_first() -> Configuration:
    endpoints = tuple(
        Endpoint(f"e{number}", "chat", "a", "", address)
        for number, address in enumerate(AGENTS)
    )
    return Configuration(1, endpoints=endpoints)


class Fleet(RuleBasedStateMachine):
    """Processes that restart while messages are lost, duplicated and reordered.

    Processes may be isolated from the leader. The other control host is isolated from
    the quorum but not from the processes: it confirms nothing, and offers the
    configuration that it had at the time of its isolation.
    """

    def __init__(self) -> None:
        super().__init__()
        self.states = {
            LEADER: create_state(LEADER, Role.CONTROL),
            ISOLATED: create_state(ISOLATED, Role.CONTROL),
        }
        self.isolated: set[str] = set()
        self.messages: list[tuple[str, Event]] = []
        self.highest = dict.fromkeys(NODES, 0)
        self.incarnation = 0
        for address in (LEADER, ISOLATED):
            reduce(ProcessStarted(1), self.states[address], NOW)
            self.states[address].control.replicated.configuration = build_first()
            adopt_replicated(self.states[address], NOW)
        for address in NODES:
            self.start(address)

    def start(self, address: str) -> None:
        self.incarnation += 1
        role = Role.AGENT if address in AGENTS else Role.ROUTER
        self.states[address] = create_state(address, role)
        self.reduce(address, ProcessStarted(self.incarnation))

    def reduce(self, address: str, event: Event) -> None:
        self.send(address, reduce(event, self.states[address], NOW))

    def send(self, address: str, effects: list[Effect]) -> None:
        for effect in effects:
            if not isinstance(effect, SendMessage):
                continue
            ends = {address, effect.address}
            if LEADER not in ends or not ends & self.isolated:
                self.messages.append((effect.address, effect.message))

    @rule()
    def accept_change(self) -> None:
        control = self.states[LEADER]
        before = control.control.replicated.configuration
        added = (*before.workspaces, Workspace(f"w{before.revision:03}"))
        after = Configuration(before.revision + 1, (), added, (), before.endpoints)
        control.control.replicated.configuration = after
        delta = compute_delta(before, after)
        self.send(LEADER, accept_configuration(after, (delta,), control, NOW))

    @rule(address=st.sampled_from(NODES))
    def restart(self, address: str) -> None:
        self.start(address)

    @rule(address=st.sampled_from(NODES))
    def poll(self, address: str) -> None:
        self.reduce(address, ConfigurationPollDue())

    @rule(data=st.data(), count=st.integers(1, 20), is_duplicated=st.booleans())
    def deliver(self, data: st.DataObject, count: int, is_duplicated: bool) -> None:
        for _ in range(min(count, len(self.messages))):
            index = data.draw(st.integers(0, len(self.messages) - 1))
            address, event = self.messages[index]
            if not is_duplicated:
                del self.messages[index]
            self.deliver_one(address, event)

    def deliver_one(self, address: str, event: Event) -> None:
        if not isinstance(event, RevisionWanted) or address in NODES:
            self.reduce(address, event)
        elif address == LEADER:
            self.reduce(address, RevisionReadConfirmed(event.nonce, event.peer_address))

    @rule()
    def deliver_all(self) -> None:
        for _ in range(MAX_DELIVERIES):
            if self.messages:
                self.deliver_one(*self.messages.pop(0))

    @rule()
    def lose_all(self) -> None:
        self.messages.clear()

    @rule(address=st.sampled_from(NODES))
    def cut_off(self, address: str) -> None:
        self.isolated ^= {address}

    @invariant()
    def no_revision_decreases(self) -> None:
        for address in NODES:
            revision = self.states[address].configuration.revision
            assert revision == 0 or revision >= self.highest[address]
            self.highest[address] = max(self.highest[address], revision)

    def teardown(self) -> None:
        self.messages.clear()
        self.isolated.clear()
        for _ in range(8):
            for address in (LEADER, *NODES):
                self.reduce(address, ConfigurationPollDue())
            while self.messages:
                self.deliver_one(*self.messages.pop(0))
        expected = self.states[LEADER].configuration
        assert expected.revision >= 1
        for address in NODES:
            assert self.states[address].configuration == expected


class TestDistribution:
    def test_no_revision_decreases(self) -> None:
        run_state_machine_as_test(
            Fleet, settings=settings(derandomize=True, max_examples=60, deadline=None)
        )
