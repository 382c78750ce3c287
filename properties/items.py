"""Items: the commands, reads and effects that the control group is tested with."""

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
    """Hold the items that have been added, in order."""

    items: list[str] = field(factory=list)


@frozen
class AddItem(Command):
    """Add an item once; the proposal is its key."""


@frozen
class ItemAdded(Outcome):
    """Say that an item has been added."""


@frozen
class ItemsRead(Event):
    """Continue a read that a quorum has confirmed."""

    read: int


@frozen
class Acknowledge(Effect):
    """Tell the client that its item has been added."""

    item: str


@frozen
class AnswerRead(Effect):
    """Tell the client which items there are."""

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
    return [Acknowledge(command.proposal)]


@reduce.register
def _(event: ItemsRead, state: State, now: float) -> list[Effect]:
    return [AnswerRead(event.read, tuple(list_items(state)))]


def list_items(state: State) -> list[str]:
    """Return the items that a host has applied."""
    replicated = state.control.replicated
    assert isinstance(replicated, ItemList)
    return replicated.items
