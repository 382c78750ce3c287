"""Seeds: the control hosts that the settings name, which may change at any time.

A leader asks seeds that are not in contact whether they know the group. Seeds without a
disk that all restart at once know of no other host, and nobody else can tell them.
"""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent, SetTimer
from gentianworks.core.effects.membership import ReadSeeds
from gentianworks.core.events.membership import SeedCheckDue, SeedsRead
from gentianworks.core.reducer import reduce
from gentianworks.core.state import State
from gentianworks.core.types import Role

SEED_CHECK_INTERVAL = 1.0  # seconds; settings also change without a signal


def start_seed_checks(state: State, now: float) -> list[Effect]:
    """Return the timer of the first check if this host discovers its group by seeds."""
    if not state.discovers_control_hosts or state.node.role is not Role.CONTROL:
        return []
    return [SetTimer(now + SEED_CHECK_INTERVAL, SeedCheckDue())]


@reduce.register
def _(event: SeedCheckDue, state: State, now: float) -> list[Effect]:
    timer = SetTimer(now + SEED_CHECK_INTERVAL, SeedCheckDue())
    return [ReadSeeds(), timer, *_use_changed_seeds(state)]


@reduce.register
def _(event: SeedsRead, state: State, now: float) -> list[Effect]:
    if event.addresses and state.node.role is Role.CONTROL:
        state.changed_seeds = event.addresses
    return _use_changed_seeds(state)


def _use_changed_seeds(state: State) -> list[Effect]:
    """Use the seeds that were read last, unless this host may still form the group.

    Hosts that had no contact with the others since the first start would form a second
    group if the settings named just them.
    """
    replication, before = state.control.replication, state.control_addresses
    if replication is None or state.changed_seeds in {(), before}:
        return []
    if state.is_first_start and not replication.is_formed:
        return []
    state.control_addresses = state.changed_seeds
    details = (("before", " ".join(before)), ("after", " ".join(state.changed_seeds)))
    return [LogEvent("GW1012", details)]
