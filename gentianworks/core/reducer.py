"""Reducer: the only reducer; every subject registers its handlers with it."""

from __future__ import annotations

from functools import singledispatch

from gentianworks.core.effects.base import Effect
from gentianworks.core.events.base import Event
from gentianworks.core.state import State


@singledispatch
def reduce(event: Event, state: State, now: float) -> list[Effect]:
    """Update `state` for an event at `now` (seconds) and return the effects."""
    raise NotImplementedError(
        f"No handler is registered for {type(event).__name__}; "
        f"register one with reduce.register in the module of its subject."
    )
