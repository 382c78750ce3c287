"""Peers: how control hosts address, check and hold back their messages."""

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
    """Return the replication state of a control host that has loaded its journal."""
    replication = state.control.replication
    if replication is None:
        raise RuntimeError("The journal has not been loaded; load it at the start.")
    return replication


def send_to(
    address: str, target: HostId, kind: type[M], state: State, **values: Any
) -> SendMessage:
    """Return the effect that sends a message of a kind to a host."""
    replication = get_replication(state)
    message = kind(
        sender=state.node.name,
        group=replication.membership.group,
        source=replication.host,
        target=target,
        term=replication.vote.term,
        peer_address=state.node.peer_address,
        **values,
    )
    return SendMessage(address, message)


def reply_to(event: PeerMessage, kind: type[M], state: State, **values: Any) -> Effect:
    """Return the effect that answers a message."""
    return send_to(event.peer_address, event.source, kind, state, **values)


def write(state: State, entries: tuple[Entry, ...] = ()) -> Effect:
    """Return the effect that puts the vote and new entries of the log on disk."""
    replication = get_replication(state)
    replication.writes += 1
    replication.marks.append((replication.writes, replication.log.last.index))
    return WriteJournal(replication.writes, replication.vote, entries)


def hold(effect: Effect, state: State) -> list[Effect]:
    """Return an effect now, or keep it until every write so far is on disk."""
    replication = get_replication(state)
    if replication.synced == replication.writes:
        return [effect]
    replication.held.append((replication.writes, effect))
    return []


def is_for_this_host(event: PeerMessage, state: State) -> bool:
    """Tell whether a message is meant for this host's identity and group."""
    replication = state.control.replication
    if replication is None or event.target != replication.host:
        return False
    group = replication.membership.group
    return not group or event.group in {"", group}


@singledispatch
def receive(event: PeerMessage, state: State, now: float) -> list[Effect]:
    """Take a message of the group whose term has been observed."""
    raise NotImplementedError(
        f"Nothing receives {type(event).__name__}; "
        f"register a function with receive.register."
    )
