"""Tests of ticks, the aligned due times of the timers of one host."""

from __future__ import annotations

import pytest

from gentianworks.core.ticks import compute_next_tick

NOW = 1_800_000_000.0


class TestTicks:
    def test_of_different_intervals_coincide(self) -> None:
        quarters = set()
        now = NOW
        while now < NOW + 2.0:
            now = compute_next_tick(now, 0.25, 123_456_789)
            quarters.add(round(now, 3))
        second = compute_next_tick(NOW, 1.0, 123_456_789)
        assert round(second, 3) in quarters
        assert len(quarters) == 9

    @pytest.mark.parametrize("early", [0.0, 0.0005])
    def test_a_timer_that_fires_early_is_not_due_again_at_once(
        self, early: float
    ) -> None:
        tick = compute_next_tick(NOW, 0.25, 7)
        following = compute_next_tick(tick - early, 0.25, 7)
        assert following == pytest.approx(tick + 0.25, abs=0.001)

    def test_of_two_hosts_differ(self) -> None:
        assert compute_next_tick(NOW, 0.25, 7) != compute_next_tick(NOW, 0.25, 107)
