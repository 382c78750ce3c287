"""Tests of how routers keep to the limits that replicas name for all of them together.

A replica that was short of capacity got far more requests than it allowed, since each
router, or nobody, counted them.
"""

from __future__ import annotations

from attrs import evolve

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.callers import RefuseRequest
from gentianworks.core.effects.gateway import CallReplica
from gentianworks.core.effects.lifecycle import LogEvent, SendMessage
from gentianworks.core.events.membership import Heartbeat, HeartbeatAnswer
from gentianworks.core.gateway.notices import ReplicaNotices
from gentianworks.core.gateway.replicas import ListVersion
from gentianworks.core.handlers import reduce
from gentianworks.core.request_limits.checks import MAX_RETRY_AFTER
from gentianworks.core.request_limits.replica_limits import (
    CHANGE_TOLERANCE,
    END_DELAY,
    LEADER_TIMEOUT,
    MIN_LIMIT,
    RAISE_DELAY,
    RENEWAL_TIME,
    TRANSITION_TIME,
    LentShare,
)
from gentianworks.core.state import State
from gentianworks.core.types import ProblemKind, RunState
from gentianworks.tests.gateways import (
    CHAT,
    NOW,
    TABLE,
    answer_call,
    build_gateway,
    get_effect,
    get_gateway,
    send_call,
)

LEADER = "tcp://10.0.0.1:1"
URGENT, ORDINARY = "/chat/1", "/report/1"


def build_router(replicas: int = 2) -> State:
    """Return a router whose leader has just answered."""
    state = build_gateway(replicas)
    report = evolve(CHAT, name="report", path_prefix="/report/", rank=1)
    get_gateway(state).table = evolve(TABLE, routes=(*TABLE.routes, report))
    lend(state, NOW, 0)
    return state


def lend(
    state: State,
    now: float,
    number: int,
    age: float = TRANSITION_TIME,
    limit: float = 4.0,
    **rates: float,
) -> None:
    """Reduce a leader's answer that lends shares of limits in requests a second."""
    shares = tuple(
        LentShare(name.replace("_", "-"), limit, rate, age)
        for name, rate in rates.items()
    )
    answer = HeartbeatAnswer(
        "control-1",
        LEADER,
        0,
        (),
        (),
        limits_version=ListVersion(1, number),
        limits=shares,
    )
    reduce(answer, state, now)


def keep_contact(state: State, now: float) -> None:
    """Reduce a leader's answer that changes nothing."""
    lend(state, now, get_gateway(state).limits.version.number)


def name_limit(
    state: State, limit: float | None, now: float = NOW, defect: str = ""
) -> list[Effect]:
    """Let a replica answer a call with a limit and return the effects."""
    keep_contact(state, now)
    sent = get_effect(CallReplica, send_call(state, now, f"x-{now}"))
    notices = ReplicaNotices(limit, defect)
    return answer_call(sent, state, now, notices=notices)


def build_limited(rate: float = 2.0) -> State:
    """Return a router with a share of the limit of the only replica."""
    state = build_router(1)
    lend(state, NOW, 1, engines_1=rate)
    return state


def count_sent(state: State, now: float, calls: int, path: str = URGENT) -> int:
    """Return how many of some calls are sent to a replica."""
    keep_contact(state, now)
    effects = [
        effect
        for number in range(calls)
        for effect in send_call(state, now, f"{path}-{now}-{number}", path=path)
    ]
    return sum(isinstance(item, CallReplica) for item in effects)


def list_heartbeats(effects: list[Effect]) -> list[Heartbeat]:
    """Return the heartbeats that effects send."""
    messages = [item.message for item in effects if isinstance(item, SendMessage)]
    return [item for item in messages if isinstance(item, Heartbeat)]


def get_limits(state: State) -> dict[str, float | None]:
    """Return the limits that a router knows."""
    limits = get_gateway(state).limits
    return {name: limits.get_limit(name) for name in limits.list_limited()}


