"""Tests of how the leading control host divides replicas' limits among routers.

Shares that are even, or that two routers hold at once, let the fleet send a replica far
more requests than it allows.
"""

from __future__ import annotations

import pytest

from gentianworks.core.gateway.replicas import ListVersion, Replica
from gentianworks.core.request_limits.replica_limits import (
    END_DELAY,
    LentShare,
    ReportedLimit,
)
from gentianworks.core.request_limits.shares import (
    ENDED_LIFETIME,
    MAX_ASSIGNMENTS,
    SETTLE_TIME,
    LimitTable,
)

NOW = 1000.0
SETTLED_AT = NOW + SETTLE_TIME
REPLICAS = {
    name: Replica(name, service, f"10.0.0.{number}:80", "a", 8)
    for number, (name, service) in enumerate(
        [("e1", "engines"), ("e2", "engines"), ("e3", "engines"), ("b1", "books")]
    )
}


def build_table(routers: int) -> LimitTable:
    """Return the table of a leader that some routers have sent heartbeats."""
    table = LimitTable()
    table.begin_term(1, NOW)
    for number in range(routers):
        table.record_router(f"router-{number}", is_leaving=False)
    return table


def report(
    table: LimitTable, name: str, limit: float | None, now: float = SETTLED_AT
) -> None:
    """Record that a router has just heard of a limit, or of its end."""
    table.record_reports((ReportedLimit(name, limit, 0.0),), now)


def list_rates(
    table: LimitTable, name: str, now: float = SETTLED_AT
) -> dict[str, float]:
    """Return the shares of a replica's limit by router, without those of zero."""
    rates = {}
    for number in range(100):
        router = f"router-{number}"
        shares = table.list_shares(router, ListVersion(), REPLICAS, now)
        for share in shares:
            if share.replica == name and share.rate:
                rates[router] = share.rate
    return rates


class TestDivision:
    @pytest.mark.parametrize(
        ("routers", "limit", "holders"),
        [(9, 1.4, 1), (9, 0.3, 1), (9, 4.0, 4), (70, 7.4, 7), (3, 50.0, 3)],
    )
    def test_each_share_allows_a_request_a_second(
        self, routers: int, limit: float, holders: int
    ) -> None:
        table = build_table(routers)
        report(table, "e1", limit)
        rates = list_rates(table, "e1")
        assert len(rates) == holders
        assert sum(rates.values()) == pytest.approx(limit)

    def test_the_replicas_of_a_service_are_lent_to_different_routers(self) -> None:
        table = build_table(3)
        for name in ("e1", "e2", "e3"):
            report(table, name, 1.0)
        holders = [
            name for item in ("e1", "e2", "e3") for name in list_rates(table, item)
        ]
        assert sorted(holders) == ["router-0", "router-1", "router-2"]

    def test_every_router_is_told_of_the_limit(self) -> None:
        table = build_table(5)
        report(table, "e1", 1.0)
        for number in range(5):
            (share,) = table.list_shares(
                f"router-{number}", ListVersion(), REPLICAS, SETTLED_AT + 0.5
            )
            assert share.limit == 1.0
            assert share.age == pytest.approx(0.5)

    def test_a_router_that_knows_the_version_is_told_nothing(self) -> None:
        table = build_table(2)
        report(table, "e1", 1.0)
        assert list_rates(table, "e1")
        assert table.list_shares("router-0", table.version, REPLICAS, SETTLED_AT) == ()

    def test_many_limits_are_divided_a_few_at_a_time(self) -> None:
        table = build_table(3)
        count = 2 * MAX_ASSIGNMENTS + 1
        for number in range(count):
            report(table, f"e{number:03}", 1.0)
        divided = []
        for _ in range(4):
            shares = table.list_shares("router-0", ListVersion(), {}, SETTLED_AT)
            assert len(shares) == count
            divided.append(sum(bool(x.holders) for x in table.entries.values()))
        assert divided == [MAX_ASSIGNMENTS, 2 * MAX_ASSIGNMENTS, count, count]
        assert table.version == ListVersion(1, 3)


