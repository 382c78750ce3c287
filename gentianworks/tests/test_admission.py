"""Tests of early refusals and of the level that routers hear of."""

from __future__ import annotations

import pytest

from gentianworks.core.admission.admission import (
    LEVEL_LIFETIME,
    MAX_WAIT_RATIO,
    MIN_WAIT_RATIO,
    QueueName,
    Slots,
    Throughput,
    estimate_wait,
    is_closed,
)
from gentianworks.core.admission.fairness import FairQueue, Ticket
from gentianworks.core.admission.levels import find_level
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
SLOTS = Slots((0.05, 0.1, 0.15, 0.2))
COST = 10
PACE = 0.02  # seconds a token
RUN = COST * PACE


def fill(rank: str, workspace: str, count: int) -> FairQueue:
    """Return a queue of attempts that cost 10 tokens each."""
    queue = FairQueue()
    for number in range(count):
        queue.add(Ticket(f"{workspace}-{number}", rank, workspace, COST))
    return queue


def estimate(queue: FairQueue, rank: Rank, workspace: str, pace: float = PACE) -> float:
    """Return the wait at a pace in seconds a token."""
    throughput = Throughput(pace, COST)
    return estimate_wait(queue, rank, workspace, RANKS, throughput, SLOTS)


def measure(queue: FairQueue) -> AdmissionLevel:
    """Return the level of an idle endpoint with a queue."""
    agent = AgentState("e1", queue=queue, throughput=Throughput(PACE, COST))
    services = (Service("chat", ServiceKind.MODEL, load_floor=4),)
    endpoints = (Endpoint("e1", "chat", "a", "", "", 4),)
    state = State(
        node=Node("agent", Role.AGENT, "r", "a", "", ""),
        agent=agent,
        configuration=Configuration(1, RANKS, (), services, endpoints),
    )
    return find_level(agent, state, 100.0)


class TestWait:
    def test_is_unknown_before_the_first_measurement(self) -> None:
        assert estimate(fill("questions", "large", 99), QUESTIONS, "large", 0.0) == 0.0

    def test_is_that_for_the_next_slot_without_a_queue(self) -> None:
        assert estimate(FairQueue(), SUBMISSIONS, "large") == 0.05

    def test_counts_what_starts_before(self) -> None:
        queue = fill("submissions", "large", 42)
        wait = estimate(queue, SUBMISSIONS, "large")
        assert wait == pytest.approx(0.15 + 10 * RUN)

    def test_is_short_for_a_small_workspace(self) -> None:
        queue = fill("submissions", "large", 40)
        assert estimate(queue, SUBMISSIONS, "small") == 0.1

    def test_counts_on_no_more_than_the_share_in_a_more_urgent_flood(self) -> None:
        throughput = Throughput(PACE, COST)
        for _ in range(200):
            throughput.note_start("submissions")
        share = throughput.find_share(QUESTIONS, RANKS, {"submissions", "questions"})
        assert share == QUESTIONS.guaranteed_share

    @pytest.mark.parametrize(("credit", "starts"), [(-10.0, 9), (-5.0, 5), (0.0, 0)])
    def test_counts_on_the_credit_of_the_share(
        self, credit: float, starts: int
    ) -> None:
        queue = fill("submissions", "large", 40)
        queue.find_rank("questions").credit = credit
        throughput = Throughput(PACE, COST)
        for _ in range(200):
            throughput.note_start("submissions")
        wait = estimate_wait(queue, QUESTIONS, "w", RANKS, throughput, SLOTS)
        assert wait == SLOTS.find_start(starts, RUN)


class TestWaitRatio:
    NAME = QueueName("questions", "large")

    def test_stays_where_one_wait_in_twenty_is_late(self) -> None:
        throughput = Throughput(PACE, COST)
        for number in range(400):
            waited = 2.0 if number % 20 == 0 else 0.5
            throughput.note_wait(self.NAME, 1.0, waited)
        assert throughput.find_wait_ratio(self.NAME) == pytest.approx(1.0, abs=0.25)

    @pytest.mark.parametrize(
        ("waited", "ratio"), [(2.0, MAX_WAIT_RATIO), (0.5, MIN_WAIT_RATIO)]
    )
    def test_is_bounded(self, waited: float, ratio: float) -> None:
        throughput = Throughput(PACE, COST)
        for _ in range(100):
            throughput.note_wait(self.NAME, 1.0, waited)
        assert throughput.find_wait_ratio(self.NAME) == ratio


class TestLevel:
    def test_names_the_workspace_that_floods(self) -> None:
        queue = fill("questions", "large", 99)
        queue.add(Ticket("s", "questions", "small", COST))
        level = measure(queue)
        assert level.closed == (ClosedQueue("questions", "large"),)
        assert level.retry_after >= 1.0

    def test_closes_a_rank_that_many_workspaces_flood(self) -> None:
        queue = FairQueue()
        for number in range(200):
            queue.add(Ticket(f"a{number}", "questions", f"w{number}", COST))
        assert measure(queue).closed == (ClosedQueue("questions"),)

    def test_tells_the_wait_of_a_workspace_that_has_work_queued(self) -> None:
        queue = fill("questions", "large", 9)
        for number in range(4):
            queue.add(Ticket(f"s{number}", "questions", "small", COST))
        waits = {item.workspace: item.seconds for item in measure(queue).waits}
        assert waits["large"] > waits["small"] > waits.get("", 0.0)

    def test_is_open_without_a_queue(self) -> None:
        assert not measure(FairQueue()).closed

    def test_tells_whether_a_request_would_be_refused(self) -> None:
        level = measure(fill("questions", "large", 99))
        large = Request("chat", "large", "questions", "POST", "/", (), b"")
        small = Request("chat", "small", "questions", "POST", "/", (), b"")
        assert is_closed(level, large)
        assert not is_closed(level, small)


class TestImports:
    def test_passes_over_an_endpoint_that_would_refuse(self) -> None:
        avoidance = EndpointBackoff()
        level = AdmissionLevel((ClosedQueue("questions"),), 3.0)
        avoidance.record_level("e1", level, 100.0)
        casual = Request("chat", "w", "questions", "POST", "/", (), b"")
        urgent = Request("chat", "w", "submissions", "POST", "/", (), b"")
        assert avoidance.is_skipped("e1", casual, 100.5)
        assert not avoidance.is_skipped("e1", urgent, 100.5)
        assert not avoidance.is_skipped("e2", casual, 100.5)

    def test_knows_the_wait_of_a_workspace_apart(self) -> None:
        avoidance = EndpointBackoff()
        waits = (RankWait("questions", 0.2), RankWait("questions", 1.5, "busy"))
        avoidance.record_level("e1", AdmissionLevel(waits=waits), 100.0)
        for workspace, wait in (("busy", 1.5), ("idle", 0.2)):
            request = Request("chat", workspace, "questions", "POST", "/", (), b"")
            assert avoidance.estimate_wait("e1", request, 100.0) == wait

    def test_asks_again_once_the_level_is_old(self) -> None:
        avoidance = EndpointBackoff()
        level = AdmissionLevel((ClosedQueue("questions"),), 3.0)
        avoidance.record_level("e1", level, 100.0)
        casual = Request("chat", "w", "questions", "POST", "/", (), b"")
        assert not avoidance.is_skipped("e1", casual, 100.1 + LEVEL_LIFETIME)
