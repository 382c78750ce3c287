"""Tests of wait estimates and of the admission level that routers receive."""

from __future__ import annotations

import pytest

from gentianworks.core.admission.fairness import FairQueue, Ticket
from gentianworks.core.admission.levels import compute_level
from gentianworks.core.admission.wait_estimates import (
    LEVEL_LIFETIME,
    MAX_WAIT_RATIO,
    MIN_WAIT_RATIO,
    QueueKey,
    SlotForecast,
    Throughput,
    estimate_wait,
    is_closed,
)
from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.routing.backoff import EndpointBackoff
from gentianworks.core.state import State
from gentianworks.core.types import (
    AdmissionLevel,
    ClosedQueue,
    Configuration,
    Endpoint,
    Node,
    Rank,
    RankWait,
    Request,
    Role,
    Service,
    ServiceKind,
)

SUBMISSIONS = Rank("submissions", 0, 0.3, 2.0)
QUESTIONS = Rank("questions", 1, 0.1, 2.0)
RANKS = (SUBMISSIONS, QUESTIONS)
SLOTS = SlotForecast((0.05, 0.1, 0.15, 0.2))
COST = 10
SECONDS_PER_TOKEN = 0.02
RUN_TIME = COST * SECONDS_PER_TOKEN


def build_queue(rank: str, workspace: str, count: int) -> FairQueue:
    """Return a queue of attempts that cost 10 tokens each."""
    queue = FairQueue()
    for number in range(count):
        queue.add(Ticket(f"{workspace}-{number}", rank, workspace, COST))
    return queue


def estimate(
    queue: FairQueue,
    rank: Rank,
    workspace: str,
    seconds_per_token: float = SECONDS_PER_TOKEN,
) -> float:
    """Return the estimated wait of one more attempt."""
    throughput = Throughput(seconds_per_token, COST)
    return estimate_wait(queue, rank, workspace, RANKS, throughput, SLOTS)


def compute_idle_level(queue: FairQueue) -> AdmissionLevel:
    """Return the level of an idle endpoint with a queue."""
    agent = AgentState(
        "e1", queue=queue, throughput=Throughput(SECONDS_PER_TOKEN, COST)
    )
    services = (Service("chat", ServiceKind.MODEL, load_floor=4),)
    endpoints = (Endpoint("e1", "chat", "a", "", "", 4),)
    state = State(
        node=Node("agent", Role.AGENT, "r", "a", "", ""),
        agent=agent,
        configuration=Configuration(1, RANKS, (), services, endpoints),
    )
    return compute_level(agent, state, 100.0)


class TestWait:
    def test_is_unknown_before_the_first_measurement(self) -> None:
        assert (
            estimate(build_queue("questions", "large", 99), QUESTIONS, "large", 0.0)
            == 0.0
        )

    def test_without_a_queue_is_the_time_until_the_next_free_slot(self) -> None:
        assert estimate(FairQueue(), SUBMISSIONS, "large") == 0.05

    def test_includes_the_attempts_queued_ahead(self) -> None:
        queue = build_queue("submissions", "large", 42)
        wait = estimate(queue, SUBMISSIONS, "large")
        assert wait == pytest.approx(0.15 + 10 * RUN_TIME)

    def test_is_short_for_a_small_workspace(self) -> None:
        queue = build_queue("submissions", "large", 40)
        assert estimate(queue, SUBMISSIONS, "small") == 0.1

    def test_assumes_only_the_guaranteed_share_under_more_urgent_load(self) -> None:
        throughput = Throughput(SECONDS_PER_TOKEN, COST)
        for _ in range(200):
            throughput.record_start("submissions")
        share = throughput.compute_available_share(
            QUESTIONS, RANKS, {"submissions", "questions"}
        )
        assert share == QUESTIONS.guaranteed_share

    @pytest.mark.parametrize(("credit", "starts"), [(-10.0, 9), (-5.0, 5), (0.0, 0)])
    def test_includes_the_credit_of_the_rank(self, credit: float, starts: int) -> None:
        queue = build_queue("submissions", "large", 40)
        queue.get_or_create_rank("questions").credit = credit
        throughput = Throughput(SECONDS_PER_TOKEN, COST)
        for _ in range(200):
            throughput.record_start("submissions")
        wait = estimate_wait(queue, QUESTIONS, "w", RANKS, throughput, SLOTS)
        assert wait == SLOTS.estimate_start(starts, RUN_TIME)


