"""Tests of the ledger's windows, limits, records and releases."""

from __future__ import annotations

import pytest

from gentianworks.core.ledger import ledger as ledger_module
from gentianworks.core.ledger.expired_keys import (
    EXPIRED_KEY_WINDOW,
    KEYS_PER_SEGMENT,
    ExpiredKeys,
)
from gentianworks.core.ledger.ledger import (
    MAX_CLOCK_STEP,
    RECORD_WINDOW,
    Decision,
    Ledger,
    Registration,
    advance_clock,
    claim_key,
    record_run,
    register_incarnation,
    release_key,
)
from gentianworks.core.ledger.records import MAX_CONTENDERS
from gentianworks.core.ledger.types import ClaimStatus, ClaimVerdict, RecordedAnswer
from gentianworks.core.quarantine.fingerprints import compute_key_id

NOW = 1000.0
BODY = b"x" * 100


def build_ledger() -> Ledger:
    """Return a ledger with one registered endpoint."""
    ledger = Ledger()
    advance_clock(ledger, NOW)
    register_incarnation("e1", Registration(1, 7), ledger)
    return ledger


def claim(ledger: Ledger, name: str, holder: str = "x1") -> Decision:
    key = compute_key_id("parish", name)
    return claim_key(key, "digest", holder, "e1", 0, ledger)


def run(ledger: Ledger, name: str) -> None:
    claimed = claim(ledger, name).claim
    assert claimed is not None
    answer = RecordedAnswer(200, (), BODY)
    record_run(claimed, ClaimStatus.RAN, answer, ledger)


def pass_window(ledger: Ledger) -> None:
    """Advance the clock past the record window, one bounded step at a time."""
    for _ in range(int(RECORD_WINDOW / MAX_CLOCK_STEP) + 1):
        advance_clock(ledger, ledger.clock + MAX_CLOCK_STEP)


