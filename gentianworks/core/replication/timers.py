"""Timers: the start of replication, and what falls due on a control host."""

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
    start_election,
    step_down,
)
from gentianworks.core.replication.formation import change_members, probe
from gentianworks.core.replication.handover import continue_handover
from gentianworks.core.replication.invariants import check_invariants
from gentianworks.core.replication.leading import advance_commit, replicate
from gentianworks.core.replication.log import Log
from gentianworks.core.replication.peers import get_replication
from gentianworks.core.replication.proposals import expire_proposals, submit_proposals
from gentianworks.core.replication.reading import expire_reads
from gentianworks.core.replication.replication import (
    Replication,
)
from gentianworks.core.replication.rounds import (
    request_reads,
    start_round,
    take_early_reads,
)
from gentianworks.core.replication.snapshots import resend_chunks, save_due_snapshot
from gentianworks.core.replication.warnings import warn_of_silence
from gentianworks.core.state import State
from gentianworks.core.ticks import MAX_EARLINESS, compute_next_tick

TICK_INTERVAL = 0.1  # seconds
IDLE_INTERVAL = 0.25  # seconds
MIN_INTERVAL = 0.02  # seconds; some round trips, so that no timeout is late for long


@reduce.register
def _(event: JournalLoaded, state: State, now: float) -> list[Effect]:
    replication = _restore(event.contents, event.seed)
    replication.timing = state.timing
    replication.begin_following(event.process_uptime, now)
    state.control.replication = replication
    if event.contents.snapshot is not None:
        state.control.replicated = event.contents.snapshot.replicated
    replication.update_membership(state.control.replicated.membership)
    check_invariants(state)
    return [
        SetTimer(now, ReplicationCheckDue()),
        *reduce(ReplicatedStateRestored(), state, now),
    ]


@reduce.register
def _(event: JournalSynced, state: State, now: float) -> list[Effect]:
    replication = get_replication(state)
    replication.synced = max(replication.synced, event.sequence)
    while replication.marks and replication.marks[0][0] <= event.sequence:
        _, index = replication.marks.popleft()
        replication.log.synced_index = max(replication.log.synced_index, index)
    effects: list[Effect] = []
    while replication.held and replication.held[0][0] <= event.sequence:
        effects.append(replication.held.popleft()[1])
    effects += count_votes(state, now)
    if replication.is_leader:
        effects += replicate(state, now) + advance_commit(state, now)
        effects += take_early_reads(state, now)
    check_invariants(state)
    return effects


@reduce.register
def _(event: ReplicationCheckDue, state: State, now: float) -> list[Effect]:
    replication = get_replication(state)
    effects: list[Effect] = []
    if replication.is_leader:
        effects += _lead(state, now)
    elif now >= replication.election_at and not state.is_leaving:
        effects += start_election(state, now)
    effects += probe(state, now) + warn_of_silence(state, now)
    effects += expire_proposals(state, now) + submit_proposals(state, now)
    effects += expire_reads(state, now)
    if any(now >= read.send_at for read in replication.reads.values()):
        effects += request_reads(state, now)
    check_invariants(state)
    due = find_next_tick(replication, now, state.incarnation)
    timer = SetTimer(due, ReplicationCheckDue())
    return [timer, *effects, *save_due_snapshot(state)]


def find_next_tick(replication: Replication, now: float, incarnation: int = 0) -> float:
    """Return when to look next at what falls due; often only while work waits."""
    if replication.proposals or replication.reads or replication.handover_deadline:
        return now + TICK_INTERVAL
    if replication.is_leader:
        return min(replication.heartbeat_at, now + IDLE_INTERVAL)
    if replication.election_at <= now:
        return now + TICK_INTERVAL
    due = min(
        replication.election_at, compute_next_tick(now, IDLE_INTERVAL, incarnation)
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


def _lead(state: State, now: float) -> list[Effect]:
    replication = get_replication(state)
    if now - replication.choose_contact() > replication.timing.election_max:
        details = (("term", str(replication.vote.term)),)
        return [LogEvent("GW2005", details), *step_down(state, now)]
    effects = change_members(state, now)
    if now + MAX_EARLINESS >= replication.heartbeat_at:
        effects += start_round(state, now)
    return effects + continue_handover(state, now) + resend_chunks(state, now)
