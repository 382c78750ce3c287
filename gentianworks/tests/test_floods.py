"""Tests of the entitlements and shares that the flood benchmarks compute."""

from __future__ import annotations

import pytest

from benchmarks.tools.floods import (
    RANKS,
    REQUESTS_PER_SECOND,
    SERVICE_TIME,
    Phase,
    compute_entitlement,
    compute_shares,
)
from benchmarks.tools.traffic import HTTP_OK, Flow, Outcome, Piece

PHASE = Phase("submissions", 10.0, 20.0)
PATIENCE = 30.0  # seconds
QUESTIONS_RANK = RANKS[2]


def build_outcome(
    rank: str, sent_at: float, piece_times: tuple[float, ...] = ()
) -> Outcome:
    """Return an outcome with pieces of one size at the given times."""
    flow = Flow(rank, rank, "w", 1.0, 0.0, 30.0)
    pieces = tuple(Piece(at, 1) for at in piece_times)
    return Outcome(flow, 0.0, sent_at, sent_at, 30.0, HTTP_OK, True, pieces=pieces)


class TestEntitlement:
    def compute(self, times: list[float]) -> float:
        """Return the share due to questions that are sent at the given times."""
        sent = [build_outcome("questions", at) for at in times]
        return compute_entitlement(QUESTIONS_RANK, sent, PHASE, PATIENCE)

    def test_is_the_guaranteed_share_if_enough_is_sent(self) -> None:
        times = [10.0 + number // 4 / 4 for number in range(160)]
        assert self.compute(times) == pytest.approx(QUESTIONS_RANK.guaranteed_share)

    def test_is_what_was_sent_if_that_is_less(self) -> None:
        capacity = REQUESTS_PER_SECOND * (PHASE.end - PHASE.begin)
        assert self.compute([11.0, 12.0]) == pytest.approx(2 / capacity)
        assert self.compute([20.0 - SERVICE_TIME / 2]) == pytest.approx(0.5 / capacity)
        assert self.compute([]) == 0.0


class TestShares:
    def test_count_the_pieces_received_during_the_phase(self) -> None:
        outcomes = [
            build_outcome("questions", 9.0, (9.5, 9.9, 11.0, 12.0)),
            build_outcome("drafts", 12.0, (13.0, 14.0, 15.0, 16.0)),
            build_outcome("drafts", 19.0, (19.5, 19.9, 20.5, 21.0)),
        ]
        shares = compute_shares(outcomes, PHASE)
        assert shares["questions"] == 0.25
        assert shares["drafts"] == 0.75
