"""Tests of the distribution of accepted configurations to every process."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Iterator
from itertools import count, pairwise

import httpcore
import pytest
from attrs import define, evolve, field

from gentianworks.core.configuration.deltas import compute_delta
from gentianworks.core.configuration.distribution import accept_configuration
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage, SetTimer
from gentianworks.core.events.base import Event, Message
from gentianworks.core.events.configuration import (
    ConfigurationOffered,
    ConfigurationPollDue,
    ConfigurationWanted,
    RevisionConfirmed,
    RevisionReadConfirmed,
    RevisionWanted,
)
from gentianworks.core.handlers import reduce
from gentianworks.core.state import State
from gentianworks.core.types import Configuration, Endpoint, Node, Role, Workspace
from standins.fleet import (
    Fleet,
    FleetPlan,
    plan_endpoints,
    wait_for_status,
    wait_until,
)

AGENTS = 60
ROUTERS = 20
LOSS_RATE = 0.3
SEEDS = range(1, 41)
MAX_DISTRIBUTION_TIME = 8.0  # seconds
LATENCY = 0.002  # seconds
CONTROL = "tcp://127.0.0.1:1"


def create_state(name: str, role: Role, address: str, controls: str = CONTROL) -> State:
    node = Node(name, role, "eu-west", "a", address, "")
    state = State(node, control_addresses=(controls,))
    if role is Role.CONTROL:
        state.distribution.confirmed_revision = 0
    return state


def build_configuration(revision: int) -> Configuration:
    endpoints = tuple(
        Endpoint(f"e{number:02}", "chat", "a", "", f"tcp://127.0.1.{number}:1")
        for number in range(AGENTS)
    )
    workspaces = tuple(Workspace(f"w{number}") for number in range(revision))
    return Configuration(revision, workspaces=workspaces, endpoints=endpoints)


@pytest.fixture(scope="class")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    with Fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        fleet.build(FleetPlan(controls=3, endpoints=plan_endpoints("chat", 1)))
        yield fleet


def has_contents(message: Message) -> bool:
    """Return whether a message has deltas or a configuration, not only a revision."""
    if not isinstance(message, ConfigurationOffered):
        return False
    return bool(message.deltas or message.configuration)


def filter_sends(effects: list[Effect]) -> list[SendMessage]:
    """Return the messages that effects send."""
    return [item for item in effects if isinstance(item, SendMessage)]


@define
class Network:
    """Simulated network that delivers timers, and messages unless it loses them.

    `content_offers` counts the offers with contents that each process has sent.
    """

    states: dict[str, State]
    random: random.Random
    now: float = 0.0
    queue: list[tuple[float, int, str, Event]] = field(factory=list)
    order: Iterator[int] = field(factory=count)
    content_offers: Counter[str] = field(factory=Counter)

    def perform(self, address: str, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SetTimer):
                self._push(effect.due_at, address, effect.event)
            elif isinstance(effect, SendMessage):
                self.content_offers[address] += has_contents(effect.message)
                if self.random.random() >= LOSS_RATE:
                    self._push(self.now + LATENCY, effect.address, effect.message)

    def _push(self, at: float, address: str, event: Event) -> None:
        heapq.heappush(self.queue, (at, next(self.order), address, event))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, address, event = heapq.heappop(self.queue)
            state = self.states[address]
            if isinstance(event, RevisionWanted) and state.node.role is Role.CONTROL:
                event = RevisionReadConfirmed(event.nonce, event.peer_address)
            self.perform(address, reduce(event, state, self.now))
        self.now = until


class TestFanOut:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_reaches_every_process_through_others(self, seed: int) -> None:
        first = build_configuration(1)
        control = create_state("control", Role.CONTROL, CONTROL)
        accept_configuration(first, (), control, 0.0)
        control.control.replicated.configuration = first
        states = {CONTROL: control}
        for endpoint in first.endpoints:
            address = endpoint.peer_address
            states[address] = create_state(endpoint.name, Role.AGENT, address)
        for number in range(ROUTERS):
            address = f"tcp://127.0.2.{number}:1"
            states[address] = create_state(f"r{number}", Role.ROUTER, address)
        network = Network(states, random.Random(seed))
        for address in states:
            network._push(network.random.random(), address, ConfigurationPollDue())
        network.run(20.0)
        assert {state.configuration.revision for state in states.values()} == {1}

        network.content_offers.clear()
        second = build_configuration(2)
        delta = compute_delta(first, second)
        control.control.replicated.configuration = second
        network.perform(
            CONTROL, accept_configuration(second, (delta,), control, network.now)
        )
        network.run(20.0 + MAX_DISTRIBUTION_TIME)
        assert {state.configuration for state in states.values()} == {second}
        assert 0 < network.content_offers[CONTROL] <= len(states) / 8


class TestRestart:
    def test_asks_the_host_that_confirmed_a_newer_revision_for_it(self) -> None:
        state = create_state("router", Role.ROUTER, "tcp://127.0.0.1:2")
        state.incarnation = 7
        state.control_addresses = (CONTROL, "tcp://127.0.0.9:1")
        confirmed = RevisionConfirmed("b", "router-7", 5, "tcp://127.0.0.9:1")
        sent = filter_sends(reduce(confirmed, state, 0.0))
        assert [item.address for item in sent] == ["tcp://127.0.0.9:1"]
        assert isinstance(sent[0].message, ConfigurationWanted)

    def test_does_not_use_a_revision_older_than_a_quorum_confirms(self) -> None:
        state = create_state("router", Role.ROUTER, "tcp://127.0.0.1:2")
        state.incarnation = 7
        stale = build_configuration(3)
        offer = ConfigurationOffered("peer", CONTROL, 3, configuration=stale)
        reduce(offer, state, 0.0)
        assert state.configuration.revision == 0
        reduce(RevisionConfirmed("control", "router-6", 3), state, 0.0)
        assert state.configuration.revision == 0
        reduce(RevisionConfirmed("control", "router-7", 5), state, 0.0)
        assert state.configuration.revision == 0
        present = build_configuration(5)
        reduce(evolve(offer, revision=5, configuration=present), state, 0.0)
        assert state.configuration.revision == 5
        reduce(offer, state, 0.0)
        assert state.configuration.revision == 5


class TestWanted:
    def test_offers_deltas_and_the_full_configuration_only_across_a_gap(self) -> None:
        state = create_state("agent", Role.AGENT, "tcp://127.0.0.1:2")
        configurations = [build_configuration(number) for number in range(1, 5)]
        accept_configuration(configurations[1], (), state, 0.0)
        for old, new in pairwise(configurations[1:]):
            accept_configuration(new, (compute_delta(old, new),), state, 0.0)
        behind = reduce(ConfigurationWanted("r", 2, CONTROL), state, 0.0)
        far_behind = reduce(ConfigurationWanted("r", 1, CONTROL), state, 0.0)
        offers = [
            effect.message
            for effect in (*behind, *far_behind)
            if isinstance(effect, SendMessage)
            and isinstance(effect.message, ConfigurationOffered)
        ]
        assert [len(offer.deltas) for offer in offers] == [2, 0]
        assert offers[0].configuration is None
        assert offers[1].configuration == configurations[3]


def has_stored_configuration(address: str) -> bool:
    """Return whether a process has stored a configuration, in force or not."""
    text = httpcore.request("GET", f"http://{address}/metrics").content
    return b'configuration_revision{state="held"} 1' in text


class TestProcesses:
    def test_restarted_router_waits_for_a_quorum(self, fleet: Fleet) -> None:
        relay = f"relay_addresses = {fleet.agents['chat-1'].peer_address}\n"
        running = fleet.routers[0]
        restarted = fleet.start_role("router", "router-again", "c", extra=relay)
        wait_for_status(restarted.http_address, "/readyz")
        for control in fleet.controls:
            control.freeze()
        restarted.kill()
        fleet.restart(restarted.name)
        wait_for_status(restarted.http_address, "/livez")
        wait_until(lambda: has_stored_configuration(restarted.http_address))
        wait_for_status(running.http_address, "/readyz")
        wait_for_status(restarted.http_address, "/readyz", 503)
        for control in fleet.controls:
            control.thaw()
        wait_for_status(restarted.http_address, "/readyz")

    def test_router_reaches_control_through_an_agent(self, fleet: Fleet) -> None:
        relay = fleet.agents["chat-1"].peer_address
        router = fleet.start_role(
            *("router", "router-far", "c"),
            control="tcp://127.0.0.1:1",
            extra=f"relay_addresses = {relay}\n",
        )
        wait_for_status(router.http_address, "/readyz")
