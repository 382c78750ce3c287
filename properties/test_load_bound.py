"""Properties of the load bound: a fall of the mean is followed within a stated time."""

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
from gentianworks.core.events.engines import EngineEnded
from gentianworks.core.events.membership import HeartbeatDue, SweepDue
from gentianworks.core.handlers import reduce
from gentianworks.core.load import sums as load_sums
from gentianworks.core.load.load import DEFAULT_RUN_TIME
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
    """Hold an event that comes to a process at a time."""

    at: float
    number: int
    address: str = field(order=False)
    event: Event = field(order=False)


@frozen
class Sample:
    """Hold the mean load at one moment."""

    at: float
    mean: float


@frozen
class Finish:
    """Describe work that ends at one endpoint at a time after the warm-up."""

    at: float
    endpoint: int
    count: int


@frozen
class Plan:
    """Describe a fleet: the work and the capacity of each endpoint, and the network.

    `message_delay` is in seconds.
    """

    backlogs: tuple[int, ...]
    capacities: tuple[int, ...] = (64, 64, 64, 64, 64)
    message_delay: float = 0.001


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
class World:
    """Run a leading control host and its agents, and check the bound all along."""

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
        """Let an event come to a process at a time."""
        self.number += 1
        heapq.heappush(self.deliveries, Delivery(at, self.number, address, event))

    def run(self, until: float, checks: bool) -> None:
        """Deliver all events that are due until a time."""
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
        """Set timers and carry messages; the engines do all at once."""
        match effect:
            case SetTimer():
                self.send(effect.at, address, effect.event)
            case SendMessage() if effect.address in self.states:
                at = self.now + self.message_delay
                self.send(at, effect.address, effect.message)

    def list_agents(self) -> list[AgentState]:
        """Return the agents in the order of their endpoints."""
        return [item.agent for item in self.states.values() if item.agent]

    def finish(self, event: Finish) -> None:
        """End the oldest work at an endpoint."""
        agent = self.list_agents()[event.endpoint]
        for attempt in agent.list_running()[: event.count]:
            ended = EngineEnded(attempt.id, attempt.calls)
            self.handle(f"tcp://127.0.0.1:{event.endpoint + 1}", ended)

    def check(self) -> None:
        """Assert that no endpoint is above the multiple of the latest means."""
        loads = [agent.measure_load().requests for agent in self.list_agents()]
        self.means.append(Sample(self.now, sum(loads) / len(loads)))
        oldest = self.now - MAX_DELAY - 2 * self.message_delay
        while len(self.means) > 1 and self.means[1].at <= oldest:
            self.means.pop(0)
        mean = max(sample.mean for sample in self.means)
        allowed = max(FLOOR, math.ceil(MULTIPLE * mean))
        assert max(loads) <= allowed, f"{loads} at {self.now - NOW:.3f}"


def start(plan: Plan, controls: tuple[str, ...] = (LEADER,)) -> World:
    """Return a fleet that has taken up as much of its work as it may."""
    world = World(plan.message_delay)
    configuration = build_fleet(plan)
    for address in controls:
        world.add(address, Role.CONTROL, configuration)
        world.send(NOW, address, SweepDue())
    for number, backlog in enumerate(plan.backlogs, start=1):
        address = f"tcp://127.0.0.1:{number}"
        state = world.add(address, Role.AGENT, configuration)
        state.agent = AgentState(f"chat-{number}")
        world.send(NOW + number * HEARTBEAT_INTERVAL / 7, address, HeartbeatDue())
        for attempt in range(backlog):
            name = f"{number}-{attempt}"
            event = Dispatch("r", name, f"chat-{number}", 0, 60.0, 1, REQUEST)
            world.send(NOW, address, event)
    world.run(NOW + WARM_UP, checks=False)
    return world


def is_leader(state: State, now: float) -> bool:
    return state.node.name == LEADER


