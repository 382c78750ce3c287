"""Follower: makes its log match the leader's."""

from __future__ import annotations

from collections.abc import Sequence

from gentianworks.core.effects.base import Effect
from gentianworks.core.events.replication import (
    AppendRequest,
    AppendResponse,
    PeerMessage,
)
from gentianworks.core.replication.invariants import (
    check_leader,
    check_match,
    check_truncation,
)
from gentianworks.core.replication.log import Entry
from gentianworks.core.replication.peer_messages import (
    defer_until_synced,
    get_replication,
    handle_peer_message,
    reply_to,
    write_journal,
)
from gentianworks.core.replication.replication import ControlRole
from gentianworks.core.replication.rounds import request_read_index
from gentianworks.core.replication.state_machine import commit
from gentianworks.core.state import State


def accept_leader(event: PeerMessage, state: State, now: float) -> None:
    """Accept the sender as the leader of the current term."""
    replication = get_replication(state)
    check_leader(event.source, replication, state)
    replication.role = ControlRole.FOLLOWER
    replication.leader = event.source
    replication.leader_address = event.peer_address
    replication.record_leader_contact(now)


@handle_peer_message.register
def _(event: AppendRequest, state: State, now: float) -> list[Effect]:
    replication = get_replication(state)
    if event.term < replication.vote.term:
        return _respond(event, state, is_accepted=False, index=0)
    is_new = get_replication(state).leader != event.source
    accept_leader(event, state, now)
    reads = request_read_index(state, now) if is_new else []
    retry_index = _find_retry_index(event, state)
    if retry_index is not None:
        return [*reads, *_respond(event, state, is_accepted=False, index=retry_index)]
    effects = reads + _store_entries(event.entries, state)
    index = event.previous.index + len(event.entries)
    effects += commit(min(event.commit_index, index), state, now)
    return effects + _respond(event, state, is_accepted=True, index=index)


def _find_retry_index(event: AppendRequest, state: State) -> int | None:
    replication = get_replication(state)
    log, previous = replication.log, event.previous
    if previous.index <= replication.commit_index:
        return None
    if previous.index > log.last.index:
        return log.last.index
    if log.find_term(previous.index) != previous.term:
        return replication.commit_index
    return None


def _store_entries(entries: Sequence[Entry], state: State) -> list[Effect]:
    replication = get_replication(state)
    log = replication.log
    for number, entry in enumerate(entries):
        index = entry.position.index
        if index <= log.base.index:
            continue
        if log.find_term(index) == entry.position.term:
            check_match(log.get(index), entry, state)
            continue
        if index <= log.last.index:
            _truncate(index, state)
        return _append_entries(tuple(entries[number:]), state)
    return []


def _truncate(first: int, state: State) -> None:
    replication = get_replication(state)
    check_truncation(first, replication, state)
    replication.log.truncate(first)
    for number, (sequence, index) in enumerate(replication.unsynced_writes):
        replication.unsynced_writes[number] = (sequence, min(index, first - 1))


def _append_entries(entries: tuple[Entry, ...], state: State) -> list[Effect]:
    replication = get_replication(state)
    replication.log.append(entries)
    replication.update_membership(state.control.replicated.membership)
    return [write_journal(state, entries)]


def _respond(
    event: AppendRequest, state: State, *, is_accepted: bool, index: int
) -> list[Effect]:
    response = reply_to(
        event,
        AppendResponse,
        state,
        is_accepted=is_accepted,
        index=index,
        round=event.round,
    )
    return defer_until_synced(response, state)
