"""Tests of the guard that tracks the attempts that an agent ran or voided."""

from __future__ import annotations

import pytest

from gentianworks.core.ledger import tombstones
from gentianworks.core.ledger.tombstones import AtMostOnceGuard, AttemptStatus
from gentianworks.core.ledger.types import Claim, VoidVerdict


class TestAtMostOnceGuard:
    def test_forgets_the_oldest_settled_attempt_and_never_runs_it(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(tombstones, "MAX_TRACKED_ATTEMPTS", 2)
        guard = AtMostOnceGuard()
        running, ended, last, next_one = (
            Claim(f"key-{number}", number, "e1", 7) for number in range(1, 5)
        )
        guard.add(running, AttemptStatus.RUNNING)
        guard.add(ended, AttemptStatus.ENDED)
        guard.add(last, AttemptStatus.NOT_RUN)
        assert guard.find_verdict(running) is VoidVerdict.IN_PROGRESS
        assert guard.find_verdict(ended) is VoidVerdict.FORGOTTEN
        assert guard.find_verdict(last) is VoidVerdict.VOIDED
        assert guard.find_verdict(next_one) is None
