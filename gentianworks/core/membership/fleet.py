"""Fleet: a node's view of the endpoints and loads, as control hosts report them."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, field

from gentianworks.core.events.membership import (
    EndpointState,
    Heartbeat,
    HeartbeatAnswer,
    LoadFell,
    LoadSum,
)
from gentianworks.core.types import Endpoint, EndpointName, ServiceLoad, ServiceName

HEARTBEAT_INTERVAL = 0.5  # seconds
SOURCE_TIMEOUT = 1.6  # seconds
MAX_HEARTBEAT_GAP = 1.5 * HEARTBEAT_INTERVAL  # seconds


@define
class Fleet:
    """State of the fleet, as the leading control host last reported it.

    `leader_address` is the peer address of that host; `epoch` and `version` identify
    the state. `loads_source` is the address of the control host that reported the
    loads; it need not be the leader. `has_skipped_heartbeat` is True if the heartbeat
    after `last_sent_heartbeat` was skipped. `loads_as_of`, `last_answer_at`,
    `last_sent_at` and `heartbeat_due_at`, when a heartbeat was last due, are in
    seconds.
    """

    states: dict[EndpointName, EndpointState] = field(factory=dict)
    loads: dict[ServiceName, ServiceLoad] = field(factory=dict)
    loads_as_of: float = 0.0
    loads_source: str = ""
    last_answer_at: float = 0.0
    leader_address: str = ""
    epoch: str = ""
    version: int = 0
    last_sent_heartbeat: Heartbeat | None = None
    last_sent_at: float = 0.0
    heartbeat_due_at: float = 0.0
    has_skipped_heartbeat: bool = False

    def record_sent(self, heartbeat: Heartbeat, now: float) -> None:
        """Record the heartbeat that is sent at `now`."""
        self.last_sent_heartbeat = heartbeat
        self.last_sent_at = now
        self.has_skipped_heartbeat = False

    def has_recent_answer(self, now: float) -> bool:
        """Return whether a control host has answered recently."""
        return bool(self.leader_address) and now - self.last_answer_at < SOURCE_TIMEOUT

    def is_answered(self) -> bool:
        """Return whether the last heartbeat has been answered."""
        return self.last_answer_at >= self.last_sent_at

    def has_recent_sums(self, now: float) -> bool:
        """Return whether a control host has reported sums recently."""
        return bool(self.loads_source) and now - self.loads_as_of < SOURCE_TIMEOUT

    def is_sum_missing(self) -> bool:
        """Return whether no sum has arrived since the last heartbeat."""
        return self.loads_as_of < self.last_sent_at

    def apply_answer(self, answer: HeartbeatAnswer, now: float) -> bool:
        """Apply an answer and return True, unless it is older than the known state."""
        is_known = answer.epoch == self.epoch
        if answer.base_version and not (
            is_known and answer.base_version <= self.version <= answer.version
        ):
            return False
        if is_known and answer.version < self.version:
            return False
        self.states.update((item.endpoint, item) for item in answer.endpoints)
        self.loads.update((item.service, item) for item in answer.loads)
        if answer.loads:
            self.loads_as_of = self._compute_sum_time(now)
            self.loads_source = answer.peer_address
        self.epoch = answer.epoch
        self.version = answer.version
        self.leader_address = answer.peer_address
        self.last_answer_at = now
        return True

    def list_restarted(self, answer: HeartbeatAnswer) -> list[EndpointName]:
        """Return the endpoints whose agents have restarted, according to an answer."""
        return [
            item.endpoint
            for item in answer.endpoints
            if (known := self.states.get(item.endpoint)) is not None
            and known.incarnation != item.incarnation
            and item.is_live
            and not item.is_leaving
        ]

    def apply_fallen_sum(self, event: LoadFell, now: float) -> bool:
        """Apply a lower sum, unless another control host reported the last one."""
        if event.peer_address != self.loads_source:
            return False
        self.loads[event.total.service] = event.total
        self.loads_as_of = self._compute_sum_time(now)
        return True

    def _compute_sum_time(self, now: float) -> float:
        """Return the latest time at which a sum that arrives now may have been sent.

        Messages that queued up while the process did not run are old, so their sums
        are dated by the last heartbeat that was due before the pause.
        """
        is_late = (
            bool(self.heartbeat_due_at)
            and now - self.heartbeat_due_at > MAX_HEARTBEAT_GAP
        )
        return self.heartbeat_due_at if is_late else now

    def is_preferred(self, event: LoadSum) -> bool:
        """Return whether a sum replaces the known one.

        A newer sum does. Among answers to the same heartbeat, the lowest address wins,
        so that all agents report their changes to the same control host.
        """
        if event.asked_at != self.loads_as_of:
            return event.asked_at > self.loads_as_of
        return event.peer_address < self.loads_source

    def apply_sum(self, event: LoadSum) -> None:
        """Apply the sum that a control host reported on request."""
        self.loads[event.total.service] = event.total
        self.loads_as_of = event.asked_at
        self.loads_source = event.peer_address

    def is_leaving(self, endpoint: EndpointName) -> bool:
        """Return whether an endpoint is leaving."""
        state = self.states.get(endpoint)
        return state is not None and state.is_leaving

    def is_lost(self, endpoint: EndpointName) -> bool:
        """Return whether the control hosts receive no heartbeats of an endpoint."""
        state = self.states.get(endpoint)
        return state is not None and not state.is_live

    def is_usable(self, endpoint: EndpointName) -> bool:
        """Return whether an endpoint may get new work; an unknown one may."""
        state = self.states.get(endpoint)
        return state is None or (
            state.is_live and not state.is_leaving and not state.is_held
        )

    def select_endpoints(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return the endpoints that may get new work.

        If none is usable, return the live ones that are held back, or else the lost
        ones: the control hosts may be the ones that are cut off. Endpoints that are
        leaving are never returned.
        """
        pool = list(endpoints)
        usable = [item for item in pool if self.is_usable(item.name)]
        if usable:
            return usable
        remaining = [item for item in pool if not self.is_leaving(item.name)]
        live = [item for item in remaining if not self.is_lost(item.name)]
        return live or remaining
