"""Routers: sends messages to the routers that the leading control host hears."""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage
from gentianworks.core.events.base import Message
from gentianworks.core.replication.elections import is_leading
from gentianworks.core.state import State

MAX_NOTIFIED_ROUTERS = 64  # by a push; other routers are told after a heartbeat


def notify_routers(message: Message, state: State, now: float) -> list[Effect]:
    """Send a message to the routers that this host hears, if it leads."""
    if not is_leading(state, now):
        return []
    routers = list(state.router_heartbeats)[:MAX_NOTIFIED_ROUTERS]
    return [SendMessage(address, message) for address in routers]