class TestNotices:
    def test_a_new_limit_is_reported_to_the_leader_at_once(self) -> None:
        state = build_router()
        first, second = (
            get_effect(CallReplica, send_call(state, NOW, name)) for name in ("a", "b")
        )
        notices = ReplicaNotices(1.4)
        effects = answer_call(first, state, notices=notices)
        (heartbeat,) = list_heartbeats(effects)
        (report,) = heartbeat.limits
        assert report.limit == 1.4
        logs = [item.code for item in effects if isinstance(item, LogEvent)]
        assert logs == ["GW5122"]
        assert list_heartbeats(answer_call(second, state, notices=notices)) == []

    def test_an_answer_without_it_ends_a_limit_after_a_while(self) -> None:
        state = build_limited(4.0)
        name_limit(state, 4.0, NOW + 2)
        name_limit(state, None, NOW + 2 + END_DELAY * 0.9)
        assert get_limits(state) == {"engines-1": 4.0}
        effects = name_limit(state, None, NOW + 2 + END_DELAY * 1.1)
        logs = [item.code for item in effects if isinstance(item, LogEvent)]
        assert logs == ["GW5123"]
        (heartbeat,) = list_heartbeats(effects)
        assert heartbeat.limits[0].limit is None
        assert get_limits(state) == {}

    def test_a_value_that_is_no_number_ends_no_limit(self) -> None:
        state = build_limited()
        name_limit(state, None, NOW + 2 * END_DELAY, defect="not a number")
        assert get_limits(state) == {"engines-1": 4.0}

    def test_a_value_that_is_no_number_is_logged_once(self) -> None:
        state = build_router(1)
        codes = [
            item.code
            for now in (NOW, NOW + 1)
            for item in name_limit(state, None, now, defect="not a number")
            if isinstance(item, LogEvent)
        ]
        assert codes == ["GW5124"]

    def test_an_unsigned_answer_ends_no_limit(self) -> None:
        state = build_limited()
        now = NOW + 2 * END_DELAY
        sent = get_effect(CallReplica, send_call(state, now, "x2"))
        answer_call(sent, state, now, is_signed=False)
        assert get_limits(state) == {"engines-1": 4.0}

    def test_a_limit_of_zero_leaves_a_request_now_and_then(self) -> None:
        state = build_router(1)
        name_limit(state, 0.0)
        assert get_limits(state) == {"engines-1": MIN_LIMIT}

    def test_two_values_that_alternate_count_as_the_lower(self) -> None:
        state = build_limited(4.0)
        news = 0
        for number in range(20):
            limit, now = (2.0, 40.0)[number % 2], NOW + 1 + number / 2
            news += len(list_heartbeats(name_limit(state, limit, now)))
            lend(state, now, 2, limit=2.0, engines_1=2.0)
        assert get_limits(state) == {"engines-1": 2.0}
        assert news == 1

    def test_a_higher_limit_counts_after_a_while(self) -> None:
        state = build_limited(4.0)
        name_limit(state, 4.0 * (1 + CHANGE_TOLERANCE / 2), NOW + 1)
        name_limit(state, 40.0, NOW + 2)
        assert get_limits(state) == {"engines-1": 4.0}
        name_limit(state, 40.0, NOW + 2 + RAISE_DELAY)
        assert get_limits(state) == {"engines-1": 40.0}


