"""Limited fleet: routers and control hosts before replicas that limit their requests.

A limited replica names its limit in the head of each answer. The fleet records which
router had passed on such an answer when it sent a request.
"""

from __future__ import annotations

from bisect import bisect_left

from attrs import define, evolve, field, frozen

from gentianworks.core.effects.gateway import CallReplica
from gentianworks.core.events.base import Event
from gentianworks.core.events.gateway import (
    ReplicaAnswerHead,
    ReplicaAnswerStarted,
)
from gentianworks.core.gateway.calls import Call
from gentianworks.core.gateway.notices import ReplicaNotices
from gentianworks.core.gateway.replicas import ReplicaName
from gentianworks.tests.gateways import EVENT_STREAM_HEAD, TABLE
from properties.crashing_fleet import CrashingFleet

COUNTED_TIME = 4.0  # seconds
EXCESS = 1.5  # of the limit
EXCESS_REQUESTS = 5
TOLD_TIME = 0.5  # seconds after which an answer with a limit binds its router
STABLE_TIME = 3.0  # seconds


@frozen
class SentRequest:
    """Request that a router sent to a replica; `is_bound` if it knew of a limit."""

    at: float
    router: int
    is_bound: bool


@define
class LimitedFleet(CrashingFleet):
    """Fleet whose replicas limit their requests; none of its calls is deadly."""

    deadly_share: float = 0.0
    limits: dict[ReplicaName, float] = field(factory=dict)
    named_at: dict[ReplicaName, float] = field(factory=dict)
    requests: dict[ReplicaName, list[SentRequest]] = field(factory=dict)
    # When a router first passed on an answer with a limit.
    told_at: dict[tuple[int, ReplicaName], float] = field(factory=dict)
    violations: list[str] = field(factory=list)

    def name_limit(self, replica: ReplicaName, limit: float) -> None:
        """Let a replica name a limit from now on."""
        self.limits[replica] = limit
        self.named_at[replica] = self.now
        self.told_at = {
            key: at for key, at in self.told_at.items() if key[1] != replica
        }

    def end_limit(self, replica: ReplicaName) -> None:
        """Let a replica name no limit from now on."""
        del self.limits[replica]

    def excuse(self, router: int) -> None:
        """Forget what a router was told, since it is disturbed."""
        self.told_at = {key: at for key, at in self.told_at.items() if key[0] != router}

    def restart_router(self, number: int) -> None:
        """Replace a router by one that knows nothing of before."""
        self.crash_router(number)
        self.start_router(number)
        gateway = self.hosts[number].state.gateway
        assert gateway is not None
        gateway.table = TABLE

    def crash_router(self, number: int) -> None:
        """End a router and its calls."""
        self.excuse(number)
        host = self.hosts[number]
        host.is_up = False
        for calls in self.running.values():
            for attempt, call in list(calls.items()):
                if call.router == number:
                    del calls[attempt]

    def build_head(self, name: ReplicaName) -> ReplicaAnswerHead:
        """Return the head of an answer of a replica, with its limit if it has one."""
        limit = self.limits.get(name)
        return evolve(EVENT_STREAM_HEAD, notices=ReplicaNotices(limit))

    def send_call(self, call: Call, retries: int) -> None:
        """Send a client's call to a router that runs."""
        running = [
            number
            for number, host in enumerate(self.hosts)
            if number >= self.size and host.is_up and not host.is_frozen
        ]
        if running:
            self.send_call_to(self.rng.choice(running), call, retries)

    def call_replica(self, router: int, effect: CallReplica) -> None:
        """Let a call reach its replica, and check the replica's limit."""
        name = effect.replica.name
        told_at = self.told_at.get((router, name), float("inf"))
        is_bound = name in self.limits and told_at <= self.now - TOLD_TIME
        sent = SentRequest(self.now, router, is_bound)
        self.requests.setdefault(name, []).append(sent)
        if is_bound:
            self._check_limit(name)
        super().call_replica(router, effect)

    def _check_limit(self, name: ReplicaName) -> None:
        since = max(self.now - COUNTED_TIME, self.named_at[name] + STABLE_TIME)
        count = self.count_requests(name, since, is_bound=True)
        allowed = EXCESS * COUNTED_TIME * self.limits[name] + EXCESS_REQUESTS
        if count > allowed:
            self.violations.append(
                f"{self.now:.2f}: {name} has a limit of {self.limits[name]:.2f} and "
                f"got {count} requests, {allowed:.1f} are allowed"
            )

    def count_requests(
        self, name: ReplicaName, since: float, is_bound: bool = False
    ) -> int:
        """Return the number of requests to a replica since a time."""
        requests = self.requests.get(name, [])
        first = bisect_left(requests, since, key=lambda item: item.at)
        return sum(item.is_bound or not is_bound for item in requests[first:])

    def list_known_limits(self) -> set[ReplicaName]:
        """Return the replicas of which some router knows a limit."""
        return {
            name
            for host in self.routers
            if host.state.gateway is not None
            for name in host.state.gateway.limits.list_limited()
        }

    def _deliver(self, number: int, generation: int, event: Event) -> None:
        if isinstance(event, ReplicaAnswerStarted) and number >= self.size:
            self._record_told(number, event)
        super()._deliver(number, generation, event)

    def _record_told(self, number: int, event: ReplicaAnswerStarted) -> None:
        if event.head.notices.request_limit is None:
            return
        gateway = self.hosts[number].state.gateway
        exchange = gateway.find_by_attempt(event.attempt) if gateway else None
        if exchange is not None and exchange.replica is not None:
            self.told_at.setdefault((number, exchange.replica.name), self.now)
