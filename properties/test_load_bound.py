"""Properties of the load bound: a fall of the mean takes effect in a stated time."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator

import pytest
from attrs import define, evolve, field, frozen
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage, SetTimer
from gentianworks.core.events.base import Event
from gentianworks.core.events.dispatch import Dispatch
from gentianworks.core.events.engines import EngineAnswerEnded
from gentianworks.core.events.membership import HeartbeatDue, LivenessCheckDue
from gentianworks.core.handlers import reduce
from gentianworks.core.load import sums as load_sums
from gentianworks.core.load.bound import DEFAULT_RUN_TIME
from gentianworks.core.membership import heartbeats
from gentianworks.core.membership.fleet import HEARTBEAT_INTERVAL
from gentianworks.core.state import State
from gentianworks.core.types import Configuration, Node, Role
from gentianworks.tests.fixtures import NOW, REQUEST, build_configuration

LEADER = "tcp://leader"
FOLLOWERS = ("tcp://second", "tcp://third")
MULTIPLE = 1.5
FLOOR = 2
WARM_UP = 6.0  # seconds
MAX_DELAY = 0.15  # seconds
MAX_SILENCE = 1.25  # seconds
LAST_END = 2.0  # seconds
LARGE_ENDPOINTS = 120
SETTLE_TIME = 1.2  # seconds


@frozen(order=True)
class Delivery:
    """Event that a process receives at a time."""

    at: float
    number: int
    address: str = field(order=False)
    event: Event = field(order=False)


@frozen
class Sample:
    """Mean load at one time."""

    at: float
    mean: float


@frozen
class Finish:
    """Work that ends at one endpoint; the time counts from the end of the warm-up."""

    at: float
    endpoint: int
    count: int


@frozen
class Plan:
    """Fleet of a test: the work and the capacity of each endpoint, and the network."""

    backlogs: tuple[int, ...]
    capacities: tuple[int, ...] = (64, 64, 64, 64, 64)
    message_delay: float = 0.001  # seconds


def build_fleet(plan: Plan) -> Configuration:
    """Return a configuration whose endpoints are bounded by their mean load."""
    plain = build_configuration(len(plan.backlogs))
    (service,) = plain.services
    bounded = evolve(service, load_multiple=MULTIPLE, load_floor=FLOOR)
    pool = tuple(
        evolve(item, capacity=capacity)
        for item, capacity in zip(plain.endpoints, plan.capacities, strict=True)
    )
    return evolve(plain, services=(bounded,), endpoints=pool)


@define
class Simulation:
    """Simulation of control hosts and agents that checks the bound after each event."""

    message_delay: float
    states: dict[str, State] = field(factory=dict)
    deliveries: list[Delivery] = field(factory=list)
    now: float = NOW
    number: int = 0
    means: list[Sample] = field(factory=list)

    def add(self, address: str, role: Role, configuration: Configuration) -> State:
        """Add a process."""
        node = Node(address, role, "r", "a", address, "")
        state = State(
            node,
            control_addresses=(LEADER, *FOLLOWERS),
            configuration=configuration,
        )
        self.states[address] = state
        return state

    def send(self, at: float, address: str, event: Event) -> None:
        """Schedule an event for delivery to a process."""
        self.number += 1
        heapq.heappush(self.deliveries, Delivery(at, self.number, address, event))

    def run(self, until: float, checks: bool) -> None:
        """Deliver all events that are due by `until`."""
        while self.deliveries and self.deliveries[0].at <= until:
            delivery = heapq.heappop(self.deliveries)
            self.now = delivery.at
            self.handle(delivery.address, delivery.event)
            if checks:
                self.check()

    def handle(self, address: str, event: Event) -> None:
        """Reduce an event and perform its effects."""
        state = self.states.get(address)
        for effect in reduce(event, state, self.now) if state else ():
            self.perform(address, effect)

    def perform(self, address: str, effect: Effect) -> None:
        """Set timers and deliver messages; other effects are ignored."""
        match effect:
            case SetTimer():
                self.send(effect.due_at, address, effect.event)
            case SendMessage() if effect.address in self.states:
                at = self.now + self.message_delay
                self.send(at, effect.address, effect.message)

    def list_agents(self) -> list[AgentState]:
        """Return the agents in the order of their endpoints."""
        return [item.agent for item in self.states.values() if item.agent]

    def finish(self, event: Finish) -> None:
        """End the oldest running attempts at an endpoint."""
        agent = self.list_agents()[event.endpoint]
        for attempt in agent.list_running()[: event.count]:
            ended = EngineAnswerEnded(attempt.id, attempt.call_count)
            self.handle(f"tcp://127.0.0.1:{event.endpoint + 1}", ended)

    def check(self) -> None:
        """Assert that no endpoint is above the multiple of a mean within the delay."""
        loads = [agent.compute_load().requests for agent in self.list_agents()]
        self.means.append(Sample(self.now, sum(loads) / len(loads)))
        oldest = self.now - MAX_DELAY - 2 * self.message_delay
        while len(self.means) > 1 and self.means[1].at <= oldest:
            self.means.pop(0)
        mean = max(sample.mean for sample in self.means)
        allowed = max(FLOOR, math.ceil(MULTIPLE * mean))
        assert max(loads) <= allowed, f"{loads} at {self.now - NOW:.3f}"


def start_fleet(plan: Plan, controls: tuple[str, ...] = (LEADER,)) -> Simulation:
    """Return a fleet after the warm-up, when it runs as much of its work as it may."""
    simulation = Simulation(plan.message_delay)
    configuration = build_fleet(plan)
    for address in controls:
        simulation.add(address, Role.CONTROL, configuration)
        simulation.send(NOW, address, LivenessCheckDue())
    for number, backlog in enumerate(plan.backlogs, start=1):
        address = f"tcp://127.0.0.1:{number}"
        state = simulation.add(address, Role.AGENT, configuration)
        state.agent = AgentState(f"chat-{number}")
        simulation.send(NOW + number * HEARTBEAT_INTERVAL / 7, address, HeartbeatDue())
        for attempt in range(backlog):
            name = f"{number}-{attempt}"
            event = Dispatch("r", name, f"chat-{number}", 0, 60.0, 1, REQUEST)
            simulation.send(NOW, address, event)
    simulation.run(NOW + WARM_UP, checks=False)
    return simulation


def is_fixed_leader(state: State, now: float) -> bool:
    return state.node.name == LEADER


@pytest.fixture(autouse=True, scope="module")
def fixed_leader() -> Iterator[None]:
    with pytest.MonkeyPatch.context() as patch:
        for module in (heartbeats, load_sums):
            patch.setattr(module, "is_leading", is_fixed_leader)
        yield


finishes = st.builds(
    Finish,
    at=st.floats(0.0, LAST_END),
    endpoint=st.integers(1, 4),
    count=st.integers(1, 8),
)


HOT_CHAT = Plan((40, 8, 8, 8, 8))


class TestFall:
    @pytest.mark.parametrize(
        "plan",
        [
            pytest.param(HOT_CHAT, id="hot chat"),
            pytest.param(Plan((40, 40, 6, 4, 4)), id="hot workspace"),
            pytest.param(
                Plan((40, 40, 8, 8, 8), (64, 4, 64, 2, 8)), id="unequal capacities"
            ),
            pytest.param(evolve(HOT_CHAT, message_delay=0.2), id="delayed messages"),
        ],
    )
    @settings(max_examples=25, deadline=None, derandomize=True)
    @given(events=st.lists(finishes, max_size=12))
    def test_takes_effect_within_the_stated_time(
        self, plan: Plan, events: list[Finish]
    ) -> None:
        simulation = start_fleet(plan)
        begin = simulation.now
        simulation.check()
        for event in sorted(events, key=lambda item: item.at):
            simulation.run(begin + event.at, checks=True)
            simulation.now = max(simulation.now, begin + event.at)
            simulation.finish(event)
        simulation.run(begin + 2 * LAST_END, checks=True)

    def test_suspends_what_the_mean_no_longer_allows(self) -> None:
        simulation = start_fleet(HOT_CHAT)
        hot = simulation.list_agents()[0]
        assert hot.compute_load().requests > 8
        for endpoint in range(1, 5):
            simulation.finish(Finish(0.0, endpoint, 6))
        simulation.run(simulation.now + MAX_DELAY, checks=False)
        assert hot.compute_load().requests <= 5

    def test_takes_effect_within_a_heartbeat_in_a_large_fleet(self) -> None:
        backlogs = (40, *[8] * (LARGE_ENDPOINTS - 1))
        simulation = start_fleet(Plan(backlogs, (64,) * LARGE_ENDPOINTS))
        hot = simulation.list_agents()[0]
        assert hot.compute_load().requests > 8
        for endpoint in range(1, LARGE_ENDPOINTS):
            simulation.finish(Finish(0.0, endpoint, 6))
        simulation.run(simulation.now + HEARTBEAT_INTERVAL + MAX_DELAY, checks=False)
        simulation.check()


class TestSilence:
    def test_shrinks_the_bound_as_fast_as_work_may_end(self) -> None:
        simulation = start_fleet(HOT_CHAT)
        hot = simulation.list_agents()[0]
        before, begin = hot.compute_load().requests, simulation.now
        del simulation.states[LEADER]
        for age in (1.25, 2.25, 3.25, 4.25, 5.75):
            simulation.run(begin + age, checks=False)
            remaining = max(0.0, 1.0 - (age - MAX_SILENCE) / DEFAULT_RUN_TIME)
            allowed = max(FLOOR, math.ceil(before * remaining))
            assert hot.compute_load().requests <= allowed

    def test_leaves_the_floor_if_no_sum_was_ever_received(self) -> None:
        simulation = start_fleet(HOT_CHAT, controls=())
        loads = [agent.compute_load().requests for agent in simulation.list_agents()]
        assert loads == [FLOOR] * 5


EVEN = Plan((12, 12, 12, 12, 12))


class TestLostLeader:
    @pytest.mark.parametrize("message_delay", [0.001, 0.03])
    def test_suspends_no_evenly_distributed_work(self, message_delay: float) -> None:
        plan = evolve(EVEN, message_delay=message_delay)
        simulation = start_fleet(plan, (LEADER, *FOLLOWERS))
        begin = simulation.now
        del simulation.states[LEADER]
        for step in range(1, 51):
            simulation.run(begin + step / 10, checks=True)
            loads = [item.compute_load().requests for item in simulation.list_agents()]
            assert loads == [12] * 5, f"{loads} after {step / 10} s"

    @settings(max_examples=25, deadline=None, derandomize=True)
    @given(events=st.lists(finishes, max_size=12))
    def test_lets_falls_take_effect_within_the_stated_time(
        self, events: list[Finish]
    ) -> None:
        simulation = start_fleet(HOT_CHAT, (LEADER, *FOLLOWERS))
        del simulation.states[LEADER]
        begin = simulation.now + SETTLE_TIME
        simulation.run(begin, checks=False)
        simulation.check()
        for event in sorted(events, key=lambda item: item.at):
            simulation.run(begin + event.at, checks=True)
            simulation.now = max(simulation.now, begin + event.at)
            simulation.finish(event)
        simulation.run(begin + 2 * LAST_END, checks=True)

    def test_lets_a_load_grow_on_the_sums_of_the_followers(self) -> None:
        simulation = start_fleet(Plan((3, 3, 3, 3, 3)), (LEADER, *FOLLOWERS))
        del simulation.states[LEADER]
        simulation.run(simulation.now + SETTLE_TIME, checks=False)
        for number in range(1, 6):
            address = f"tcp://127.0.0.1:{number}"
            for attempt in range(9):
                name = f"later-{number}-{attempt}"
                event = Dispatch("r", name, f"chat-{number}", 0, 60.0, 1, REQUEST)
                simulation.handle(address, event)
        simulation.run(simulation.now + WARM_UP, checks=True)
        loads = [item.compute_load().requests for item in simulation.list_agents()]
        assert loads == [12] * 5

    def test_with_an_endpoint_leaves_the_rest_bounded_by_the_mean(self) -> None:
        simulation = start_fleet(EVEN, (LEADER, *FOLLOWERS))
        del simulation.states[LEADER]
        del simulation.states["tcp://127.0.0.1:5"]
        begin = simulation.now
        for step in range(1, 51):
            simulation.run(begin + step / 10, checks=False)
            loads = [item.compute_load().requests for item in simulation.list_agents()]
            assert max(loads) <= math.ceil(MULTIPLE * sum(loads) / len(loads))
        assert loads == [12] * 4
