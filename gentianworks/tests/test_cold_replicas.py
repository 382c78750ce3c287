"""Tests of how routers treat replicas that the list shows as cold.

A replica that has just started crashed under the calls that returned to it at once, and
each router that kept to the cold rate by itself sent as much as the fleet may send.
"""

from __future__ import annotations

import json

import pytest
from attrs import evolve

from gentianworks.codecs.messages import MessageCodec
from gentianworks.core.cold_replicas.registry import (
    HANDOVER_TIME,
    LENT_PART,
    RAMP_TIME,
    ColdRate,
    ColdRates,
    ColdReplicas,
)
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.gateway import CallReplica
from gentianworks.core.effects.lifecycle import LogEvent
from gentianworks.core.evacuations.registry import LIST_LAG
from gentianworks.core.events.cold_replicas import ReplicaDisconnected, RestartWaitEnded
from gentianworks.core.events.gateway import (
    ReplicaCallFailed,
    ReplicaFailure,
    ReplicaListFetched,
    RoutesDecoded,
)
from gentianworks.core.events.membership import HeartbeatAnswer
from gentianworks.core.gateway.notices import ReplicaNotices
from gentianworks.core.gateway.replicas import ListVersion
from gentianworks.core.handlers import reduce
from gentianworks.core.membership.heartbeats import build_heartbeat
from gentianworks.core.request_limits.replica_limits import (
    LEADER_TIMEOUT,
    LentShare,
    LimitChange,
    ReportedLimit,
)
from gentianworks.core.request_limits.shares import SETTLE_TIME, LimitTable
from gentianworks.core.state import State
from gentianworks.platform.replica_listing import decode_page
from gentianworks.tests.gateways import (
    CHAT,
    NOW,
    TABLE,
    answer_call,
    build_gateway,
    build_replicas,
    get_effect,
    get_gateway,
    send_call,
)

COLD_RATE = 12.0
COLD_LIMIT = COLD_RATE * LENT_PART
REPORT = evolve(CHAT, name="report", path_prefix="/report/", rank=1)
COLD_TABLE = evolve(
    TABLE,
    routes=(*TABLE.routes, REPORT),
    services=tuple(
        evolve(item, cold_rate=COLD_RATE, cold_time=3.0)
        for item in TABLE.services
        if item.name == "engines"
    ),
)


def list_replicas(
    state: State, now: float, cold: tuple[int, ...] = (), count: int = 2
) -> list[Effect]:
    """Reduce a list that a router fetched, and return the effects."""
    replicas = tuple(
        evolve(item, is_cold=number in cold)
        for number, item in enumerate(build_replicas("engines", count, 64), 1)
    )
    get_gateway(state).list_fetches.begin(now)
    return reduce(ReplicaListFetched(replicas), state, now)


def lend(state: State, now: float, number: int, **rates: float) -> None:
    """Reduce a leader's answer that lends shares of cold replicas."""
    shares = tuple(
        LentShare(name.replace("_", "-"), COLD_LIMIT, rate, is_cold=True)
        for name, rate in rates.items()
    )
    version = ListVersion(1, number)
    answer = HeartbeatAnswer(
        "c", "tcp://c:1", 0, (), (), limits_version=version, limits=shares
    )
    reduce(answer, state, now)


def build_router(cold: tuple[int, ...] = (), count: int = 2) -> State:
    """Return a router with a leader, some of whose replicas are cold."""
    state = build_gateway(count)
    reduce(RoutesDecoded(3, COLD_TABLE), state, NOW)
    lend(state, NOW, 1)
    list_replicas(state, NOW + 0.1, cold, count)
    return state


def list_sent(
    state: State, now: float, calls: int = 40, path: str = "/chat/1"
) -> list[str]:
    """Send calls about different subjects; return the replicas that get one."""
    effects = [
        effect
        for number in range(calls)
        for effect in send_call(
            state, now, f"{path}{now}{number}", path=path, request_id=f"r{number}"
        )
    ]
    return [item.replica.name for item in effects if isinstance(item, CallReplica)]


