"""Metrics: the Prometheus registry of a process and its exposition."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Any

from aioprometheus import Counter, Gauge, Histogram, Registry, Summary, render
from attrs import frozen

from gentianworks.codecs.usage import find_usage
from gentianworks.core.effects.metrics import (
    CountAttempt,
    CountRequest,
    CountTokens,
    ObserveDelayError,
    ObserveLatency,
)
from gentianworks.core.ledger.ledger import Ledger
from gentianworks.core.ledger.types import ClaimStatus
from gentianworks.core.load.agent_bounds import compute_agent_bound
from gentianworks.core.quarantine.replica_suspects import ReplicaSuspectRegistry
from gentianworks.core.replica_list.distribution import is_fetcher
from gentianworks.core.replication.elections import is_leading
from gentianworks.core.replication.members import compute_required_voters
from gentianworks.core.state import State
from gentianworks.core.types import Role
from gentianworks.peers.sockets import PeerSockets
from gentianworks.process import Process, contain_failure, perform
from gentianworks.telemetry.labels import OTHER, LabelLimiter
from gentianworks.web.memory import ClientMemory

LATENCY_BUCKETS = (0.01, 0.05, 0.1, 0.25, 0.5, 0.7, 1, 2, 5, 10, 30, 120, float("inf"))
DELAY_ERROR_QUANTILES = ((0.5, 0.05), (0.9, 0.01))  # each with its tolerance


class Metrics:
    """All metrics of a process."""

    def __init__(self) -> None:
        self.registry = Registry()
        self._limits: dict[str, LabelLimiter] = {}
        self.requests = self._add(
            Counter,
            "requests_total",
            "Requests of callers by how they ended.",
        )
        self.attempts = self._add(
            Counter,
            "attempts_total",
            "Attempts at an endpoint by how they ended.",
        )
        self.latency = Histogram(
            "gentianworks_latency_seconds",
            "Time to the first piece, to the whole answer, and in the queue.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS,
        )
        self.delay_errors = Summary(
            "gentianworks_delay_error_seconds",
            "Difference between the expected and the actual time to the first piece, "
            "for services whose replicas report their slowness.",
            registry=self.registry,
            invariants=DELAY_ERROR_QUANTILES,
        )
        self.prompt_tokens = self._add(
            Counter,
            "prompt_tokens_total",
            "Tokens of prompts that engines took.",
        )
        self.cached_tokens = self._add(
            Counter,
            "cached_tokens_total",
            "Tokens of prompts that were cached.",
        )
        self.control_bytes = self._add(
            Counter,
            "control_bytes_total",
            "Bytes of messages between processes.",
        )
        self.peer_bytes = self._add(
            Counter,
            "peer_bytes_total",
            "The same by peer: the address sent to, the name received from.",
        )
        self.refused_dispatches = 0
        self.refused_messages = self._add(
            Counter,
            "refused_messages_total",
            "Messages that did not authenticate.",
        )
        self.refused_operators = self._add(
            Counter,
            "refused_operators_total",
            "Requests without a valid token.",
        )
        self.revision = self._add(
            Gauge, "configuration_revision", "Revision held and revision in force."
        )
        self.load = self._add(
            Gauge, "load", "Requests in flight, queued, and their cost in tokens."
        )
        self.bound = self._add(
            Gauge, "load_bound", "Most requests and tokens that may be in flight."
        )
        self.queued = self._add(Gauge, "queued", "Requests queued, by rank.")
        self.queued_answers = self._add(
            Gauge,
            "queued_answer_bytes",
            "Bytes of answers that wait for callers to read them.",
        )
        self.leading = self._add(
            Gauge, "leading", "Whether this control host leads with a quorum."
        )

        self.voters = self._add(
            Gauge,
            "control_voters",
            "Voters of the control group, and those required by the tolerated losses.",
        )
        self.list_age = self._add(
            Gauge, "replica_list_age_seconds", "Age of the list of replicas."
        )
        self.list_fetches = self._add(
            Gauge,
            "replica_list_fetches",
            "Fetches of the list of replicas by this process since its start.",
        )
        self.fetches_list = self._add(
            Gauge,
            "replica_list_fetcher",
            "Whether this process fetches the list of replicas at present.",
        )
        self.replica_suspects = self._add(
            Gauge,
            "replica_suspects",
            "Calls and prompt parts that crashed replicas, by whether quarantined.",
        )
        self.replica_limits = self._add(
            Gauge,
            "replica_limits",
            "Replicas that limit their requests, and those of which a share is held.",
        )
        self.avoided_replicas = self._add(
            Gauge,
            "avoided_replicas",
            "Replicas that get few calls because they fail more than others.",
        )
        self.evacuated_zones = self._add(
            Gauge,
            "evacuated_zones",
            "Availability zones that get no new calls, as known to this process.",
        )
        self.cold_replicas = self._add(
            Gauge,
            "cold_replicas",
            "Cold replicas of services with a cold rate, as known to this process.",
        )
        self.client_memory = self._add(
            Gauge,
            "client_memory_bytes",
            "Memory reserved for requests of clients, and the most that may be.",
        )
        self.refused_clients = self._add(
            Counter, "refused_clients_total", "Requests and connections, by cause."
        )
        self.ledger_keys = self._add(
            Gauge, "ledger_keys", "Keys that this host's ledger holds, by status."
        )

    def _add(self, kind: Callable[..., Any], name: str, text: str) -> Any:
        return kind(f"gentianworks_{name}", text, registry=self.registry)

    def build_labels(self, **values: str) -> dict[str, str]:
        """Return labels, each limited to a bounded number of values."""
        return {
            name: self._limits.setdefault(name, LabelLimiter()).limit(value)
            for name, value in values.items()
        }

    def expose(self, process: Process, accepts: list[str]) -> tuple[bytes, str]:
        """Return the exposition of all metrics and its content type."""
        now = process.clock.read()
        self._set_state_metrics(process.state, now)
        self._set_peer_metrics(process.get_adapter(PeerSockets))
        self.queued_answers.set({}, process.outbox_memory.queued_bytes)
        if ClientMemory in process.adapters:
            self._set_client_metrics(process.get_adapter(ClientMemory))
        content, headers = render(self.registry, accepts)
        return content, headers["Content-Type"]

    def _set_state_metrics(self, state: State, now: float) -> None:
        self.revision.set({"state": "held"}, state.distribution.newest.revision)
        self.revision.set({"state": "in-force"}, state.configuration.revision)
        self.leading.set({}, int(is_leading(state, now)))
        exchanges = len(state.router.exchanges)
        if state.gateway is not None:
            exchanges += len(state.gateway.exchanges)
        self.load.set({"kind": "exchanges"}, exchanges)
        self._set_list_metrics(state, now)
        self._set_limit_metrics(state, now)
        self._set_evacuation_metrics(state)
        if state.node.role is Role.CONTROL:
            self._set_ledger_metrics(state.control.replicated.ledger)
            self._set_voter_metrics(state)
            self._set_suspect_metrics(state.control.replicated.replica_suspects)
        if state.agent is not None:
            load = state.agent.compute_load()
            self.load.set({"kind": "requests"}, load.requests)
            self.load.set({"kind": "queued"}, load.queued)
            self.load.set({"kind": "tokens"}, load.cost)
            bound = compute_agent_bound(state.agent, state, now)
            self.bound.set({"kind": "requests"}, bound.requests)
            self.bound.set({"kind": "tokens"}, bound.cost)
            for item in state.agent.compute_rank_loads():
                labels = self.build_labels(rank=item.rank)
                self.queued.set(labels, item.queued)

    def _set_list_metrics(self, state: State, now: float) -> None:
        gateway, shared = state.gateway, state.shared_list
        if gateway is not None:
            fetches, current_at = gateway.list_fetches, gateway.registry.current_at
            is_fetching = fetches.is_alone
        elif shared is not None:
            fetches, current_at = shared.fetches, shared.current_at
            is_fetching = is_fetcher(state)
        else:
            return
        if current_at > float("-inf"):
            self.list_age.set({}, round(now - current_at, 3))
        self.list_fetches.set({"outcome": "success"}, fetches.success_total)
        self.list_fetches.set({"outcome": "failure"}, fetches.failure_total)
        self.fetches_list.set({}, int(is_fetching))

    def _set_limit_metrics(self, state: State, now: float) -> None:
        if state.gateway is not None:
            avoided = state.gateway.outliers.avoided_until.values()
            self.avoided_replicas.set({}, sum(until > now for until in avoided))
            limits = state.gateway.limits
            limited = limits.list_limited()
            shared = sum(limits.get_rate(name) > 0 for name in limited)
            self.replica_limits.set({"state": "limited"}, len(limited))
            self.replica_limits.set({"state": "shared"}, shared)
            self.cold_replicas.set({}, len(limits.cold.limits))
        elif is_fetcher(state):
            limited = list(state.limit_table.entries)
            self.replica_limits.set({"state": "limited"}, len(limited))
            self.cold_replicas.set({}, len(state.limit_table.cold_limits))

    def _set_evacuation_metrics(self, state: State) -> None:
        if state.node.role is Role.CONTROL:
            zones = len(state.control.replicated.evacuations.zones)
        else:
            zones = len(state.evacuations.zones)
        self.evacuated_zones.set({}, zones)

    def _set_voter_metrics(self, state: State) -> None:
        replication = state.control.replication
        if replication is None:
            return
        voters = replication.membership.list_voters()
        self.voters.set({"state": "present"}, len(voters))
        if state.discovers_control_hosts:
            required = compute_required_voters(state.tolerated_losses)
            self.voters.set({"state": "required"}, required)

    def _set_suspect_metrics(self, registry: ReplicaSuspectRegistry) -> None:
        quarantined = len(registry.list_quarantined())
        unproven = len(registry.list_unproven())
        self.replica_suspects.set({"state": "quarantined"}, quarantined)
        self.replica_suspects.set({"state": "unproven"}, unproven)

    def _set_ledger_metrics(self, ledger: Ledger) -> None:
        counts = collections.Counter(
            record.status for record in ledger.records.values()
        )
        for status in ClaimStatus:
            self.ledger_keys.set({"status": status.value}, counts[status])

    def _set_client_metrics(self, memory: ClientMemory) -> None:
        self.client_memory.set({"state": "used"}, memory.used_bytes)
        self.client_memory.set({"state": "limit"}, memory.limit_bytes)
        for cause, count in memory.refusals.items():
            self.refused_clients.set({"cause": cause.value}, count)

    def _set_peer_metrics(self, peers: PeerSockets) -> None:
        for direction, traffic in (("sent", peers.sent), ("received", peers.received)):
            self.control_bytes.set({"direction": direction}, traffic.total)
            for peer, count in traffic.bytes_of_peer.items():
                self.peer_bytes.set({"direction": direction, "peer": peer}, count)
        refused = peers.refused_messages + self.refused_dispatches
        self.refused_messages.set({}, refused)


@frozen
class _DeclaredNames:
    service: bool
    workspace: bool
    rank: bool


def _find_declared_names(effect: CountRequest, state: State) -> _DeclaredNames:
    """Return which names of a request are declared.

    Undeclared names come from callers, so they are not used as label values.
    """
    if state.gateway is not None:
        # A gateway takes the names from its route table; they are empty if no route
        # matched.
        has_route = bool(effect.service)
        return _DeclaredNames(has_route, bool(effect.workspace), has_route)
    configuration = state.configuration
    return _DeclaredNames(
        configuration.find_service(effect.service) is not None,
        configuration.find_workspace(effect.workspace) is not None,
        configuration.find_rank(effect.rank) is not None,
    )


@perform.register
def _(effect: CountRequest, process: Process) -> None:
    metrics = process.get_adapter(Metrics)
    is_declared = _find_declared_names(effect, process.state)
    labels = metrics.build_labels(
        service=effect.service if is_declared.service else OTHER,
        workspace=effect.workspace if is_declared.workspace else OTHER,
        rank=effect.rank if is_declared.rank else OTHER,
        outcome=effect.outcome,
    )
    metrics.requests.inc(labels)


@perform.register
def _(effect: CountAttempt, process: Process) -> None:
    metrics = process.get_adapter(Metrics)
    labels = metrics.build_labels(
        endpoint=effect.endpoint, rank=effect.rank, outcome=effect.outcome
    )
    metrics.attempts.inc(labels)


@perform.register
def _(effect: ObserveLatency, process: Process) -> None:
    metrics = process.get_adapter(Metrics)
    labels = metrics.build_labels(
        stage=effect.stage.value, service=effect.service, rank=effect.rank
    )
    metrics.latency.observe(labels, effect.seconds)


@perform.register
def _(effect: ObserveDelayError, process: Process) -> None:
    metrics = process.get_adapter(Metrics)
    labels = metrics.build_labels(service=effect.service)
    metrics.delay_errors.observe(labels, effect.seconds)


@perform.register
def _(effect: CountTokens, process: Process) -> None:
    usage = find_usage(effect.data)
    if usage is None:
        return
    metrics = process.get_adapter(Metrics)
    labels = metrics.build_labels(service=effect.service, workspace=effect.workspace)
    metrics.prompt_tokens.add(labels, usage.prompt_tokens)
    metrics.cached_tokens.add(labels, usage.cached_tokens)


def _log_lost_sample(
    effect: CountRequest
    | CountAttempt
    | ObserveLatency
    | ObserveDelayError
    | CountTokens,
    process: Process,
    error: Exception,
) -> None:
    process.log_failed_effect(effect)


for _kind in (
    CountRequest,
    CountAttempt,
    ObserveLatency,
    ObserveDelayError,
    CountTokens,
):
    contain_failure.register(_kind, _log_lost_sample)
