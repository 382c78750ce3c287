"""Tests of the bound on an endpoint's load."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentianworks.core.load.bound import (
    MEAN_TIMEOUT,
    LoadBound,
    compute_bound,
    compute_fresh_bound,
    compute_start_bound,
)
from gentianworks.core.types import Load, Service, ServiceKind

RUN_TIME = 8.0  # seconds
USUAL_RUN_TIME = 8.6  # seconds
LEADER_CHANGE_TIME = 2.8  # seconds
SERVICE = Service("chat", ServiceKind.MODEL, load_multiple=1.5, load_floor=4)


class TestBound:
    def test_is_the_floor_without_a_mean(self) -> None:
        assert compute_bound(SERVICE, Load(), 1e9) == LoadBound(4, 4, 0)

    def test_is_a_multiple_of_the_mean(self) -> None:
        total = Load(requests=50, cost=1000, endpoints=5)
        assert compute_bound(SERVICE, total, 0.0) == LoadBound(4, 15, 300)

    @given(st.floats(0, 200), st.floats(0, 200))
    def test_never_grows_while_the_mean_ages(self, first: float, second: float) -> None:
        total = Load(requests=500, cost=10_000, endpoints=5)
        earlier, later = sorted((first, second))
        before = compute_bound(SERVICE, total, earlier, RUN_TIME)
        after = compute_bound(SERVICE, total, later, RUN_TIME)
        assert before.requests >= after.requests >= SERVICE.load_floor
        assert before.cost >= after.cost

    def test_shrinks_to_the_floor(self) -> None:
        total = Load(requests=500, cost=10_000, endpoints=5)
        bound = compute_bound(SERVICE, total, RUN_TIME, RUN_TIME)
        assert (bound.requests, bound.cost) == (SERVICE.load_floor, 0)

    @given(st.floats(MEAN_TIMEOUT, RUN_TIME), st.integers(5, 500))
    def test_is_kept_while_work_ends_evenly_and_none_starts(
        self, age: float, requests: int
    ) -> None:
        total = Load(requests=requests, cost=10_000, endpoints=5)
        remaining = requests * max(0.0, 1.0 - age / RUN_TIME)
        allowed = math.ceil(SERVICE.load_multiple * remaining / total.endpoints)
        bound = compute_bound(SERVICE, total, age, RUN_TIME)
        assert bound.requests <= max(SERVICE.load_floor, allowed)

    def test_allows_an_even_load_of_usual_work_during_a_change_of_leader(self) -> None:
        total = Load(requests=100, cost=10_000, endpoints=5)
        bound = compute_bound(SERVICE, total, LEADER_CHANGE_TIME, USUAL_RUN_TIME)
        assert not bound.is_exceeded(Load(requests=20, cost=2000))

    @pytest.mark.parametrize(
        ("load", "cost", "fits"),
        [
            (Load(3, 10_000), 10_000, True),
            (Load(4, 100), 200, True),
            (Load(4, 101), 200, False),
            (Load(8, 0), 1, False),
        ],
    )
    def test_counts_cost_beyond_the_floor(
        self, load: Load, cost: int, fits: bool
    ) -> None:
        assert LoadBound(4, 8, 300).has_room(load, cost) is fits


class TestStart:
    def test_stops_before_running_work_is_suspended(self) -> None:
        total = Load(requests=100, cost=10_000, endpoints=5)
        age = 0.9 * MEAN_TIMEOUT
        running = compute_bound(SERVICE, total, age, RUN_TIME)
        start = compute_start_bound(SERVICE, total, age, RUN_TIME)
        assert (running.requests, start.requests) == (30, 27)
        assert start.cost < running.cost

    @given(st.floats(0.0, MEAN_TIMEOUT, exclude_max=True), st.floats(0.01, 60.0))
    def test_allows_an_even_load_while_sums_arrive(
        self, age: float, run_time: float
    ) -> None:
        total = Load(requests=100, cost=10_000, endpoints=5)
        start = compute_start_bound(SERVICE, total, age, run_time)
        assert start.has_room(Load(requests=19, cost=1900), 100)


class TestRamp:
    def test_lets_an_idle_service_become_busy_in_a_few_heartbeats(self) -> None:
        running, heartbeats = SERVICE.load_floor, 0
        while running < 64:
            total = Load(requests=5 * running, cost=50 * running, endpoints=5)
            running = compute_fresh_bound(SERVICE, total).requests
            heartbeats += 1
        assert heartbeats <= 8

    @given(st.integers(4, 100), st.integers(2, 50))
    def test_first_endpoint_with_a_new_sum_stays_within_the_multiple(
        self, running: int, endpoints: int
    ) -> None:
        total = Load(requests=running * endpoints, endpoints=endpoints)
        peak = compute_fresh_bound(SERVICE, total).requests
        mean = (running * (endpoints - 1) + peak) / endpoints
        assert peak <= math.ceil(SERVICE.load_multiple * mean)
