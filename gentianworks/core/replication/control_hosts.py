"""Control hosts: sends messages to the control hosts in turn."""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage
from gentianworks.core.events.base import Message
from gentianworks.core.state import State


def send_to_control(message: Message, turn: int, state: State) -> list[Effect]:
    """Send a message to one control host; successive turns use different hosts."""
    addresses = state.control_addresses
    if not addresses:
        return []
    return [SendMessage(addresses[turn % len(addresses)], message)]
