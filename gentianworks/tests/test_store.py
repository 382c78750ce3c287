"""Tests of what a process does when its disk fails."""

from __future__ import annotations

from pathlib import Path
from typing import cast

import pytest
from anyio.abc import TaskGroup

from gentianworks.core.effects.replication import SaveSnapshot
from gentianworks.core.replication.log import Position, Snapshot, Vote
from gentianworks.core.replication.replicated import Replicated
from gentianworks.core.types import Role
from gentianworks.process import Process
from gentianworks.storage.errors import EXIT_STORAGE
from gentianworks.storage.journal import Journal
from gentianworks.storage.store import Store
from gentianworks.tests.fixtures import build_state


class TestStore:
    def test_a_failed_write_ends_the_process_with_an_error(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def fail(journal: Journal, snapshot: Snapshot) -> None:
            raise OSError("No space is left.")

        monkeypatch.setattr(Journal, "save_snapshot", fail)
        exits: list[int] = []
        process = Process(
            build_state(Role.CONTROL), cast(TaskGroup, None), exit=exits.append
        )
        store = Store(Journal(tmp_path))
        base = Position(1, 1)
        snapshot = Snapshot(base, Replicated())
        effect = SaveSnapshot(1, "host", Vote(1, "host"), snapshot, base)
        with pytest.raises(OSError, match="space"):
            store.save(effect, process)
        assert exits == [EXIT_STORAGE]
