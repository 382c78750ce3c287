"""Leader: sends its log to the peers and commits what a quorum has stored."""

from __future__ import annotations

from collections.abc import Iterator

from gentianworks.core.commands.base import Command
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.replication import ReadSnapshotChunk
from gentianworks.core.events.replication import AppendRequest
from gentianworks.core.replication.log import Entry, Position
from gentianworks.core.replication.members import (
    ControlMember,
    HostId,
    compute_quorum_value,
)
from gentianworks.core.replication.peer_messages import (
    get_replication,
    send_to,
    write_journal,
)
from gentianworks.core.replication.replication import Progress, Replication
from gentianworks.core.replication.state_machine import commit
from gentianworks.core.state import State

MAX_BATCH_ENTRIES = 64
MAX_IN_FLIGHT_ENTRIES = 512


def reset_progress(replication: Replication, now: float) -> None:
    """Reset the progress of all peers; the election counts as contact with them."""
    replication.peer_progress.clear()
    replication.round_sent_at.clear()
    for peer in replication.list_peers():
        get_progress(peer.host, replication).contact_at = now


def append_command(command: Command, state: State, now: float) -> list[Effect]:
    """Append a command to the leader's log unless its proposal is there already."""
    replication = get_replication(state)
    if replication.log.has_proposal(command.proposal):
        return []
    position = Position(replication.vote.term, replication.log.last.index + 1)
    entry = Entry(position, command)
    replication.log.append((entry,))
    replication.update_membership(state.control.replicated.membership)
    return [write_journal(state, (entry,))]


def send_heartbeats(state: State) -> list[Effect]:
    """Send each peer its missing entries, or a message without entries."""
    effects: list[Effect] = []
    for peer in get_replication(state).list_peers():
        effects += send_entries(peer, state) or [_send_batch(peer, (), state)]
    return effects


def replicate(state: State, now: float) -> list[Effect]:
    """Send each peer its missing entries."""
    effects: list[Effect] = []
    for peer in get_replication(state).list_peers():
        effects += send_entries(peer, state)
    return effects


def send_entries(peer: ControlMember, state: State) -> list[Effect]:
    """Send a peer its missing entries, or the snapshot if they are compacted."""
    replication = get_replication(state)
    progress = get_progress(peer.host, replication)
    if progress.next_index <= replication.log.base.index:
        return _start_snapshot(peer.host, progress)
    return list(_send_batches(peer, progress, state))


def advance_commit_index(state: State, now: float) -> list[Effect]:
    """Commit the entries that a quorum has on disk.

    Entries of earlier terms are committed only along with one of the current term.
    """
    replication = get_replication(state)
    if not replication.is_leader:
        return []
    voters = replication.membership.list_voters()
    index = int(
        compute_quorum_value(_get_match_index(host, replication) for host in voters)
    )
    if index <= replication.commit_index:
        return []
    if replication.log.find_term(index) != replication.vote.term:
        return []
    effects = commit(index, state, now)
    peers = replication.list_peers()
    return [*effects, *(_send_batch(peer, (), state) for peer in peers)]


def get_progress(host: HostId, replication: Replication) -> Progress:
    """Return the progress of a peer, creating it if needed."""
    if host not in replication.peer_progress:
        replication.peer_progress[host] = Progress(replication.log.last.index + 1)
    return replication.peer_progress[host]


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
    next_index = get_progress(peer.host, replication).next_index
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


def _get_match_index(host: HostId, replication: Replication) -> int:
    if host == replication.host:
        return replication.log.synced_index
    return get_progress(host, replication).match_index