@pytest.fixture(autouse=True, scope="module")
def leading() -> Iterator[None]:
    with pytest.MonkeyPatch.context() as patch:
        for module in (heartbeats, load_sums):
            patch.setattr(module, "is_leading", is_leader)
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
            pytest.param(Plan((40, 40, 8, 8, 8), (64, 4, 64, 2, 8)), id="unlike pool"),
            pytest.param(evolve(HOT_CHAT, message_delay=0.2), id="lagging reports"),
        ],
    )
    @settings(max_examples=25, deadline=None, derandomize=True)
    @given(events=st.lists(finishes, max_size=12))
    def test_is_followed_within_the_stated_time(
        self, plan: Plan, events: list[Finish]
    ) -> None:
        world = start(plan)
        begin = world.now
        world.check()
        for event in sorted(events, key=lambda item: item.at):
            world.run(begin + event.at, checks=True)
            world.now = max(world.now, begin + event.at)
            world.finish(event)
        world.run(begin + 2 * LAST_END, checks=True)

    def test_suspends_what_the_mean_no_longer_allows(self) -> None:
        world = start(HOT_CHAT)
        hot = world.list_agents()[0]
        assert hot.measure_load().requests > 8
        for endpoint in range(1, 5):
            world.finish(Finish(0.0, endpoint, 6))
        world.run(world.now + MAX_DELAY, checks=False)
        assert hot.measure_load().requests <= 5

    def test_is_followed_within_a_heartbeat_in_a_large_fleet(self) -> None:
        backlogs = (40, *[8] * (LARGE_ENDPOINTS - 1))
        world = start(Plan(backlogs, (64,) * LARGE_ENDPOINTS))
        hot = world.list_agents()[0]
        assert hot.measure_load().requests > 8
        for endpoint in range(1, LARGE_ENDPOINTS):
            world.finish(Finish(0.0, endpoint, 6))
        world.run(world.now + HEARTBEAT_INTERVAL + MAX_DELAY, checks=False)
        world.check()


class TestSilence:
    def test_shrinks_the_bound_as_fast_as_work_may_end(self) -> None:
        world = start(HOT_CHAT)
        hot = world.list_agents()[0]
        before, begin = hot.measure_load().requests, world.now
        del world.states[LEADER]
        for age in (1.25, 2.25, 3.25, 4.25, 5.75):
            world.run(begin + age, checks=False)
            remaining = max(0.0, 1.0 - (age - MAX_SILENCE) / DEFAULT_RUN_TIME)
            allowed = max(FLOOR, math.ceil(before * remaining))
            assert hot.measure_load().requests <= allowed

    def test_leaves_the_floor_where_no_mean_was_ever_heard(self) -> None:
        world = start(HOT_CHAT, controls=())
        loads = [agent.measure_load().requests for agent in world.list_agents()]
        assert loads == [FLOOR] * 5


EVEN = Plan((12, 12, 12, 12, 12))


class TestLostLeader:
    @pytest.mark.parametrize("message_delay", [0.001, 0.03])
    def test_costs_an_even_load_nothing(self, message_delay: float) -> None:
        plan = evolve(EVEN, message_delay=message_delay)
        world = start(plan, (LEADER, *FOLLOWERS))
        begin = world.now
        del world.states[LEADER]
        for step in range(1, 51):
            world.run(begin + step / 10, checks=True)
            loads = [item.measure_load().requests for item in world.list_agents()]
            assert loads == [12] * 5, f"{loads} after {step / 10} s"

    @settings(max_examples=25, deadline=None, derandomize=True)
    @given(events=st.lists(finishes, max_size=12))
    def test_leaves_falls_followed_within_the_stated_time(
        self, events: list[Finish]
    ) -> None:
        world = start(HOT_CHAT, (LEADER, *FOLLOWERS))
        del world.states[LEADER]
        begin = world.now + SETTLE_TIME
        world.run(begin, checks=False)
        world.check()
        for event in sorted(events, key=lambda item: item.at):
            world.run(begin + event.at, checks=True)
            world.now = max(world.now, begin + event.at)
            world.finish(event)
        world.run(begin + 2 * LAST_END, checks=True)

    def test_lets_a_service_grow_on_the_sums_of_the_others(self) -> None:
        world = start(Plan((3, 3, 3, 3, 3)), (LEADER, *FOLLOWERS))
        del world.states[LEADER]
        world.run(world.now + SETTLE_TIME, checks=False)
        for number in range(1, 6):
            address = f"tcp://127.0.0.1:{number}"
            for attempt in range(9):
                name = f"later-{number}-{attempt}"
                event = Dispatch("r", name, f"chat-{number}", 0, 60.0, 1, REQUEST)
                world.handle(address, event)
        world.run(world.now + WARM_UP, checks=True)
        loads = [item.measure_load().requests for item in world.list_agents()]
        assert loads == [12] * 5

    def test_and_an_endpoint_with_it_leaves_the_rest_bounded_by_the_mean(self) -> None:
        world = start(EVEN, (LEADER, *FOLLOWERS))
        del world.states[LEADER]
        del world.states["tcp://127.0.0.1:5"]
        begin = world.now
        for step in range(1, 51):
            world.run(begin + step / 10, checks=False)
            loads = [item.measure_load().requests for item in world.list_agents()]
            assert max(loads) <= math.ceil(MULTIPLE * sum(loads) / len(loads))
        assert loads == [12] * 4
