"""Snapshots: compact the log and bring lagging peers up to date."""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent
from gentianworks.core.effects.replication import (
    DecodeSnapshot,
    ReadSnapshotChunk,
    SaveSnapshot,
)
from gentianworks.core.events.replication import (
    AppendResponse,
    ReplicatedStateRestored,
    SnapshotChunk,
    SnapshotChunkRead,
    SnapshotChunkResponse,
    SnapshotDecoded,
)
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.follower import accept_leader
from gentianworks.core.replication.invariants import check_invariants
from gentianworks.core.replication.leader import get_progress
from gentianworks.core.replication.log import Log, Position, Snapshot
from gentianworks.core.replication.peer_messages import (
    defer_until_synced,
    get_replication,
    handle_peer_message,
    reply_to,
    send_to,
)
from gentianworks.core.replication.reads import finish_reads
from gentianworks.core.replication.replication import IncomingSnapshot, Replication
from gentianworks.core.replication.rounds import RESEND_INTERVAL, record_acked_round
from gentianworks.core.state import State


def save_due_snapshot(state: State) -> list[Effect]:
    """Save a snapshot if enough entries have been applied since the last one."""
    replication = get_replication(state)
    applied = replication.applied_index
    if applied - replication.snapshot.index < replication.snapshot_interval:
        return []
    log = replication.log
    position = Position(log.find_term(applied) or 0, applied)
    keep_from = applied - replication.retained_entries
    if keep_from > log.base.index:
        log.compact(keep_from)
    return [_save(position, state)]


def resend_snapshot_chunks(state: State, now: float) -> list[Effect]:
    """Resend the snapshot chunks that peers have not acknowledged."""
    replication = get_replication(state)
    return [
        ReadSnapshotChunk(host, progress.snapshot_offset)
        for host, progress in replication.peer_progress.items()
        if progress.snapshot_offset is not None
        and now >= progress.snapshot_sent_at + RESEND_INTERVAL
    ]


@reduce.register
def _(event: SnapshotChunkRead, state: State, now: float) -> list[Effect]:
    replication = get_replication(state)
    peer = replication.membership.find(event.target)
    if not replication.is_leader or peer is None:
        return []
    get_progress(event.target, replication).snapshot_sent_at = now
    chunk = send_to(
        peer.peer_address,
        peer.host,
        SnapshotChunk,
        state,
        position=event.position,
        offset=event.offset,
        data=event.data,
        is_last=event.is_last,
        round=replication.round,
    )
    return [chunk]


@handle_peer_message.register
def _(event: SnapshotChunkResponse, state: State, now: float) -> list[Effect]:
    replication = get_replication(state)
    if not replication.is_leader or event.term != replication.vote.term:
        return []
    record_acked_round(event, event.round, replication)
    progress = get_progress(event.source, replication)
    if progress.snapshot_offset is None or progress.snapshot_offset == event.offset:
        return []
    progress.snapshot_offset = event.offset
    return [ReadSnapshotChunk(event.source, event.offset)]


@handle_peer_message.register
def _(event: SnapshotChunk, state: State, now: float) -> list[Effect]:
    replication = get_replication(state)
    if event.term < replication.vote.term:
        return []
    accept_leader(event, state, now)
    if event.position.index <= replication.commit_index:
        return _acknowledge(event, state)
    incoming = replication.incoming_snapshot
    if incoming is None or incoming.position != event.position:
        incoming = replication.incoming_snapshot = IncomingSnapshot(event.position)
    if event.offset == len(incoming.data):
        incoming.data += event.data
        if event.is_last:
            replication.incoming_snapshot = None
            return [DecodeSnapshot(event.source, bytes(incoming.data))]
    return _request_chunk(event, len(incoming.data), state)


@reduce.register
def _(event: SnapshotDecoded, state: State, now: float) -> list[Effect]:
    replication = get_replication(state)
    position = event.snapshot.position
    if position.index <= replication.commit_index:
        return []
    _install(event.snapshot, state)
    details = (("index", str(position.index)),)
    effects = [LogEvent("GW2004", details), _save(position, state)]
    effects += reduce(ReplicatedStateRestored(), state, now)
    effects += _report_installed(event, state)
    check_invariants(state)
    return effects + finish_reads(state, now)


def _save(position: Position, state: State) -> Effect:
    replication = get_replication(state)
    replication.snapshot = position
    replication.write_sequence += 1
    replication.unsynced_writes.append(
        (replication.write_sequence, replication.log.last.index)
    )
    return SaveSnapshot(
        sequence=replication.write_sequence,
        host=replication.host,
        vote=replication.vote,
        snapshot=Snapshot(position, state.control.replicated),
        base=replication.log.base,
        entries=tuple(replication.log.entries),
    )


def _install(snapshot: Snapshot, state: State) -> None:
    replication = get_replication(state)
    index = snapshot.position.index
    if replication.log.find_term(index) == snapshot.position.term:
        if index > replication.log.base.index:
            replication.log.compact(index)
    else:
        replication.log = Log(snapshot.position)
        _reset_unsynced_writes(replication)
    replication.commit_index = index
    replication.applied_index = index
    state.control.replicated = snapshot.replicated
    replication.update_membership(snapshot.replicated.membership)


def _reset_unsynced_writes(replication: Replication) -> None:
    cleared = [(sequence, 0) for sequence, _ in replication.unsynced_writes]
    replication.unsynced_writes.clear()
    replication.unsynced_writes.extend(cleared)


def _acknowledge(event: SnapshotChunk, state: State) -> list[Effect]:
    response = reply_to(
        event,
        AppendResponse,
        state,
        is_accepted=True,
        index=event.position.index,
        round=event.round,
    )
    return defer_until_synced(response, state)


def _request_chunk(event: SnapshotChunk, offset: int, state: State) -> list[Effect]:
    response = reply_to(
        event,
        SnapshotChunkResponse,
        state,
        position=event.position,
        offset=offset,
        round=event.round,
    )
    return defer_until_synced(response, state)


def _report_installed(event: SnapshotDecoded, state: State) -> list[Effect]:
    replication = get_replication(state)
    if replication.leader != event.source:
        return []
    response = send_to(
        replication.leader_address,
        replication.leader,
        AppendResponse,
        state,
        is_accepted=True,
        index=event.snapshot.position.index,
        round=0,
    )
    return defer_until_synced(response, state)
