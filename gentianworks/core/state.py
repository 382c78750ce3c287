"""State: all that a process knows; only the reducer changes it."""

from __future__ import annotations

from attrs import define, field

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.configuration.distribution_state import DistributionState
from gentianworks.core.gateway.state import GatewayState
from gentianworks.core.load.table import LoadTable
from gentianworks.core.membership.membership import Fleet
from gentianworks.core.membership.roster import Roster
from gentianworks.core.observations import Observations
from gentianworks.core.operators.operators import OperatorsState
from gentianworks.core.quarantine.crashes import PendingCrash
from gentianworks.core.quarantine.suspects import ReceivedSuspects
from gentianworks.core.replication.control import ControlState
from gentianworks.core.replication.timing import Timing
from gentianworks.core.routing.exchanges import RouterState
from gentianworks.core.types import Configuration, Node

DEFAULT_STORE_RATE = 1e9  # bytes a second


@define
class State:
    """Hold the state of one process; parts of roles it does not play stay empty.

    `control_addresses` are the peer addresses of the control hosts, and
    `region_addresses` those of the other regions' control hosts; `platform_address`
    is the IP:PORT of the platform's list of hosts; `drain_time` is the time in
    seconds for which a stopping process still takes new work; `store_rate` is that
    of the store of weights in bytes a second.

    Where `finds_control` is set, `control_addresses` name only some of the control
    hosts, and those tell of the others; a group is formed at the first start alone
    and keeps enough voters to bear `tolerated_losses`. `listeners` are the routers
    that a leader has heard, with the times.
    """

    node: Node
    control_addresses: tuple[str, ...] = ()
    region_addresses: tuple[str, ...] = ()
    platform_address: str = ""
    drain_time: float = 0.0
    store_rate: float = DEFAULT_STORE_RATE
    timing: Timing = field(factory=Timing)
    finds_control: bool = False
    is_first_start: bool = True
    tolerated_losses: int = 1
    listeners: dict[str, float] = field(factory=dict)
    incarnation: int = 0
    last_id: int = 0
    is_leaving: bool = False
    checks_invariants: bool = False
    configuration: Configuration = field(factory=Configuration)
    fleet: Fleet = field(factory=Fleet)
    roster: Roster = field(factory=Roster)
    load_table: LoadTable = field(factory=LoadTable)
    router: RouterState = field(factory=RouterState)
    gateway: GatewayState | None = None
    agent: AgentState | None = None
    control: ControlState = field(factory=ControlState)
    distribution: DistributionState = field(factory=DistributionState)
    observations: Observations = field(factory=Observations)
    operators: OperatorsState = field(factory=OperatorsState)
    suspects: ReceivedSuspects = field(factory=ReceivedSuspects)
    held_crashes: dict[str, PendingCrash] = field(factory=dict)

    def create_id(self) -> str:
        """Return an identifier that no other process or incarnation returns."""
        self.last_id += 1
        return f"{self.node.name}-{self.incarnation}-{self.last_id}"

    def has_created(self, identifier: str) -> bool:
        """Tell whether this incarnation of the process made an identifier."""
        return identifier.startswith(f"{self.node.name}-{self.incarnation}-")
