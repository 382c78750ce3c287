"""Property tests of evacuations under faults of hosts, disks, network and routers.

An acknowledged order is in force until its operator gives the next one, no router goes
back to an older state, and routers in touch follow within the bound.
"""

from __future__ import annotations

from attrs import define
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from properties import faults
from properties.evacuating_fleet import EvacuatingFleet

ZONES = ("a", "b", "c")
ORDER_TIME = 5.0  # seconds; `ackMs`, after which an operator gives up
RESPONSE_TIME = 1.0  # seconds; then an operator goes on to the next host
FOLLOW_TIME = 5.0  # seconds; `evacMs`
STEP = 0.05  # seconds
ACTIONS = (
    faults.crash,
    faults.crash_leader,
    faults.start,
    faults.freeze,
    faults.thaw,
    faults.isolate,
    faults.isolate_leader,
    faults.heal_network,
    faults.lose_power_everywhere,
    faults.enable_message_loss,
    faults.heal_all,
    faults.restart_gracefully,
    faults.wipe_disk,
)


@define
class Operator:
    """Operator of one zone, who sends an order to one host after the other."""

    zone: str
    is_evacuated: bool = False
    # Whether the last order was acknowledged; if not, it may be in force or not.
    is_certain: bool = True
    exchange: str = ""  # empty while no order is open
    host: int = 0
    given_up_at: float = 0.0
    next_at: float = 0.0

    def begin(self, is_evacuated: bool, host: int, fleet: EvacuatingFleet) -> None:
        """Send an order unless one is open."""
        if self.exchange:
            return
        self.is_evacuated, self.is_certain = is_evacuated, False
        self.host = host
        self.given_up_at = fleet.now + ORDER_TIME
        self._send(fleet)

    def proceed(self, fleet: EvacuatingFleet) -> None:
        """Record a response, or send the order to the next host."""
        if not self.exchange:
            return
        if fleet.is_acknowledged(self.exchange):
            self.exchange, self.is_certain = "", True
        elif fleet.now >= self.given_up_at:
            self.exchange = ""
        elif fleet.now >= self.next_at or self.exchange in fleet.answers:
            self.host = (self.host + 1) % fleet.size
            self._send(fleet)

    def _send(self, fleet: EvacuatingFleet) -> None:
        self.next_at = fleet.now + RESPONSE_TIME
        self.exchange = fleet.order(self.host, self.zone, self.is_evacuated)


class EvacuationMachine(RuleBasedStateMachine):
    """Random orders and faults; the fleet checks its invariants at each step."""

    @initialize(size=st.sampled_from((3, 5)), seed=st.integers(0, 2**32))
    def form_fleet(self, size: int, seed: int) -> None:
        """Start a fleet with empty disks."""
        self.operators = {zone: Operator(zone) for zone in ZONES}
        self.fleet = EvacuatingFleet(size, seed, router_count=2)
        self.run(3.0)

    def run(self, seconds: float) -> None:
        """Advance virtual time while operators send their orders."""
        end = self.fleet.now + seconds
        while self.fleet.now < end:
            self.fleet.run(STEP)
            for operator in self.operators.values():
                operator.proceed(self.fleet)

    @rule(
        zone=st.sampled_from(ZONES),
        is_evacuated=st.booleans(),
        host=st.integers(0, 4),
    )
    def order(self, zone: str, is_evacuated: bool, host: int) -> None:
        """Begin an order."""
        host %= self.fleet.size
        self.operators[zone].begin(is_evacuated, host, self.fleet)

    @rule(action=st.sampled_from(ACTIONS), number=st.integers(0, 4))
    def act(self, action: faults.Action, number: int) -> None:
        """Apply a fault to a host."""
        action(self.fleet, number % self.fleet.size)

    @rule(index=st.integers(0, 1))
    def restart_router(self, index: int) -> None:
        """Restart a router."""
        self.fleet.start_router(index)

    @rule(index=st.integers(0, 1))
    def isolate_router(self, index: int) -> None:
        """Cut a router off until the network is healed."""
        self.fleet.isolate_router(index)

    @rule(seconds=st.sampled_from((0.05, 0.5, 1.5, 4.0)))
    def wait(self, seconds: float) -> None:
        """Advance virtual time."""
        self.run(seconds)

    def teardown(self) -> None:
        """Heal every fault; acknowledged orders are in force at hosts and routers."""
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        fleet.heal()
        self.run(ORDER_TIME + RESPONSE_TIME)
        fleet.recover()
        fleet.run(FOLLOW_TIME)
        zones = fleet.list_zones(0)
        for operator in self.operators.values():
            if operator.is_certain:
                assert (operator.zone in zones) == operator.is_evacuated, operator
        for index, router in enumerate(fleet.routers):
            assert router.state.distribution.confirmed_revision is not None
            assert fleet.list_known_zones(index) == zones


TestEvacuations = EvacuationMachine.TestCase
TestEvacuations.settings = settings(
    derandomize=True, deadline=None, max_examples=30, stateful_step_count=30
)
