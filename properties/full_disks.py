"""Full disks: a control group whose disks take no more writes for a while.

As in the store, writes wait on a full disk and are synced together soon after it has
room again, and a snapshot that waits is sent to hosts that need it.
"""

from __future__ import annotations

import copy

from attrs import define, field

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.replication import SaveSnapshot, WriteJournal
from gentianworks.core.events.replication import JournalSynced
from gentianworks.storage.store import DISK_FULL_RETRY_INTERVAL
from properties.control_group import SimulatedGroup


@define
class FullDiskGroup(SimulatedGroup):
    """Control group with hosts whose disks are full, by number."""

    full_disks: set[int] = field(factory=set)

    def fill_disk(self, number: int) -> None:
        """Let a host's disk take no more writes."""
        self.full_disks.add(number)

    def free_disk(self, number: int) -> None:
        """Let a host's disk take writes again."""
        self.full_disks.discard(number)
        host = self.hosts[number]
        if host.is_up and host.disk.unsynced:
            synced = JournalSynced(host.disk.unsynced[-1].sequence)
            delay = self.rng.uniform(0.0, DISK_FULL_RETRY_INTERVAL)
            self.schedule(delay, number, synced, host.generation)

    def _perform_all(self, number: int, effects: list[Effect]) -> None:
        if number not in self.full_disks:
            super()._perform_all(number, effects)
            return
        disk = self.hosts[number].disk
        for effect in effects:
            if isinstance(effect, (WriteJournal, SaveSnapshot)):
                disk.unsynced.append(copy.deepcopy(effect))
            else:
                super()._perform_all(number, [effect])
