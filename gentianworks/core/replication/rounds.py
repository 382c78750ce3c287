"""Rounds: heartbeat rounds, which confirm reads once a quorum acknowledges them."""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.events.replication import (
    AppendResponse,
    PeerMessage,
    ReadIndexRequest,
    ReadIndexResponse,
)
from gentianworks.core.replication.leader import (
    advance_commit_index,
    get_progress,
    send_entries,
    send_heartbeats,
)
from gentianworks.core.replication.members import HostId, compute_quorum_value
from gentianworks.core.replication.peer_messages import (
    get_replication,
    handle_peer_message,
    send_to,
)
from gentianworks.core.replication.reads import finish_reads, set_read_index
from gentianworks.core.replication.replication import (
    EarlyRead,
    ReadRound,
    Replication,
)
from gentianworks.core.state import State
from gentianworks.core.ticks import compute_next_tick

MAX_TRACKED_ROUNDS = 64
RESEND_INTERVAL = 0.3  # seconds


def start_round(state: State, now: float) -> list[Effect]:
    """Send every peer the heartbeat of a new round."""
    replication = get_replication(state)
    replication.round += 1
    replication.round_sent_at[replication.round] = now
    replication.round_sent_at.pop(replication.round - MAX_TRACKED_ROUNDS, None)
    interval = replication.timing.heartbeat
    replication.next_heartbeat_at = compute_next_tick(now, interval, state.incarnation)
    return send_heartbeats(state) + confirm_rounds(state, now)


def confirm_rounds(state: State, now: float) -> list[Effect]:
    """Confirm the reads whose round a quorum has acknowledged; start the next round."""
    replication = get_replication(state)
    confirmed = compute_quorum_value(
        _get_acked_round(host, replication)
        for host in replication.membership.list_voters()
    )
    done = [item for item in replication.read_rounds if item.round <= confirmed]
    if not done:
        return []
    replication.read_rounds = [
        item for item in replication.read_rounds if item.round > confirmed
    ]
    effects: list[Effect] = []
    for item in done:
        effects += _confirm_reads(item, state, now)
    if replication.read_rounds and replication.is_leader:
        effects += start_round(state, now)
    return effects


def request_read_index(state: State, now: float) -> list[Effect]:
    """Request a read index for the pending reads of this host that have none."""
    replication = get_replication(state)
    unconfirmed = [
        read for read in replication.pending_reads.values() if read.index is None
    ]
    if not unconfirmed:
        return []
    number = max(read.number for read in unconfirmed)
    for read in unconfirmed:
        read.next_send_at = now + RESEND_INTERVAL
    if replication.is_leader:
        return _queue_read(replication.host, number, state, now)
    if not replication.leader:
        return []
    request = send_to(
        replication.leader_address,
        replication.leader,
        ReadIndexRequest,
        state,
        number=number,
        incarnation=state.incarnation,
    )
    return [request]


def queue_early_reads(state: State, now: float) -> list[Effect]:
    """Queue the reads that arrived before an entry of this term was committed."""
    replication = get_replication(state)
    if not replication.early_reads or not _has_committed(replication):
        return []
    early, replication.early_reads = replication.early_reads, []
    effects: list[Effect] = []
    for read in early:
        effects += _queue_read(
            read.host, read.number, state, now, read.address, read.incarnation
        )
    return effects


def _has_committed(replication: Replication) -> bool:
    """Return whether an entry of the current term is committed, as reads require."""
    term = replication.log.find_term(replication.commit_index)
    return term == replication.vote.term


def record_acked_round(
    event: PeerMessage, number: int, replication: Replication
) -> None:
    """Record that a peer has acknowledged a heartbeat round."""
    progress = get_progress(event.source, replication)
    progress.acked_round = max(progress.acked_round, number)
    sent_at = replication.round_sent_at.get(number, 0.0)
    progress.contact_at = max(progress.contact_at, sent_at)


@handle_peer_message.register
def _(event: AppendResponse, state: State, now: float) -> list[Effect]:
    replication = get_replication(state)
    peer = replication.membership.find(event.source)
    if not replication.is_leader or event.term != replication.vote.term or not peer:
        return []
    record_acked_round(event, event.round, replication)
    progress = get_progress(event.source, replication)
    if not event.is_accepted:
        progress.next_index = max(event.index, progress.match_index) + 1
        return [*send_entries(peer, state), *confirm_rounds(state, now)]
    progress.snapshot_offset = None
    progress.match_index = max(progress.match_index, event.index)
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    return [
        *advance_commit_index(state, now),
        *queue_early_reads(state, now),
        *send_entries(peer, state),
        *confirm_rounds(state, now),
    ]


@handle_peer_message.register
def _(event: ReadIndexRequest, state: State, now: float) -> list[Effect]:
    replication = get_replication(state)
    if not replication.is_leader:
        return []
    return _queue_read(
        event.source, event.number, state, now, event.peer_address, event.incarnation
    )


@handle_peer_message.register
def _(event: ReadIndexResponse, state: State, now: float) -> list[Effect]:
    if event.incarnation != state.incarnation:
        return []
    set_read_index(event.number, event.index, state)
    return finish_reads(state, now)


def _queue_read(
    host: HostId,
    number: int,
    state: State,
    now: float,
    address: str = "",
    incarnation: int = 0,
) -> list[Effect]:
    replication = get_replication(state)
    if not _has_committed(replication):
        early = EarlyRead(host, number, address, incarnation)
        replication.early_reads.append(early)
        return []
    is_idle = not replication.read_rounds
    replication.read_rounds.append(
        ReadRound(
            host=host,
            address=address,
            incarnation=incarnation,
            number=number,
            index=replication.commit_index,
            round=replication.round + 1,
        )
    )
    return start_round(state, now) if is_idle else []


def _confirm_reads(item: ReadRound, state: State, now: float) -> list[Effect]:
    replication = get_replication(state)
    if item.host == replication.host:
        set_read_index(item.number, item.index, state)
        return finish_reads(state, now)
    response = send_to(
        item.address,
        item.host,
        ReadIndexResponse,
        state,
        number=item.number,
        index=item.index,
        incarnation=item.incarnation,
    )
    return [response]


def _get_acked_round(host: HostId, replication: Replication) -> int:
    if host == replication.host:
        return replication.round
    progress = replication.peer_progress.get(host)
    return progress.acked_round if progress else 0
