"""State: the complete state of a process, which only the reducer changes."""

from __future__ import annotations

from attrs import define, field

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.busy_replicas.loads import BusyTable
from gentianworks.core.configuration.distribution_state import DistributionState
from gentianworks.core.evacuations.registry import KnownEvacuations
from gentianworks.core.gateway.state import GatewayState
from gentianworks.core.load.table import LoadTable
from gentianworks.core.membership.fleet import Fleet
from gentianworks.core.membership.roster import Roster
from gentianworks.core.operators.state import OperatorsState
from gentianworks.core.outliers.table import OutlierTable
from gentianworks.core.quarantine.crashes import PendingCrash
from gentianworks.core.quarantine.suspects import ReceivedSuspects
from gentianworks.core.replica_list.shared_list import SharedList
from gentianworks.core.replication.control import ControlState
from gentianworks.core.replication.timing import Timing
from gentianworks.core.request_limits.shares import LimitTable
from gentianworks.core.request_metrics import OpenSpans
from gentianworks.core.routing.exchanges import RouterState
from gentianworks.core.types import Configuration, Node

DEFAULT_STORE_RATE = 1e9  # bytes a second


@define
class State:
    """State of one process; the parts of roles that it doesn't have stay empty.

    `control_addresses` are the peer addresses of the control hosts, and
    `region_addresses` those of the other regions' control hosts. `platform_address` is
    the IP:PORT of the platform's list of hosts. `drain_time` is the time in seconds for
    which a stopping process still accepts new work, and `grace_time` the one after
    which it is killed, infinite if it is not. `store_rate` is the throughput of the
    store of model weights, in bytes per second.

    `changed_seeds` are what the settings of a control host name since they were read
    again, if anything. With `discovers_control_hosts`, `control_addresses` contains
    only some of the control hosts, which report the others; a group is formed only at
    the first start, and it keeps enough voters to tolerate `tolerated_losses`. A
    control host without `keeps_data` loses its data at each restart, so it never votes.
    `router_heartbeats` maps the peer address of each router to the time of the last
    heartbeat that the leader received. `pending_crashes` are the crash reports that
    await an acknowledgement.
    `evacuations` are the zones that a router was told to avoid.
    `shared_list` is set on control hosts that fetch the list of replicas for gateways,
    `limit_table`, `outlier_table` and `busy_table` are used there.
    """

    node: Node
    control_addresses: tuple[str, ...] = ()
    changed_seeds: tuple[str, ...] = ()
    region_addresses: tuple[str, ...] = ()
    platform_address: str = ""
    drain_time: float = 0.0
    grace_time: float = float("inf")
    store_rate: float = DEFAULT_STORE_RATE
    timing: Timing = field(factory=Timing)
    discovers_control_hosts: bool = False
    is_first_start: bool = True
    tolerated_losses: int = 1
    keeps_data: bool = True
    router_heartbeats: dict[str, float] = field(factory=dict)
    incarnation: int = 0
    last_id: int = 0
    is_leaving: bool = False
    last_answer_at: float = float("inf")  # seconds; when a leaving process must be done
    checks_invariants: bool = False
    configuration: Configuration = field(factory=Configuration)
    fleet: Fleet = field(factory=Fleet)
    roster: Roster = field(factory=Roster)
    load_table: LoadTable = field(factory=LoadTable)
    router: RouterState = field(factory=RouterState)
    gateway: GatewayState | None = None
    shared_list: SharedList | None = None
    limit_table: LimitTable = field(factory=LimitTable)
    outlier_table: OutlierTable = field(factory=OutlierTable)
    busy_table: BusyTable = field(factory=BusyTable)
    agent: AgentState | None = None
    control: ControlState = field(factory=ControlState)
    distribution: DistributionState = field(factory=DistributionState)
    open_spans: OpenSpans = field(factory=OpenSpans)
    operators: OperatorsState = field(factory=OperatorsState)
    suspects: ReceivedSuspects = field(factory=ReceivedSuspects)
    pending_crashes: dict[str, PendingCrash] = field(factory=dict)
    evacuations: KnownEvacuations = field(factory=KnownEvacuations)

    def __attrs_post_init__(self) -> None:
        if self.gateway is not None:
            self.gateway.registry.evacuations = self.evacuations

    def create_id(self) -> str:
        """Return an identifier that is unique over all processes and incarnations."""
        self.last_id += 1
        return f"{self.node.name}-{self.incarnation}-{self.last_id}"

    def has_created(self, identifier: str) -> bool:
        """Return whether this incarnation of the process created an identifier."""
        return identifier.startswith(f"{self.node.name}-{self.incarnation}-")
