"""Peer messages: addressing, checks and deferral until writes are on disk."""

from __future__ import annotations

from functools import singledispatch
from typing import Any, TypeVar

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage
from gentianworks.core.effects.replication import WriteJournal
from gentianworks.core.events.replication import PeerMessage
from gentianworks.core.replication.log import Entry
from gentianworks.core.replication.members import HostId
from gentianworks.core.replication.replication import Replication
from gentianworks.core.state import State

M = TypeVar("M", bound=PeerMessage)


def get_replication(state: State) -> Replication:
    """Return the replication state of a control host.

    Raises RuntimeError if the journal has not been loaded.
    """
    replication = state.control.replication
    if replication is None:
        raise RuntimeError("The journal has not been loaded; load it first.")
    return replication


def send_to(
    address: str, target: HostId, message_class: type[M], state: State, **values: Any
) -> SendMessage:
    """Return the effect that sends a message of a class to a host."""
    replication = get_replication(state)
    message = message_class(
        sender=state.node.name,
        group=replication.membership.group,
        source=replication.host,
        target=target,
        term=replication.vote.term,
        peer_address=state.node.peer_address,
        **values,
    )
    return SendMessage(address, message)


def reply_to(
    event: PeerMessage, message_class: type[M], state: State, **values: Any
) -> Effect:
    """Return the effect that replies to a message."""
    return send_to(event.peer_address, event.source, message_class, state, **values)


def write_journal(state: State, entries: tuple[Entry, ...] = ()) -> Effect:
    """Return the effect that writes the vote and new log entries to disk."""
    replication = get_replication(state)
    replication.write_sequence += 1
    replication.unsynced_writes.append(
        (replication.write_sequence, replication.log.last.index)
    )
    return WriteJournal(replication.write_sequence, replication.vote, entries)


def defer_until_synced(effect: Effect, state: State) -> list[Effect]:
    """Return an effect now, or defer it until all writes so far are on disk."""
    replication = get_replication(state)
    if replication.synced_sequence == replication.write_sequence:
        return [effect]
    replication.deferred_effects.append((replication.write_sequence, effect))
    return []


def is_for_this_host(event: PeerMessage, state: State) -> bool:
    """Return whether a message is addressed to this host's identity and group."""
    replication = state.control.replication
    if replication is None or event.target != replication.host:
        return False
    group = replication.membership.group
    return not group or event.group in {"", group}


@singledispatch
def handle_peer_message(event: PeerMessage, state: State, now: float) -> list[Effect]:
    """Handle a message of the group whose term has been observed."""
    raise NotImplementedError(
        f"No handler for {type(event).__name__}; "
        f"register one with handle_peer_message.register."
    )
