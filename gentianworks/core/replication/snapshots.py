"""Snapshots: the log is cut behind them, and they bring a peer up to date."""

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
from gentianworks.core.replication.following import follow
from gentianworks.core.replication.invariants import check_invariants
from gentianworks.core.replication.leading import find_progress
from gentianworks.core.replication.log import Log, Position, Snapshot
from gentianworks.core.replication.peers import (
    get_replication,
    hold,
    receive,
    reply_to,
    send_to,
)
from gentianworks.core.replication.reading import finish_reads
from gentianworks.core.replication.replication import IncomingSnapshot, Replication
from gentianworks.core.replication.rounds import RESEND_INTERVAL, note_round
from gentianworks.core.state import State


def save_due_snapshot(state: State) -> list[Effect]:
    """Save a snapshot once enough entries have been applied since the last one."""
    replication = get_replication(state)
    applied = replication.applied_index
    if applied - replication.snapshot.index < replication.snapshot_interval:
        return []
    log = replication.log
    position = Position(log.find_term(applied) or 0, applied)
    keep_from = applied - replication.kept_entries
    if keep_from > log.base.index:
        log.compact(keep_from)
    return [_save(position, state)]


def resend_chunks(state: State, now: float) -> list[Effect]:
    """Send again the pieces of snapshots that peers have not answered."""
    replication = get_replication(state)
    return [
        ReadSnapshotChunk(host, progress.snapshot_offset)
        for host, progress in replication.peers.items()
        if progress.snapshot_offset is not None
        and now >= progress.snapshot_sent_at + RESEND_INTERVAL
    ]


@reduce.register
def _(event: SnapshotChunkRead, state: State, now: float) -> list[Effect]:
    replication = get_replication(state)
    peer = replication.membership.find(event.target)
    if not replication.is_leader or peer is None:
        return []
    find_progress(event.target, replication).snapshot_sent_at = now
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


@receive.register
def _(event: SnapshotChunkResponse, state: State, now: float) -> list[Effect]:
    replication = get_replication(state)
    if not replication.is_leader or event.term != replication.vote.term:
        return []
    note_round(event, event.round, replication)
    progress = find_progress(event.source, replication)
    if progress.snapshot_offset is None or progress.snapshot_offset == event.offset:
        return []
    progress.snapshot_offset = event.offset
    return [ReadSnapshotChunk(event.source, event.offset)]


@receive.register
def _(event: SnapshotChunk, state: State, now: float) -> list[Effect]:
    replication = get_replication(state)
    if event.term < replication.vote.term:
        return []
    follow(event, state, now)
    if event.position.index <= replication.commit_index:
        return _accept(event, state)
    incoming = replication.incoming
    if incoming is None or incoming.position != event.position:
        incoming = replication.incoming = IncomingSnapshot(event.position)
    if event.offset == len(incoming.data):
        incoming.data += event.data
        if event.is_last:
            replication.incoming = None
            return [DecodeSnapshot(event.source, bytes(incoming.data))]
    return _ask_chunk(event, len(incoming.data), state)


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
    effects += _report(event, state)
    check_invariants(state)
    return effects + finish_reads(state, now)


def _save(position: Position, state: State) -> Effect:
    replication = get_replication(state)
    replication.snapshot = position
    replication.writes += 1
    replication.marks.append((replication.writes, replication.log.last.index))
    return SaveSnapshot(
        sequence=replication.writes,
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
        _forget_marks(replication)
    replication.commit_index = index
    replication.applied_index = index
    state.control.replicated = snapshot.replicated
    replication.update_membership(snapshot.replicated.membership)


def _forget_marks(replication: Replication) -> None:
    marks = [(sequence, 0) for sequence, _ in replication.marks]
    replication.marks.clear()
    replication.marks.extend(marks)


def _accept(event: SnapshotChunk, state: State) -> list[Effect]:
    response = reply_to(
        event,
        AppendResponse,
        state,
        is_accepted=True,
        index=event.position.index,
        round=event.round,
    )
    return hold(response, state)


def _ask_chunk(event: SnapshotChunk, offset: int, state: State) -> list[Effect]:
    response = reply_to(
        event,
        SnapshotChunkResponse,
        state,
        position=event.position,
        offset=offset,
        round=event.round,
    )
    return hold(response, state)


def _report(event: SnapshotDecoded, state: State) -> list[Effect]:
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
    return hold(response, state)
