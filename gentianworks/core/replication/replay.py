"""Replay: rebuilds the state in a control host's data folder, without its group."""

from __future__ import annotations

from gentianworks.core.commands.base import apply_command
from gentianworks.core.events.replication import JournalContents
from gentianworks.core.replication.replicated_state import ReplicatedState


def replay(contents: JournalContents) -> ReplicatedState:
    """Return the replicated state with every entry applied.

    The last entries may never have been accepted by a quorum.
    """
    snapshot = contents.snapshot
    replicated = snapshot.replicated if snapshot else ReplicatedState()
    applied = snapshot.position.index if snapshot else 0
    for entry in contents.entries:
        if entry.position.index > applied:
            apply_command(entry.command, replicated)
    return replicated
