"""Items: commands, reads and effects of a list that the test hosts replicate."""

from __future__ import annotations

from attrs import define, field, frozen

from gentianworks.core.commands.base import (
    Command,
    Outcome,
    apply_command,
    handle_outcome,
)
from gentianworks.core.effects.base import Effect
from gentianworks.core.events.base import Event
from gentianworks.core.handlers import reduce
from gentianworks.core.replication.replicated_state import ReplicatedState
from gentianworks.core.state import State


@define
class ItemList(ReplicatedState):
    """Replicated list of items, in the order of their addition."""

    items: list[str] = field(factory=list)


@frozen
class AddItem(Command):
    """Add an item, named by the proposal; a repeated proposal has no effect."""


@frozen
class ItemAdded(Outcome):
    """Outcome of an item's addition."""


@frozen
class ReadConfirmed(Event):
    """Occurs when a quorum has confirmed a read."""

    read: int


@frozen
class AcknowledgeItem(Effect):
    """Acknowledge to the client that its item has been added."""

    item: str


@frozen
class AnswerRead(Effect):
    """Answer a client's read with the items that the host has applied."""

    read: int
    items: tuple[str, ...]


@apply_command.register
def _(command: AddItem, replicated: ReplicatedState) -> ItemAdded:
    assert isinstance(replicated, ItemList)
    if command.proposal not in replicated.items:
        replicated.items.append(command.proposal)
    return ItemAdded()


@handle_outcome.register
def _(outcome: ItemAdded, command: Command, state: State, now: float) -> list[Effect]:
    return [AcknowledgeItem(command.proposal)]


@reduce.register
def _(event: ReadConfirmed, state: State, now: float) -> list[Effect]:
    return [AnswerRead(event.read, tuple(list_items(state)))]


def list_items(state: State) -> list[str]:
    """Return the items that a host has applied."""
    replicated = state.control.replicated
    assert isinstance(replicated, ItemList)
    return replicated.items
