"""Reads: a read waits until a quorum has confirmed that this host is current."""

from __future__ import annotations

from gentianworks.core.commands.base import refuse_read
from gentianworks.core.effects.base import Effect
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.peer_messages import get_replication
from gentianworks.core.replication.replication import PendingRead
from gentianworks.core.state import State
from gentianworks.core.types import Problem, ProblemKind

READ_RETRY_AFTER = 1.0  # seconds


def set_read_index(number: int, index: int, state: State) -> None:
    """Set the entry that must be applied before the reads up to `number`."""
    for read in get_replication(state).pending_reads.values():
        if read.number <= number and read.index is None:
            read.index = index


def finish_reads(state: State, now: float) -> list[Effect]:
    """Reduce the continuations of the reads for which this host is current."""
    replication = get_replication(state)
    ready = [
        read
        for read in replication.pending_reads.values()
        if read.index is not None and read.index <= replication.applied_index
    ]
    effects: list[Effect] = []
    for read in ready:
        replication.pending_reads.pop(read.number, None)
        effects += reduce(read.continuation, state, now)
    return effects


def expire_reads(state: State, now: float) -> list[Effect]:
    """Refuse the reads that no quorum has confirmed in time."""
    replication = get_replication(state)
    effects: list[Effect] = []
    for read in list(replication.pending_reads.values()):
        if now >= read.deadline:
            effects += _refuse(read, state, now)
    return effects


def _refuse(read: PendingRead, state: State, now: float) -> list[Effect]:
    del get_replication(state).pending_reads[read.number]
    problem = Problem(
        ProblemKind.NOT_READY,
        f"{state.node.name} could not confirm with a quorum of the control hosts that "
        f"it is current; query another control host or wait for the quorum.",
        retry_after=READ_RETRY_AFTER,
    )
    return refuse_read(read.continuation, problem, state, now)
