"""Tests of an agent's memory of the attempts that it ran or voided."""

from __future__ import annotations

import pytest

from gentianworks.core.ledger import tombstones
from gentianworks.core.ledger.tombstones import AttemptMark, OnceGuard
from gentianworks.core.ledger.types import Claim, VoidVerdict


class TestOnceGuard:
    def test_forgets_the_oldest_settled_attempt_and_takes_it_for_seen(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(tombstones, "MAX_REMEMBERED_ATTEMPTS", 2)
        guard = OnceGuard()
        running, ended, last, next_one = (
            Claim(f"key-{number}", number, "e1", 7) for number in range(1, 5)
        )
        guard.add(running, AttemptMark.RUNNING)
        guard.add(ended, AttemptMark.ENDED)
        guard.add(last, AttemptMark.NOT_RUN)
        assert guard.find_verdict(running) is VoidVerdict.IN_PROGRESS
        assert guard.find_verdict(ended) is VoidVerdict.FORGOTTEN
        assert guard.find_verdict(last) is VoidVerdict.VOIDED
        assert guard.find_verdict(next_one) is None
