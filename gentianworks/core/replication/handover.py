"""Handover: a leader that stops gracefully hands over to a caught-up peer."""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.events.replication import HandoverRequest
from gentianworks.core.replication.leader import get_progress
from gentianworks.core.replication.members import ControlMember
from gentianworks.core.replication.peer_messages import get_replication, send_to
from gentianworks.core.replication.replication import Replication
from gentianworks.core.state import State

HANDOVER_TIMEOUT = 5.0  # seconds
HANDOVER_RETRY_INTERVAL = 0.5  # seconds


def begin_handover(state: State, now: float) -> list[Effect]:
    """Begin to hand over leadership because this process stops."""
    replication = state.control.replication
    if replication is None:
        return []
    replication.handover_deadline = now + HANDOVER_TIMEOUT
    return continue_handover(state, now)


def continue_handover(state: State, now: float) -> list[Effect]:
    """Ask the caught-up voter with the latest contact to stand for election."""
    replication = get_replication(state)
    is_due = now >= replication.handover_sent_at + HANDOVER_RETRY_INTERVAL
    if not (replication.is_leader and replication.handover_deadline and is_due):
        return []
    for peer in _list_voting_peers(replication):
        progress = get_progress(peer.host, replication)
        if progress.match_index == replication.log.last.index:
            replication.handover_sent_at = now
            return [send_to(peer.peer_address, peer.host, HandoverRequest, state)]
    return []


def is_handover_complete(state: State, now: float) -> bool:
    """Return whether this process can exit without leaving its group leaderless.

    Also True once the handover has timed out.
    """
    replication = state.control.replication
    if replication is None or now >= replication.handover_deadline:
        return True
    if replication.pending_proposals:
        return False
    return not replication.is_leader or not _list_voting_peers(replication)


def _list_voting_peers(replication: Replication) -> list[ControlMember]:
    peers = [peer for peer in replication.list_peers() if not peer.is_learner]
    return sorted(
        peers,
        key=lambda peer: get_progress(peer.host, replication).contact_at,
        reverse=True,
    )
