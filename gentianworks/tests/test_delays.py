"""Tests of delays that double with each failure.

A router exited at the 1,025th failure in a row at one replica, when the delay no longer
fitted into a float.
"""

from __future__ import annotations

import pytest

from gentianworks.core.delays import double_delay
from gentianworks.core.membership.roster import MAX_HOLD_TIME, compute_hold_time
from gentianworks.core.replica_list.fetches import ListFetches
from gentianworks.core.routing.backoff import MAX_FAILURE_SKIP, EndpointBackoff
from gentianworks.tests.fixtures import NOW

FAILURES = 5_000


class TestDelays:
    @pytest.mark.parametrize(
        ("doublings", "delay"), [(0, 0.25), (1, 0.5), (4, 4.0), (5, 5.0), (10**9, 5.0)]
    )
    def test_a_delay_doubles_up_to_its_maximum(
        self, doublings: int, delay: float
    ) -> None:
        assert double_delay(0.25, doublings, 5.0) == delay

    def test_any_number_of_failures_of_an_endpoint_is_counted(self) -> None:
        backoff = EndpointBackoff()
        for number in range(FAILURES):
            backoff.record_failure("i-1", NOW + number)
        last = NOW + FAILURES - 1
        assert backoff.is_unavailable("i-1", last + MAX_FAILURE_SKIP - 0.01)
        assert not backoff.is_unavailable("i-1", last + MAX_FAILURE_SKIP)
        backoff.record_contact("i-1")
        assert not backoff.is_unavailable("i-1", last)

    def test_any_number_of_returns_of_a_node_is_counted(self) -> None:
        assert compute_hold_time(FAILURES) == MAX_HOLD_TIME

    def test_any_number_of_failed_fetches_is_counted(self) -> None:
        fetches = ListFetches(1.0, permitted_rate=40.0)
        for _ in range(FAILURES):
            fetches.record_failure()
        for is_throttled in (False, True):
            assert 0 < fetches.compute_retry_delay(is_throttled, 1.0) < 60.0