class TestWaitRatio:
    KEY = QueueKey("questions", "large")

    def test_stays_constant_if_one_wait_in_twenty_is_late(self) -> None:
        throughput = Throughput(SECONDS_PER_TOKEN, COST)
        for number in range(400):
            waited = 2.0 if number % 20 == 0 else 0.5
            throughput.record_wait(self.KEY, 1.0, waited)
        assert throughput.get_wait_ratio(self.KEY) == pytest.approx(1.0, abs=0.25)

    @pytest.mark.parametrize(
        ("waited", "ratio"), [(2.0, MAX_WAIT_RATIO), (0.5, MIN_WAIT_RATIO)]
    )
    def test_is_bounded(self, waited: float, ratio: float) -> None:
        throughput = Throughput(SECONDS_PER_TOKEN, COST)
        for _ in range(100):
            throughput.record_wait(self.KEY, 1.0, waited)
        assert throughput.get_wait_ratio(self.KEY) == ratio


class TestLevel:
    def test_closes_the_queue_of_an_overloading_workspace(self) -> None:
        queue = build_queue("questions", "large", 99)
        queue.add(Ticket("s", "questions", "small", COST))
        level = compute_idle_level(queue)
        assert level.closed == (ClosedQueue("questions", "large"),)
        assert level.retry_after >= 1.0

    def test_closes_a_rank_that_many_workspaces_overload(self) -> None:
        queue = FairQueue()
        for number in range(200):
            queue.add(Ticket(f"a{number}", "questions", f"w{number}", COST))
        assert compute_idle_level(queue).closed == (ClosedQueue("questions"),)

    def test_reports_the_wait_of_each_workspace_with_queued_work(self) -> None:
        queue = build_queue("questions", "large", 9)
        for number in range(4):
            queue.add(Ticket(f"s{number}", "questions", "small", COST))
        waits = {
            item.workspace: item.seconds for item in compute_idle_level(queue).waits
        }
        assert waits["large"] > waits["small"] > waits.get("", 0.0)

    def test_closes_nothing_without_a_queue(self) -> None:
        assert not compute_idle_level(FairQueue()).closed

    def test_shows_whether_a_request_would_be_refused(self) -> None:
        level = compute_idle_level(build_queue("questions", "large", 99))
        large = Request("chat", "large", "questions", "POST", "/", (), b"")
        small = Request("chat", "small", "questions", "POST", "/", (), b"")
        assert is_closed(level, large)
        assert not is_closed(level, small)


class TestRouterBackoff:
    def test_skips_an_endpoint_that_would_refuse(self) -> None:
        backoff = EndpointBackoff()
        level = AdmissionLevel((ClosedQueue("questions"),), 3.0)
        backoff.record_level("e1", level, 100.0)
        low_priority = Request("chat", "w", "questions", "POST", "/", (), b"")
        urgent = Request("chat", "w", "submissions", "POST", "/", (), b"")
        assert backoff.is_skipped("e1", low_priority, 100.5)
        assert not backoff.is_skipped("e1", urgent, 100.5)
        assert not backoff.is_skipped("e2", low_priority, 100.5)

    def test_estimates_the_wait_of_each_workspace_separately(self) -> None:
        backoff = EndpointBackoff()
        waits = (RankWait("questions", 0.2), RankWait("questions", 1.5, "busy"))
        backoff.record_level("e1", AdmissionLevel(waits=waits), 100.0)
        for workspace, wait in (("busy", 1.5), ("idle", 0.2)):
            request = Request("chat", workspace, "questions", "POST", "/", (), b"")
            assert backoff.estimate_wait("e1", request, 100.0) == wait

    def test_uses_the_endpoint_again_once_the_level_has_expired(self) -> None:
        backoff = EndpointBackoff()
        level = AdmissionLevel((ClosedQueue("questions"),), 3.0)
        backoff.record_level("e1", level, 100.0)
        low_priority = Request("chat", "w", "questions", "POST", "/", (), b"")
        assert not backoff.is_skipped("e1", low_priority, 100.1 + LEVEL_LIFETIME)
