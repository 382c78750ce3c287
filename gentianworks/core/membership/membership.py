"""Membership: what a node knows of the fleet's endpoints and loads."""

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
MAX_BEAT_GAP = 1.5 * HEARTBEAT_INTERVAL


@define
class Fleet:
    """Hold the fleet's state as the leading control host told it.

    `source` is the peer address of that host; `epoch` and `version` identify the
    state. `loads_source` is the address of the control host, which need not lead,
    that told the loads. `told` is this node's last heartbeat; `has_skipped` tells
    that the next was left out. `beat_at`, when a heartbeat was last due, `told_at`,
    `heard_at` and, for the loads, `loads_at` are in seconds.
    """

    states: dict[EndpointName, EndpointState] = field(factory=dict)
    loads: dict[ServiceName, ServiceLoad] = field(factory=dict)
    loads_at: float = 0.0
    loads_source: str = ""
    heard_at: float = 0.0
    source: str = ""
    epoch: str = ""
    version: int = 0
    told: Heartbeat | None = None
    told_at: float = 0.0
    beat_at: float = 0.0
    has_skipped: bool = False

    def note_told(self, heartbeat: Heartbeat, now: float) -> None:
        """Note the heartbeat that is sent now."""
        self.told = heartbeat
        self.told_at = now
        self.has_skipped = False

    def has_source(self, now: float) -> bool:
        """Tell whether a control host has answered lately."""
        return bool(self.source) and now - self.heard_at < SOURCE_TIMEOUT

    def is_answered(self) -> bool:
        """Tell whether the last heartbeat has been answered."""
        return self.heard_at >= self.told_at

    def has_sums(self, now: float) -> bool:
        """Tell whether a control host has told sums lately."""
        return bool(self.loads_source) and now - self.loads_at < SOURCE_TIMEOUT

    def lacks_sum(self) -> bool:
        """Tell whether no sum has come since the last heartbeat."""
        return self.loads_at < self.told_at

    def take_answer(self, answer: HeartbeatAnswer, now: float) -> bool:
        """Take what an answer tells, unless it is older than what is known."""
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
            self.loads_at = self._date(now)
            self.loads_source = answer.peer_address
        self.epoch = answer.epoch
        self.version = answer.version
        self.source = answer.peer_address
        self.heard_at = now
        return True

    def list_returned(self, answer: HeartbeatAnswer) -> list[EndpointName]:
        """Return the endpoints whose agents an answer tells to have started again."""
        return [
            item.endpoint
            for item in answer.endpoints
            if (known := self.states.get(item.endpoint)) is not None
            and known.incarnation != item.incarnation
            and item.is_live
            and not item.is_leaving
        ]

    def take_fall(self, event: LoadFell, now: float) -> bool:
        """Take a sum that has fallen, unless another control host told the last."""
        if event.peer_address != self.loads_source:
            return False
        self.loads[event.total.service] = event.total
        self.loads_at = self._date(now)
        return True

    def _date(self, now: float) -> float:
        """Return when a sum that comes now was told at the latest.

        After a process did not run for a while, what waited for it is old.
        """
        is_late = bool(self.beat_at) and now - self.beat_at > MAX_BEAT_GAP
        return self.beat_at if is_late else now

    def is_preferred(self, event: LoadSum) -> bool:
        """Tell whether a sum is newer than what is known.

        Of answers to one heartbeat that of the first address counts, so that all
        agents report their changes to the same control host.
        """
        if event.asked_at != self.loads_at:
            return event.asked_at > self.loads_at
        return event.peer_address < self.loads_source

    def take_sum(self, event: LoadSum) -> None:
        """Take the sum that a control host told when it was asked."""
        self.loads[event.total.service] = event.total
        self.loads_at = event.asked_at
        self.loads_source = event.peer_address

    def is_leaving(self, endpoint: EndpointName) -> bool:
        """Tell whether an endpoint is leaving."""
        state = self.states.get(endpoint)
        return state is not None and state.is_leaving

    def is_lost(self, endpoint: EndpointName) -> bool:
        """Tell whether the control hosts hear an endpoint no more."""
        state = self.states.get(endpoint)
        return state is not None and not state.is_live

    def is_usable(self, endpoint: EndpointName) -> bool:
        """Tell whether new work may go to an endpoint; an unknown one may."""
        state = self.states.get(endpoint)
        return state is None or (
            state.is_live and not state.is_leaving and not state.is_held
        )

    def select_endpoints(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return the endpoints that new work may go to.

        Where there is none, the control hosts may be the ones that are cut off, so
        those are returned that are held back, or lost, but not those that leave.
        """
        pool = list(endpoints)
        usable = [item for item in pool if self.is_usable(item.name)]
        if usable:
            return usable
        staying = [item for item in pool if not self.is_leaving(item.name)]
        live = [item for item in staying if not self.is_lost(item.name)]
        return live or staying
