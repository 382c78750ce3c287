"""Replica crashes: a control host's handlers for what crashes replicas."""

from __future__ import annotations

from gentianworks.core.commands.base import Command, apply_command, handle_outcome
from gentianworks.core.commands.replica_suspects import (
    BeginReplicaTrial,
    CountReplicaCrash,
    OfferReplicaTrials,
    RecordServedCalls,
    ReplicaCrashCounted,
    ReplicaTrialDecided,
    ReplicaTrialsOffered,
    ServedCallsRecorded,
)
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent, SendMessage
from gentianworks.core.events.membership import Heartbeat
from gentianworks.core.events.replica_suspects import (
    ReplicaCrashAcknowledged,
    ReplicaCrashReported,
    ReplicaSuspectsChanged,
    ReplicaTrialWanted,
    SuspectsServed,
)
from gentianworks.core.membership.routers import notify_routers
from gentianworks.core.quarantine.replica_suspects import ReplicaSuspect
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.elections import is_leading
from gentianworks.core.replication.proposals import propose
from gentianworks.core.replication.replicated_state import ReplicatedState
from gentianworks.core.state import State
from gentianworks.core.types import Role


@reduce.register
def _(event: ReplicaCrashReported, state: State, now: float) -> list[Effect]:
    if state.node.role is not Role.CONTROL:
        return []
    command = CountReplicaCrash(
        proposal=state.create_id(),
        proposed_at=now,
        peer_address=event.peer_address,
        report=event.report,
        replica=event.replica,
        service=event.service,
        calls=event.calls,
    )
    return propose(command, state, now)


@apply_command.register
def _(command: CountReplicaCrash, replicated: ReplicatedState) -> ReplicaCrashCounted:
    registry = replicated.replica_suspects
    version = registry.version
    quarantined = registry.record_crash(
        command.replica, command.service, command.calls, command.proposed_at
    )
    return ReplicaCrashCounted(tuple(quarantined), registry.version > version)


@handle_outcome.register
def _(
    outcome: ReplicaCrashCounted, command: Command, state: State, now: float
) -> list[Effect]:
    assert isinstance(command, CountReplicaCrash)
    effects: list[Effect] = []
    if outcome.is_changed:
        effects += notify_routers(_build_notice(state), state, now)
    if is_leading(state, now):
        effects += [
            LogEvent("GW3005", _describe(item, command.replica))
            for item in outcome.quarantined
        ]
    if state.has_created(command.proposal):
        answer = ReplicaCrashAcknowledged(state.node.name, command.report)
        effects.append(SendMessage(command.peer_address, answer))
    return effects


@reduce.register
def _(event: SuspectsServed, state: State, now: float) -> list[Effect]:
    if state.node.role is not Role.CONTROL:
        return []
    suspects = state.control.replicated.replica_suspects.suspects
    if not any(item in suspects for item in event.fingerprints):
        return []
    command = RecordServedCalls(
        proposal=state.create_id(),
        proposed_at=now,
        fingerprints=event.fingerprints,
        is_since_crash=event.is_since_crash,
    )
    return propose(command, state, now)


@apply_command.register
def _(command: RecordServedCalls, replicated: ReplicatedState) -> ServedCallsRecorded:
    released = replicated.replica_suspects.record_served(
        command.fingerprints, command.is_since_crash, command.proposed_at
    )
    return ServedCallsRecorded(tuple(released))


@handle_outcome.register
def _(
    outcome: ServedCallsRecorded, command: Command, state: State, now: float
) -> list[Effect]:
    if not outcome.released or not is_leading(state, now):
        return []
    logs = [LogEvent("GW3006", _describe(item, "")) for item in outcome.released]
    return [*logs, *notify_routers(_build_notice(state), state, now)]


def offer_due_trials(state: State, now: float) -> list[Effect]:
    """Offer the routers the trials that are due, if this host leads."""
    fingerprints = state.control.replicated.replica_suspects.list_due_trials(now)
    if not fingerprints or not is_leading(state, now):
        return []
    command = OfferReplicaTrials(
        proposal=state.create_id(), proposed_at=now, fingerprints=fingerprints
    )
    return propose(command, state, now)


@apply_command.register
def _(command: OfferReplicaTrials, replicated: ReplicatedState) -> ReplicaTrialsOffered:
    is_changed = replicated.replica_suspects.offer_trials(command.fingerprints)
    return ReplicaTrialsOffered(is_changed)


@handle_outcome.register
def _(
    outcome: ReplicaTrialsOffered, command: Command, state: State, now: float
) -> list[Effect]:
    return (
        notify_routers(_build_notice(state), state, now) if outcome.is_changed else []
    )


@reduce.register
def _(event: ReplicaTrialWanted, state: State, now: float) -> list[Effect]:
    suspect = state.control.replicated.replica_suspects.suspects.get(event.fingerprint)
    if suspect is None or not suspect.is_trial_offered or not is_leading(state, now):
        return []
    command = BeginReplicaTrial(
        proposal=state.create_id(),
        proposed_at=now,
        fingerprint=event.fingerprint,
        router=event.peer_address,
    )
    return propose(command, state, now)


@apply_command.register
def _(command: BeginReplicaTrial, replicated: ReplicatedState) -> ReplicaTrialDecided:
    is_granted = replicated.replica_suspects.begin_trial(
        command.fingerprint, command.router, command.proposed_at
    )
    return ReplicaTrialDecided(is_granted)


@handle_outcome.register
def _(
    outcome: ReplicaTrialDecided, command: Command, state: State, now: float
) -> list[Effect]:
    return (
        notify_routers(_build_notice(state), state, now) if outcome.is_granted else []
    )


def send_newer_replica_suspects(event: Heartbeat, state: State) -> list[Effect]:
    """Send the replica suspects to a router whose heartbeat has an older version."""
    version = state.control.replicated.replica_suspects.version
    if event.endpoint or event.replica_suspects_version >= version:
        return []
    return [SendMessage(event.peer_address, _build_notice(state))]


def _build_notice(state: State) -> ReplicaSuspectsChanged:
    registry = state.control.replicated.replica_suspects
    return ReplicaSuspectsChanged(
        state.node.name,
        registry.version,
        registry.list_quarantined(),
        registry.list_unproven(),
    )


def _describe(suspect: ReplicaSuspect, replica: str) -> tuple[tuple[str, str], ...]:
    details = (
        ("fingerprint", suspect.fingerprint),
        ("service", suspect.service),
        ("crashes", str(suspect.crashes)),
        ("trials", str(suspect.trial_count)),
    )
    return (*details, ("replica", replica)) if replica else details