def list_codes(effects: list[Effect]) -> list[str]:
    """Return the codes of the logged events."""
    return [item.code for item in effects if isinstance(item, LogEvent)]


class TestListing:
    ENTRY = {
        "id": "i",
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "a",
        "slots": 4,
        "state": "ready",
    }

    @pytest.mark.parametrize(
        ("remaining", "is_cold"),
        [
            (1500, True),
            (0.5, True),
            (0, False),
            (-3, False),
            (None, False),
            ("900", False),
            (True, False),
            ([], False),
            (float("inf"), False),
            (float("nan"), False),
        ],
    )
    def test_a_broken_time_means_not_cold_and_rejects_nothing(
        self, remaining: object, is_cold: bool
    ) -> None:
        entries = [{**self.ENTRY, "coldRemainingMs": remaining}, self.ENTRY]
        page = decode_page(json.dumps({"instances": entries}).encode())
        assert [item.is_cold for item in page.replicas] == [is_cold, False]

    def test_a_shorter_remaining_time_is_no_change_of_the_list(self) -> None:
        pages = [
            decode_page(
                json.dumps(
                    {"instances": [{**self.ENTRY, "coldRemainingMs": time}]}
                ).encode()
            )
            for time in (2000, 900)
        ]
        assert pages[0].replicas == pages[1].replicas


class TestShares:
    def test_a_cold_replica_gets_nothing_without_a_share(self) -> None:
        assert set(list_sent(build_router(cold=(1,)), NOW + 0.2)) == {"engines-2"}

    def test_a_share_allows_its_rate(self) -> None:
        state = build_router(cold=(1, 2))
        lend(state, NOW + 0.2, 2, engines_1=1.0)
        sent = [list_sent(state, NOW + 1.2 + at / 10, 3) for at in range(30)]
        assert [name for names in sent for name in names] == ["engines-1"] * 3

    def test_the_cold_rate_of_another_service_limits_nothing(self) -> None:
        state = build_gateway(2)
        lend(state, NOW, 1)
        assert list_replicas(state, NOW + 0.1, cold=(1, 2))
        assert len(list_sent(state, NOW + 0.2)) == 40
        assert get_gateway(state).limits.is_empty()

    def test_a_table_that_arrives_later_limits_replicas_already_listed(self) -> None:
        state = build_gateway(2)
        list_replicas(state, NOW, cold=(1,))
        effects = reduce(RoutesDecoded(3, COLD_TABLE), state, NOW)
        assert list_codes(effects) == ["GW5135"]

    def test_the_lower_limit_counts_if_a_cold_replica_names_one(self) -> None:
        state = build_router(cold=(1,), count=1)
        lend(state, NOW + 0.2, 2, engines_1=COLD_LIMIT)
        sent = get_effect(CallReplica, send_call(state, NOW + 1.0))
        answer_call(sent, state, NOW + 1.0, notices=ReplicaNotices(3.0))
        limits = get_gateway(state).limits
        assert limits.get_limit("engines-1") == limits.get_rate("engines-1") == 3.0

    def test_the_end_of_a_named_limit_does_not_refill_a_cold_replicas_share(
        self,
    ) -> None:
        """Each end would let the routers send what they have just used once more."""
        state = build_router(cold=(1,), count=1)
        lend(state, NOW + 0.2, 2, engines_1=1.0)
        sent = get_effect(CallReplica, send_call(state, NOW + 2.0))
        limits = get_gateway(state).limits
        answer_call(sent, state, NOW + 2.0, notices=ReplicaNotices(100.0))
        before = limits._refill("engines-1", NOW + 2.6).level
        replica = get_gateway(state).registry.replicas["engines-1"]
        change = limits.record_notices(replica, ReplicaNotices(), NOW + 2.6)
        assert change is LimitChange.ENDED
        assert limits._refill("engines-1", NOW + 2.6).level == before

    def test_buckets_of_replicas_that_left_the_list_are_forgotten(self) -> None:
        state = build_router(cold=(1, 2))
        lend(state, NOW + 0.2, 2, engines_1=1.0, engines_2=1.0)
        list_replicas(state, NOW + 1, (), count=1)
        assert set(get_gateway(state).limits._tokens) <= {"engines-1"}

    def test_urgent_calls_use_a_share_first(self) -> None:
        state = build_router(cold=(1, 2))
        lend(state, NOW + 0.2, 2, engines_1=1.0, engines_2=1.0)
        counts = {"/chat/1": 0, "/report/1": 0}
        for at in range(1, 41):
            lend(state, NOW + at / 4, 2)
            for path in ("/report/1", "/chat/1"):
                counts[path] += len(list_sent(state, NOW + at / 4, 2, path))
        assert counts["/chat/1"] > 2 * counts["/report/1"] > 0

    def test_a_share_that_moves_to_a_router_begins_a_second_later(self) -> None:
        state = build_router(cold=(1, 2))
        lend(state, NOW + 0.2, 2, engines_1=0.0)
        lend(state, NOW + 4.0, 3, engines_1=1.0)
        assert not list_sent(state, NOW + 3.99 + HANDOVER_TIME)
        assert list_sent(state, NOW + 4.01 + 2 * HANDOVER_TIME)


