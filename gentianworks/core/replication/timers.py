"""Timers: starts replication and performs what is due on a control host."""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent, SetTimer
from gentianworks.core.events.replication import (
    JournalContents,
    JournalLoaded,
    JournalSynced,
    ReplicatedStateRestored,
    ReplicationCheckDue,
)
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.elections import (
    count_votes,
    start_pre_vote,
    step_down,
)
from gentianworks.core.replication.formation import change_members, probe_group
from gentianworks.core.replication.handover import continue_handover
from gentianworks.core.replication.invariants import check_invariants
from gentianworks.core.replication.leader import advance_commit_index, replicate
from gentianworks.core.replication.log import Log
from gentianworks.core.replication.peer_messages import get_replication
from gentianworks.core.replication.proposals import expire_proposals, submit_proposals
from gentianworks.core.replication.reads import expire_reads
from gentianworks.core.replication.replication import (
    Replication,
)
from gentianworks.core.replication.rounds import (
    queue_early_reads,
    request_read_index,
    start_round,
)
from gentianworks.core.replication.snapshots import (
    resend_snapshot_chunks,
    save_due_snapshot,
)
from gentianworks.core.replication.warnings import (
    describe_stored_log,
    warn_of_missing_leader,
    warn_of_small_group,
)
from gentianworks.core.state import State
from gentianworks.core.ticks import MAX_EARLINESS, compute_next_tick

TICK_INTERVAL = 0.1  # seconds, while commands or reads are pending
IDLE_INTERVAL = 0.25  # seconds
MIN_INTERVAL = 0.02  # seconds; a few round trips, so that no timeout is late by much


@reduce.register
def _(event: JournalLoaded, state: State, now: float) -> list[Effect]:
    replication = _restore(event.contents, event.seed)
    replication.timing = state.timing
    replication.withhold_votes(event.process_uptime, now)
    state.control.replication = replication
    if event.contents.snapshot is not None:
        state.control.replicated = event.contents.snapshot.replicated
    replication.update_membership(state.control.replicated.membership)
    check_invariants(state)
    return [
        LogEvent("GW2015", describe_stored_log(replication)),
        SetTimer(now, ReplicationCheckDue()),
        *reduce(ReplicatedStateRestored(), state, now),
    ]


@reduce.register
def _(event: JournalSynced, state: State, now: float) -> list[Effect]:
    replication = get_replication(state)
    replication.synced_sequence = max(replication.synced_sequence, event.sequence)
    while (
        replication.unsynced_writes
        and replication.unsynced_writes[0][0] <= event.sequence
    ):
        _, index = replication.unsynced_writes.popleft()
        replication.log.synced_index = max(replication.log.synced_index, index)
    effects: list[Effect] = []
    while (
        replication.deferred_effects
        and replication.deferred_effects[0][0] <= event.sequence
    ):
        effects.append(replication.deferred_effects.popleft()[1])
    effects += count_votes(state, now)
    if replication.is_leader:
        effects += replicate(state, now) + advance_commit_index(state, now)
        effects += queue_early_reads(state, now)
    check_invariants(state)
    return effects


@reduce.register
def _(event: ReplicationCheckDue, state: State, now: float) -> list[Effect]:
    replication = get_replication(state)
    effects: list[Effect] = []
    if replication.is_leader:
        effects += _run_leader(state, now)
    elif now >= replication.next_election_at and not state.is_leaving:
        effects += start_pre_vote(state, now)
    effects += probe_group(state, now)
    effects += warn_of_missing_leader(state, now) + warn_of_small_group(state, now)
    effects += expire_proposals(state, now) + submit_proposals(state, now)
    effects += expire_reads(state, now)
    if any(now >= read.next_send_at for read in replication.pending_reads.values()):
        effects += request_read_index(state, now)
    check_invariants(state)
    due = compute_next_check_time(replication, now, state.incarnation)
    timer = SetTimer(due, ReplicationCheckDue())
    return [timer, *effects, *save_due_snapshot(state)]


def compute_next_check_time(
    replication: Replication, now: float, incarnation: int = 0
) -> float:
    """Return when to check for due work next; often only while work is pending."""
    if (
        replication.pending_proposals
        or replication.pending_reads
        or replication.handover_deadline
    ):
        return now + TICK_INTERVAL
    if replication.is_leader:
        return min(replication.next_heartbeat_at, now + IDLE_INTERVAL)
    if replication.next_election_at <= now:
        return now + TICK_INTERVAL
    due = min(
        replication.next_election_at, compute_next_tick(now, IDLE_INTERVAL, incarnation)
    )
    return max(due, now + MIN_INTERVAL)


def _restore(contents: JournalContents, seed: int) -> Replication:
    log = Log(contents.base, list(contents.entries))
    log.synced_index = log.last.index
    replication = Replication(contents.host, seed, contents.vote, log)
    if contents.snapshot is not None:
        replication.snapshot = contents.snapshot.position
        replication.commit_index = contents.snapshot.position.index
        replication.applied_index = contents.snapshot.position.index
    return replication


def _run_leader(state: State, now: float) -> list[Effect]:
    replication = get_replication(state)
    if now - replication.compute_quorum_contact() > replication.timing.election_max:
        details = (("term", str(replication.vote.term)),)
        return [LogEvent("GW2005", details), *step_down(state, now)]
    effects = change_members(state, now)
    if now + MAX_EARLINESS >= replication.next_heartbeat_at:
        effects += start_round(state, now)
    return effects + continue_handover(state, now) + resend_snapshot_chunks(state, now)
