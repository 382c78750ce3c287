"""Leading: the leader's log goes to its peers and is committed by a quorum."""

from __future__ import annotations

from collections.abc import Iterator

from gentianworks.core.commands.base import Command
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.replication import ReadSnapshotChunk
from gentianworks.core.events.replication import AppendRequest
from gentianworks.core.replication.applying import commit
from gentianworks.core.replication.log import Entry, Position
from gentianworks.core.replication.members import (
    ControlMember,
    HostId,
    choose_quorum_value,
)
from gentianworks.core.replication.peers import get_replication, send_to, write
from gentianworks.core.replication.replication import Progress, Replication
from gentianworks.core.state import State

MAX_BATCH_ENTRIES = 64
MAX_IN_FLIGHT_ENTRIES = 512


def begin_leading(replication: Replication, now: float) -> None:
    """Forget what is known of the peers; they count as heard at the election."""
    replication.peers.clear()
    replication.rounds.clear()
    for peer in replication.list_peers():
        find_progress(peer.host, replication).contact_at = now


def append_command(command: Command, state: State, now: float) -> list[Effect]:
    """Put a command at the end of the leader's log."""
    replication = get_replication(state)
    if replication.log.holds(command.proposal):
        return []
    position = Position(replication.vote.term, replication.log.last.index + 1)
    entry = Entry(position, command)
    replication.log.append((entry,))
    replication.update_membership(state.control.replicated.membership)
    return [write(state, (entry,))]


def send_heartbeats(state: State) -> list[Effect]:
    """Send each peer what it lacks, or else a message without entries."""
    effects: list[Effect] = []
    for peer in get_replication(state).list_peers():
        effects += send_entries(peer, state) or [_send_batch(peer, (), state)]
    return effects


def replicate(state: State, now: float) -> list[Effect]:
    """Send each peer the entries that it lacks."""
    effects: list[Effect] = []
    for peer in get_replication(state).list_peers():
        effects += send_entries(peer, state)
    return effects


def send_entries(peer: ControlMember, state: State) -> list[Effect]:
    """Send a peer the entries that it lacks, or else the snapshot."""
    replication = get_replication(state)
    progress = find_progress(peer.host, replication)
    if progress.next_index <= replication.log.base.index:
        return _start_snapshot(peer.host, progress)
    return list(_send_batches(peer, progress, state))


def advance_commit(state: State, now: float) -> list[Effect]:
    """Commit what a quorum has on disk, once an entry of this term is among it."""
    replication = get_replication(state)
    if not replication.is_leader:
        return []
    voters = replication.membership.list_voters()
    index = int(choose_quorum_value(_find_match(host, replication) for host in voters))
    if index <= replication.commit_index:
        return []
    if replication.log.find_term(index) != replication.vote.term:
        return []
    effects = commit(index, state, now)
    peers = replication.list_peers()
    return [*effects, *(_send_batch(peer, (), state) for peer in peers)]


def find_progress(host: HostId, replication: Replication) -> Progress:
    """Return what is known of a peer's log."""
    if host not in replication.peers:
        replication.peers[host] = Progress(replication.log.last.index + 1)
    return replication.peers[host]


def _send_batches(
    peer: ControlMember, progress: Progress, state: State
) -> Iterator[Effect]:
    log = get_replication(state).log
    limit = progress.match_index + MAX_IN_FLIGHT_ENTRIES
    while progress.next_index <= min(log.last.index, limit):
        entries = log.list_entries(progress.next_index, MAX_BATCH_ENTRIES)
        yield _send_batch(peer, entries, state)
        progress.next_index += len(entries)


def _send_batch(
    peer: ControlMember, entries: tuple[Entry, ...], state: State
) -> Effect:
    replication = get_replication(state)
    log = replication.log
    next_index = find_progress(peer.host, replication).next_index
    index = max(next_index - 1, log.base.index)
    return send_to(
        peer.peer_address,
        peer.host,
        AppendRequest,
        state,
        previous=Position(log.find_term(index) or 0, index),
        entries=entries,
        commit_index=replication.commit_index,
        round=replication.round,
    )


def _start_snapshot(host: HostId, progress: Progress) -> list[Effect]:
    if progress.snapshot_offset is not None:
        return []
    progress.snapshot_offset = 0
    return [ReadSnapshotChunk(host, 0)]


def _find_match(host: HostId, replication: Replication) -> int:
    if host == replication.host:
        return replication.log.synced_index
    return find_progress(host, replication).match_index