class TestTurns:
    def test_a_router_without_a_leader_sends_one_request_in_its_turn(self) -> None:
        state = build_router(cold=(1,), count=1)
        start, counts = NOW + LEADER_TIMEOUT + HANDOVER_TIME + 0.1, []
        assert not list_sent(state, start - HANDOVER_TIME)
        period = 1 / get_gateway(state).limits.cold.compute_even_rate(COLD_LIMIT)
        for turn in range(3):
            counts.append(0)
            for at in range(100):
                now = start + (turn + at / 100) * period
                counts[-1] += len(list_sent(state, now, 2))
        assert counts == [1, 1, 1]

    def test_a_new_leader_that_knows_few_routers_raises_no_share(self) -> None:
        cold = ColdReplicas()
        cold.record_router_count(28, NOW)
        cold.record_router_count(2, NOW + 1)
        assert cold.router_count == 28
        cold.record_router_count(2, NOW + 60)
        assert cold.router_count == 2


class TestWarmReplicas:
    def test_subjects_return_stepwise(self) -> None:
        state = build_router(cold=(1,))
        assert list_codes(list_replicas(state, NOW + 1, ()))[-1] == "GW5136"
        cold, keys = get_gateway(state).limits.cold, [f"s{n}" for n in range(200)]
        ramping = [
            sum(cold.is_ramping("engines-1", key, NOW + 1 + at) for key in keys)
            for at in (0.0, RAMP_TIME / 2, RAMP_TIME)
        ]
        assert ramping[0] == 200
        assert 70 < ramping[1] < 130
        assert ramping[2] == 0

    def test_calls_are_served_while_all_replicas_have_just_become_warm(self) -> None:
        state = build_router(cold=(1, 2))
        list_replicas(state, NOW + 1, ())
        assert len(list_sent(state, NOW + 1)) == 40


class TestRestarts:
    def lose(self, state: State, failure: ReplicaFailure) -> str:
        """Let the connection of a call be lost, and return its replica."""
        sent = get_effect(CallReplica, send_call(state, NOW + 1))
        reduce(ReplicaCallFailed(sent.attempt, failure, "x"), state, NOW + 1)
        return sent.replica.name

    @pytest.mark.parametrize("failure", [ReplicaFailure.CUT, ReplicaFailure.NOT_SENT])
    def test_a_lost_replica_waits_for_a_newer_list(
        self, failure: ReplicaFailure
    ) -> None:
        state = build_router()
        name = self.lose(state, failure)
        get_gateway(state).backoff.record_contact(name)
        list_replicas(state, NOW + 0.9 + LIST_LAG)
        assert name not in list_sent(state, NOW + 2.0)
        list_replicas(state, NOW + 1.1 + LIST_LAG)
        assert name in list_sent(state, NOW + 2.2)

    def test_a_closed_idle_connection_is_a_sign_of_a_restart(self) -> None:
        state = build_router()
        reduce(ReplicaDisconnected("engines-1"), state, NOW + 1)
        assert set(list_sent(state, NOW + 1)) == {"engines-2"}

    def test_the_wait_ends_when_the_replica_is_warm_without_a_list(self) -> None:
        state = build_router()
        name = self.lose(state, ReplicaFailure.CUT)
        reduce(RestartWaitEnded(name, NOW), state, NOW + 5)
        assert get_gateway(state).registry.lost_at
        reduce(RestartWaitEnded(name, NOW + 1), state, NOW + 5)
        assert not get_gateway(state).registry.lost_at

    def test_a_service_without_a_cold_rate_does_not_wait(self) -> None:
        state = build_gateway(2)
        self.lose(state, ReplicaFailure.CUT)
        assert not get_gateway(state).registry.lost_at