class TestWindow:
    def test_a_key_older_than_the_window_is_not_run_again(self) -> None:
        ledger = build_ledger()
        run(ledger, "k")
        pass_window(ledger)
        assert ledger.records == {}
        assert claim(ledger, "k", "x2").verdict is ClaimVerdict.KEY_EXPIRED

    def test_a_clock_far_ahead_does_not_expire_all_records(self) -> None:
        ledger = build_ledger()
        run(ledger, "k")
        advance_clock(ledger, NOW + 10 * RECORD_WINDOW)
        assert claim(ledger, "k", "x2").verdict is ClaimVerdict.RAN

    def test_the_oldest_key_expires_beyond_the_limit(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(ledger_module, "MAX_RECORDS", 2)
        ledger = build_ledger()
        for name in ("a", "b", "c"):
            run(ledger, name)
        advance_clock(ledger, NOW + 1)
        assert claim(ledger, "a", "x2").verdict is ClaimVerdict.KEY_EXPIRED
        assert claim(ledger, "b", "x2").verdict is ClaimVerdict.RAN

    def test_the_oldest_body_is_dropped_beyond_the_limit(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(ledger_module, "MAX_TOTAL_ANSWER_BYTES", 2 * len(BODY))
        ledger = build_ledger()
        for name in ("a", "b", "c"):
            run(ledger, name)
        answers = [claim(ledger, name, "x2").answer for name in ("a", "b", "c")]
        assert [answer and answer.is_whole for answer in answers] == [
            False,
            True,
            True,
        ]

    def test_expired_keys_are_stored_in_segments_until_the_window_ends(self) -> None:
        keys = ExpiredKeys()
        names = [compute_key_id("parish", str(n)) for n in range(KEYS_PER_SEGMENT + 1)]
        for name in names:
            keys.add(name, NOW)
        assert len(keys.segments) == 1
        assert all(name in keys for name in names)
        assert compute_key_id("parish", "other") not in keys
        keys.drop_old(NOW + EXPIRED_KEY_WINDOW + 1)
        assert names[0] not in keys
        assert names[-1] not in keys


class TestRecord:
    def test_a_voided_attempt_is_never_recorded_as_run(self) -> None:
        ledger = build_ledger()
        claimed = claim(ledger, "k").claim
        assert claimed is not None
        release_key(claimed.key, "digest", "x1", claimed.number, False, ledger)
        record_run(claimed, ClaimStatus.RAN, RecordedAnswer(200, (), BODY), ledger)
        assert ledger.records[claimed.key].status is ClaimStatus.NOT_RUN

    def test_an_unknown_outcome_may_become_known(self) -> None:
        ledger = build_ledger()
        claimed = claim(ledger, "k").claim
        assert claimed is not None
        record_run(claimed, ClaimStatus.UNKNOWN, None, ledger)
        record_run(claimed, ClaimStatus.RAN, RecordedAnswer(200, (), BODY), ledger)
        record_run(claimed, ClaimStatus.UNKNOWN, None, ledger)
        assert claim(ledger, "k", "x2").verdict is ClaimVerdict.RAN


class TestRegistration:
    def test_a_new_incarnation_makes_earlier_claims_unknown(self) -> None:
        ledger = build_ledger()
        claim(ledger, "k")
        register_incarnation("e1", Registration(2, 8), ledger)
        assert claim(ledger, "k", "x2").verdict is ClaimVerdict.UNKNOWN

    def test_a_used_ordinal_returns_the_current_registration(self) -> None:
        ledger = build_ledger()
        current = register_incarnation("e1", Registration(1, 8), ledger)
        assert current == Registration(1, 7)

    def test_a_late_message_of_an_earlier_incarnation_is_ignored(self) -> None:
        ledger = build_ledger()
        register_incarnation("e1", Registration(2, 8), ledger)
        claim(ledger, "k")
        register_incarnation("e1", Registration(1, 7), ledger)
        assert claim(ledger, "k", "x2").verdict is ClaimVerdict.IN_PROGRESS


class TestRelease:
    def test_not_run_is_not_confirmed_while_another_exchange_wants_the_key(
        self,
    ) -> None:
        ledger = build_ledger()
        key = compute_key_id("parish", "k")
        claim(ledger, "k")
        claim(ledger, "k", "x2")
        decision = release_key(key, "digest", "x1", 0, True, ledger)
        assert decision.verdict is ClaimVerdict.CONTENDED

    def test_a_holder_that_claims_again_still_has_a_contender(self) -> None:
        ledger = build_ledger()
        key = compute_key_id("parish", "k")
        claim(ledger, "k")
        claim(ledger, "k", "x2")
        release_key(key, "digest", "x1", 1, False, ledger)
        claim_key(key, "digest", "x1", "e1", 1, ledger)
        decision = release_key(key, "digest", "x1", 2, True, ledger)
        assert decision.verdict is ClaimVerdict.CONTENDED

    def test_a_delayed_copy_of_a_claim_is_not_granted_after_its_release(self) -> None:
        ledger = build_ledger()
        key = compute_key_id("parish", "k")
        claim(ledger, "k")
        release_key(key, "digest", "x1", 1, False, ledger)
        assert claim(ledger, "k").verdict is ClaimVerdict.NOT_RUN

    def test_a_holder_between_two_claims_still_wants_its_key(self) -> None:
        ledger = build_ledger()
        key = compute_key_id("parish", "k")
        claim(ledger, "k")
        release_key(key, "digest", "x1", 1, False, ledger)
        claim(ledger, "k", "x2")
        decision = release_key(key, "digest", "x2", 2, True, ledger)
        assert decision.verdict is ClaimVerdict.CONTENDED

    def test_an_exchange_that_received_unknown_may_still_want_the_key(self) -> None:
        ledger = build_ledger()
        key = compute_key_id("parish", "k")
        claim(ledger, "k")
        register_incarnation("e1", Registration(2, 8), ledger)
        assert claim(ledger, "k", "x2").verdict is ClaimVerdict.UNKNOWN
        decision = release_key(key, "digest", "x1", 0, True, ledger)
        assert decision.verdict is ClaimVerdict.CONTENDED

    def test_the_last_exchange_to_release_the_key_receives_not_run(self) -> None:
        ledger = build_ledger()
        key = compute_key_id("parish", "k")
        claim(ledger, "k")
        claim(ledger, "k", "x2")
        first = release_key(key, "digest", "x1", 1, True, ledger)
        assert first.verdict is ClaimVerdict.CONTENDED
        claim(ledger, "k", "x2")
        second = release_key(key, "digest", "x2", 2, True, ledger)
        assert second.verdict is ClaimVerdict.NOT_RUN

    def test_a_full_list_of_contenders_never_shrinks(self) -> None:
        ledger = build_ledger()
        key = compute_key_id("parish", "k")
        claim(ledger, "k")
        names = [f"y{number}" for number in range(MAX_CONTENDERS + 1)]
        for name in names:
            claim(ledger, "k", name)
        release_key(key, "digest", names[0], 1, False, ledger)
        release_key(key, "digest", "x1", 1, True, ledger)
        claim(ledger, "k", names[0])
        for name in names[1:MAX_CONTENDERS]:
            release_key(key, "digest", name, 0, True, ledger)
        decision = release_key(key, "digest", names[0], 2, True, ledger)
        assert decision.verdict is ClaimVerdict.CONTENDED

    def test_a_repeated_release_gets_the_same_answer(self) -> None:
        ledger = build_ledger()
        key = compute_key_id("parish", "k")
        claim(ledger, "k")
        for _ in range(2):
            decision = release_key(key, "digest", "x1", 0, True, ledger)
            assert decision.verdict is ClaimVerdict.NOT_RUN