class TestShares:
    def test_a_router_without_a_share_sends_nothing(self) -> None:
        state = build_router(2)
        lend(state, NOW, 1, engines_1=0.0)
        sent = set()
        for number in range(40):
            keep_contact(state, NOW + number)
            effects = send_call(state, NOW + number, f"x{number}", prompt=())
            sent.add(get_effect(CallReplica, effects).replica.name)
        assert sent == {"engines-2"}

    def test_a_share_is_used_up_and_comes_back(self) -> None:
        state = build_limited()
        assert count_sent(state, NOW, 10) == 0
        assert count_sent(state, NOW + 1, 10) == 2
        assert count_sent(state, NOW + 1.5, 10) == 1
        assert count_sent(state, NOW + 60, 10) == 2

    def test_a_share_is_not_filled_for_the_time_before_it_was_lent(self) -> None:
        state = build_limited(0.0)
        assert count_sent(state, NOW + 1, 1) == 0
        lend(state, NOW + 100, 2, engines_1=1.0)
        assert count_sent(state, NOW + 100, 5) == 0
        assert count_sent(state, NOW + 101, 5) == 1

    def test_an_attempt_that_is_refused_uses_a_share_too(self) -> None:
        state = build_router(2)
        lend(state, NOW, 1, engines_1=1.0, engines_2=0.0)
        sent = get_effect(CallReplica, send_call(state, NOW + 1, "x1"))
        assert sent.replica.name == "engines-1"
        notices = ReplicaNotices(4.0)
        refused = answer_call(
            sent, state, NOW + 1, status=503, is_not_run=True, notices=notices
        )
        assert get_effect(RefuseRequest, refused).problem.retry_after > 0
        assert count_sent(state, NOW + 1, 5) == 0

    def test_the_calls_of_a_new_limit_move_little_by_little(self) -> None:
        state = build_router(2)
        lend(state, NOW, 1, age=0.0, engines_1=0.0)
        limits, subjects = get_gateway(state).limits, range(100)
        counts = []
        for quarter in range(5):
            now = NOW + quarter / 4 * TRANSITION_TIME
            counts.append(
                sum(limits.may_send("engines-1", f"s{n}", now) for n in subjects)
            )
        assert counts[0] == 100
        assert counts == sorted(counts, reverse=True)
        assert 30 < counts[2] < 70
        assert counts[-1] == 0

    def test_a_silent_leader_leaves_each_router_an_even_share(self) -> None:
        state = build_router(1)
        get_gateway(state).router_count = 8
        lend(state, NOW, 1, engines_1=0.0)
        began_at = NOW + LEADER_TIMEOUT + 1
        effects = [
            effect
            for tick in range(160)
            for effect in send_call(state, began_at + tick / 4, f"x{tick}")
        ]
        sent = sum(isinstance(item, CallReplica) for item in effects)
        assert 19 <= sent <= 21

    def test_a_replica_is_asked_whether_its_limit_holds(self) -> None:
        state = build_router(3)
        lend(state, NOW, 1, engines_1=1.0)
        at = NOW + RENEWAL_TIME + 1
        for number in range(10):
            sent = get_effect(CallReplica, send_call(state, at, f"x{number}"))
            assert (sent.replica.name == "engines-1") == (number == 0)

    def test_few_calls_at_limited_replicas_make_no_others_spill(self) -> None:
        state = build_router(3)
        gateway = get_gateway(state)
        busy = get_effect(CallReplica, send_call(state, NOW, "x1")).replica
        names = {"engines_1", "engines_2", "engines_3"}
        limited = names - {busy.name.replace("-", "_")}
        lend(state, NOW, 1, **dict.fromkeys(limited, 4.0))
        gateway.registry.get_load(busy.name).own_calls = 20
        sent = get_effect(CallReplica, send_call(state, NOW + 1, "x2"))
        assert sent.replica == busy

    def test_a_replica_is_asked_again_after_an_answer_too_soon_to_end_it(self) -> None:
        state = build_limited(4.0)
        name_limit(state, 4.0, NOW + 2)
        name_limit(state, None, NOW + 2 + END_DELAY * 0.9)
        assert get_gateway(state).limits.is_renewal_due(
            "engines-1", NOW + 2 + END_DELAY
        )

    def test_a_new_leader_learns_the_limits_from_the_routers(self) -> None:
        state = build_limited()
        answer = HeartbeatAnswer(
            "control-2", LEADER, 0, (), (), limits_version=ListVersion(2, 0)
        )
        reduce(answer, state, NOW + 1)
        limits = get_gateway(state).limits
        (report,) = limits.list_reports(NOW + 1)
        assert report.replica == "engines-1"
        assert report.limit == 4.0
        assert report.age >= TRANSITION_TIME
        assert limits.get_rate("engines-1") == 2.0


class TestRefusals:
    """All replicas of a service limit their requests, and more calls come."""

    def play(self, state: State, urgent: int, ordinary: int) -> tuple[int, int]:
        """Send calls four times a second for 30 s and return how many are sent."""
        sent = [0, 0]
        for tick in range(1, 121):
            now = NOW + tick / 4
            sent[1] += count_sent(state, now, ordinary, ORDINARY)
            sent[0] += count_sent(state, now, urgent, URGENT)
        return sent[0], sent[1]

    def test_are_immediate_and_tell_when_to_return(self) -> None:
        state = build_limited()
        problems = [
            item.problem
            for number in range(20)
            for item in send_call(state, NOW + 1, f"x{number}")
            if isinstance(item, RefuseRequest)
        ]
        assert len(problems) == 18
        for problem in problems:
            assert problem.kind is ProblemKind.OVERLOADED
            assert problem.run_state is RunState.NOT_RUN
            assert 0 < problem.retry_after <= 2 * MAX_RETRY_AFTER
        assert problems[-1].retry_after > problems[0].retry_after

    def test_urgent_calls_come_first(self) -> None:
        urgent, ordinary = self.play(build_limited(), urgent=2, ordinary=2)
        assert urgent >= 2 * ordinary
        assert 50 <= urgent + ordinary <= 62

    def test_leave_the_less_urgent_calls_a_part(self) -> None:
        urgent, ordinary = self.play(build_limited(), urgent=4, ordinary=1)
        assert ordinary >= 0.2 * (urgent + ordinary)

    def test_ordinary_calls_use_what_urgent_ones_leave(self) -> None:
        _, ordinary = self.play(build_limited(), urgent=0, ordinary=1)
        assert 55 <= ordinary <= 62

    def test_calls_of_before_the_limit_use_nothing_up(self) -> None:
        state = build_router(2)
        lend(state, NOW, 1, engines_1=0.0)
        assert count_sent(state, NOW, 20, ORDINARY) == 20
        lend(state, NOW, 2, engines_1=0.0, engines_2=4.0)
        assert count_sent(state, NOW + 1, 1, URGENT) == 1
        assert count_sent(state, NOW + 1, 1, ORDINARY) == 1