class TestLeader:
    REPLICAS = {
        item.name: evolve(item, is_cold=True)
        for item in build_replicas("engines", 2, 8)
    }
    RATES = ColdRates(3, (ColdRate("engines", COLD_RATE),))

    def build_table(self, routers: int = 28) -> LimitTable:
        """Return the table of a settled leader that knows of cold replicas."""
        table = LimitTable()
        table.begin_term(1, NOW)
        for number in range(routers):
            table.record_router(f"r{number}", is_leaving=False)
        table.record_cold_rates(self.RATES)
        table.update_cold(self.REPLICAS, ListVersion(1, 1))
        return table

    def list_shares(self, table: LimitTable, name: str) -> list[LentShare]:
        """Return the shares of a replica's cold limit at all routers."""
        tables = [
            table.list_shares(f"r{n}", ListVersion(), self.REPLICAS, NOW + SETTLE_TIME)
            for n in range(28)
        ]
        shares = [share for item in tables for share in item]
        return [item for item in shares if item.replica == name and item.is_cold]

    def test_all_shares_together_are_part_of_the_cold_rate(self) -> None:
        shares = self.list_shares(self.build_table(), "engines-1")
        assert sum(item.rate for item in shares) == pytest.approx(COLD_LIMIT)

    def test_a_lower_limit_that_the_replica_names_is_lent(self) -> None:
        table = self.build_table()
        table.record_reports((ReportedLimit("engines-1", 2.0, 0.0),), NOW)
        shares = self.list_shares(table, "engines-1")
        assert sum(item.rate for item in shares) == pytest.approx(2.0)

    def test_shares_end_with_the_cold_time(self) -> None:
        table = self.build_table()
        assert self.list_shares(table, "engines-1")
        version = table.version
        warm = {name: evolve(x, is_cold=False) for name, x in self.REPLICAS.items()}
        table.update_cold(warm, ListVersion(1, 2))
        assert not self.list_shares(table, "engines-1")
        assert table.version > version

    def test_an_older_route_table_does_not_change_the_rates(self) -> None:
        table = self.build_table()
        table.record_cold_rates(ColdRates(2, ()))
        assert table.cold_rates == self.RATES

    def test_heartbeats_tell_the_rates_in_the_coded_message(self) -> None:
        heartbeat = build_heartbeat(build_router(), NOW)
        assert heartbeat.cold_rates == self.RATES
        codec = MessageCodec(b"k" * 32)
        assert codec.decode_or_error(codec.encode(heartbeat)) == heartbeat


class TestLoadBound:
    def test_replicas_that_may_have_restarted_count_as_idle(self) -> None:
        """Else the bound of the others rises with each replica that is avoided."""
        state = build_router(count=3)
        gateway = get_gateway(state)
        home, second, third = list_order(state, NOW + 0.2)
        gateway.registry.lost_at[home] = NOW + 0.3
        for name, calls in ((second, 19), (third, 11)):
            gateway.registry.get_load(name).record_report(calls, NOW + 0.3)
            gateway.registry.get_load(name).own_calls = calls
        assert list_sent(state, NOW + 0.3, 1) == [third]


def list_order(state: State, now: float) -> list[str]:
    """Return the replicas in the order in which a call's subject prefers them."""
    gateway, names = get_gateway(state), []
    for _ in gateway.registry.replicas:
        names += list_sent(state, now, 1)
        gateway.registry.lost_at[names[-1]] = now
    gateway.registry.lost_at.clear()
    return names