class TestHolders:
    def test_keep_their_shares_while_routers_come_and_go(self) -> None:
        table = build_table(9)
        report(table, "e1", 2.0)
        before = list_rates(table, "e1")
        others = [f"router-{n}" for n in range(9) if f"router-{n}" not in before]
        table.remove_router(others[0])
        table.record_router("router-9", is_leaving=False)
        assert list_rates(table, "e1") == before
        assert table.version == ListVersion(1, 1)

    @pytest.mark.parametrize("is_leaving", [False, True])
    def test_are_replaced_when_they_are_silent_or_leave(self, is_leaving: bool) -> None:
        table = build_table(9)
        report(table, "e1", 2.0)
        before = list_rates(table, "e1")
        gone = next(iter(before))
        if is_leaving:
            table.record_router(gone, is_leaving=True)
        else:
            table.remove_router(gone)
        after = list_rates(table, "e1")
        assert len(after) == 2
        assert gone not in after
        assert len(set(after) & set(before)) == 1

    def test_are_chosen_once_a_new_leader_knows_the_routers(self) -> None:
        table = build_table(1)
        report(table, "e1", 2.0, NOW)
        assert list_rates(table, "e1", NOW + SETTLE_TIME * 0.9) == {}
        assert table.version == ListVersion(1, 0)
        table.record_router("router-1", is_leaving=False)
        assert len(list_rates(table, "e1")) == 2


class TestReports:
    def test_an_end_removes_a_limit(self) -> None:
        table = build_table(3)
        report(table, "e1", 2.0)
        assert list_rates(table, "e1")
        report(table, "e1", None, SETTLED_AT + END_DELAY)
        assert list_rates(table, "e1") == {}
        assert table.version == ListVersion(1, 2)

    def test_an_end_that_others_contradict_is_ignored(self) -> None:
        table = build_table(3)
        report(table, "e1", 2.0)
        report(table, "e1", None, SETTLED_AT + END_DELAY / 2)
        assert list_rates(table, "e1")

    def test_an_older_report_does_not_renew_a_limit_that_ended(self) -> None:
        table = build_table(3)
        report(table, "e1", 2.0)
        ended_at = SETTLED_AT + END_DELAY
        report(table, "e1", None, ended_at)
        old = ReportedLimit("e1", 2.0, age=0.4)
        table.record_reports((old,), ended_at + 0.3)
        assert table.entries == {}
        report(table, "e1", 2.0, ended_at + 0.5)
        assert "e1" in table.entries

    def test_a_changed_limit_changes_the_shares(self) -> None:
        table = build_table(9)
        report(table, "e1", 4.0)
        assert len(list_rates(table, "e1")) == 4
        report(table, "e1", 1.5, SETTLED_AT + 1)
        assert list(list_rates(table, "e1").values()) == [1.5]

    def test_a_replica_that_is_no_longer_listed_has_no_limit(self) -> None:
        table = build_table(3)
        report(table, "gone", 2.0)
        table.retain_listed({}, SETTLED_AT)
        assert "gone" in table.entries
        table.retain_listed(REPLICAS, SETTLED_AT)
        assert table.entries == {}

    def test_ends_are_forgotten(self) -> None:
        table = build_table(3)
        report(table, "e1", None)
        table.retain_listed(REPLICAS, SETTLED_AT + ENDED_LIFETIME + 1)
        assert table.ended_at == {}

    def test_the_first_report_tells_when_a_limit_began(self) -> None:
        table = build_table(1)
        late = ReportedLimit("e1", 2.0, age=0.0)
        early = ReportedLimit("e1", 2.0, age=3.0)
        table.record_reports((late,), SETTLED_AT)
        table.record_reports((early,), SETTLED_AT)
        (share,) = table.list_shares("router-0", ListVersion(), REPLICAS, SETTLED_AT)
        assert share == LentShare("e1", 2.0, 2.0, age=3.0)
