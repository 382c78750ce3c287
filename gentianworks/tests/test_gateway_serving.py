"""Tests of how a gateway serves calls: routes, keys, refusals and repeats."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from attrs import evolve

from gentianworks.core.effects.callers import (
    AbortAnswer,
    FinishAnswer,
    RefuseRequest,
    RelayPiece,
    StartAnswer,
)
from gentianworks.core.effects.gateway import CallReplica, CancelReplicaCall
from gentianworks.core.effects.lifecycle import LogEvent, SetTimer, StopProcess
from gentianworks.core.events.gateway import (
    AnswerStartOverdue,
    CallAbandoned,
    CallExpired,
    ReplicaAnswerEnded,
    ReplicaAnswerPiece,
    ReplicaCallFailed,
    ReplicaFailure,
    ReplicaListFetched,
    RoutesDecoded,
)
from gentianworks.core.events.lifecycle import ShutdownRequested
from gentianworks.core.gateway.serving import choose_service
from gentianworks.core.gateway.tables import RouteTable, Share
from gentianworks.core.gateway.waiting import MAX_WAITING
from gentianworks.core.handlers import reduce
from gentianworks.core.types import ProblemKind, RunState
from gentianworks.tests.gateways import (
    CALL,
    CHAT,
    NOW,
    TABLE,
    answer,
    build_gateway,
    find,
    get_gateway,
    list_kinds,
    send_call,
)

PAY: dict[str, Any] = {"path": "/pay/1", "prompt": (), "timeout": 1.5}
READ: dict[str, Any] = {"path": "/read/1", "prompt": (), "timeout": 1.5}


class TestArrivals:
    def test_a_call_goes_to_a_replica_with_its_workspace_and_time_left(self) -> None:
        sent = find(CallReplica, send_call(build_gateway()))
        assert sent.replica.service == "engines"
        assert sent.workspace == "parish"
        assert sent.timeout == pytest.approx(5.0, abs=0.1)

    def test_an_unknown_path_and_an_unknown_key_are_told_apart(self) -> None:
        state = build_gateway()
        nowhere = find(RefuseRequest, send_call(state, path="/other/"))
        assert nowhere.problem.kind is ProblemKind.NO_SUCH_ROUTE
        stranger = find(RefuseRequest, send_call(state, key="wrong"))
        assert stranger.problem.kind is ProblemKind.UNAUTHENTICATED

    def test_a_table_without_workspaces_needs_no_key(self) -> None:
        state = build_gateway()
        table = get_gateway(state).table
        assert table is not None
        get_gateway(state).table = RouteTable(3, table.routes, table.services)
        assert find(CallReplica, send_call(state, key="")).workspace == ""

    def test_the_longest_prefix_wins(self) -> None:
        table = get_gateway(build_gateway()).table
        assert table is not None
        route = table.find_route("a.example", "/pay/1/2")
        assert route is not None
        assert route.name == "payment"
        assert table.find_route("b.example", "/pay/1") is None


class TestWaiting:
    def test_without_a_table_nothing_is_said_of_routes(self) -> None:
        state = build_gateway()
        get_gateway(state).table = None
        timer = find(SetTimer, send_call(state))
        refused = find(RefuseRequest, reduce(timer.event, state, timer.due_at))
        assert refused.problem.kind is ProblemKind.NOT_READY
        assert refused.problem.run_state is RunState.NOT_RUN
        assert not get_gateway(state).waiting

    def test_a_call_before_the_first_table_is_served_once_it_comes(self) -> None:
        state = build_gateway()
        get_gateway(state).table = None
        send_call(state)
        effects = reduce(RoutesDecoded(3, TABLE), state, NOW + 0.4)
        assert find(CallReplica, effects).timeout == pytest.approx(4.6, abs=0.1)
        assert not get_gateway(state).waiting

    def test_a_call_before_the_first_list_is_served_once_it_comes(self) -> None:
        state = build_gateway()
        listed = tuple(get_gateway(state).book.replicas.values())
        get_gateway(state).book.replicas = {}
        send_call(state)
        effects = reduce(ReplicaListFetched(listed), state, NOW + 0.1)
        assert find(CallReplica, effects).replica in listed

    def test_a_short_call_waits_for_a_part_of_its_time_only(self) -> None:
        state = build_gateway()
        get_gateway(state).table = None
        timer = find(SetTimer, send_call(state, timeout=1.5))
        assert timer.due_at - NOW <= 1.5 / 2

    def test_a_caller_that_leaves_while_it_waits_is_forgotten(self) -> None:
        state = build_gateway()
        get_gateway(state).table = None
        send_call(state)
        assert list_kinds(reduce(CallAbandoned("x1"), state, NOW)) == [LogEvent]
        assert reduce(RoutesDecoded(3, TABLE), state, NOW) == []

    def test_calls_beyond_the_bound_are_refused_at_once(self) -> None:
        state = build_gateway()
        get_gateway(state).table = None
        for number in range(MAX_WAITING):
            send_call(state, exchange=f"w{number}")
        refused = find(RefuseRequest, send_call(state))
        assert refused.problem.kind is ProblemKind.NOT_READY


class TestShares:
    def test_calls_are_shared_by_weight_and_equal_ids_go_the_same_way(self) -> None:
        route = evolve(CHAT, shares=(Share("a", 90), Share("b", 10), Share("c", 0)))
        calls = [evolve(CALL, request_id=f"r{number}") for number in range(2000)]
        chosen = Counter(choose_service(route, call) for call in calls)
        assert set(chosen) == {"a", "b"}
        assert 0.07 < chosen["b"] / len(calls) < 0.13
        assert choose_service(route, calls[7]) == choose_service(route, calls[7])


class TestAnswers:
    def test_an_answer_is_passed_on_and_ended(self) -> None:
        state = build_gateway()
        sent = find(CallReplica, send_call(state))
        assert list_kinds(answer(sent, state)) == [StartAnswer]
        piece = reduce(ReplicaAnswerPiece(sent.attempt, b"x", 1, 1), state, NOW)
        assert list_kinds(piece) == [RelayPiece]
        ended = reduce(ReplicaAnswerEnded(sent.attempt), state, NOW)
        assert list_kinds(ended) == [LogEvent, FinishAnswer]
        assert not get_gateway(state).exchanges
        assert get_gateway(state).book.get_load(sent.replica.name).own == 0

    def test_an_unsigned_success_reaches_no_caller(self) -> None:
        state = build_gateway()
        sent = find(CallReplica, send_call(state, **PAY))
        effects = answer(sent, state, is_signed=False)
        refused = find(RefuseRequest, effects)
        assert refused.problem.run_state is RunState.RAN

    def test_a_missing_event_is_not_passed_over(self) -> None:
        state = build_gateway()
        sent = find(CallReplica, send_call(state))
        answer(sent, state)
        reduce(ReplicaAnswerPiece(sent.attempt, b"1", 1, 1), state, NOW)
        effects = reduce(ReplicaAnswerPiece(sent.attempt, b"3", 3, 3), state, NOW)
        assert RelayPiece not in list_kinds(effects)
        assert find(CallReplica, effects).resume_after == 1

    def test_a_status_that_promises_not_run_is_believed_only_with_the_mark(
        self,
    ) -> None:
        state = build_gateway()
        sent = find(CallReplica, send_call(state, **PAY))
        refused = find(RefuseRequest, answer(sent, state, status=503))
        assert refused.problem.run_state is RunState.RAN


class TestRepeats:
    def test_a_payment_that_may_have_run_is_never_sent_again(self) -> None:
        state = build_gateway()
        sent = find(CallReplica, send_call(state, **PAY))
        failed = ReplicaCallFailed(sent.attempt, ReplicaFailure.CUT, "reset")
        effects = reduce(failed, state, NOW)
        refused = find(RefuseRequest, effects)
        assert refused.problem.run_state is RunState.UNKNOWN
        assert CallReplica not in list_kinds(effects)

    def test_a_payment_that_was_not_run_goes_to_another_replica(self) -> None:
        state = build_gateway()
        sent = find(CallReplica, send_call(state, **PAY))
        again = find(CallReplica, answer(sent, state, status=503, is_not_run=True))
        assert again.replica != sent.replica

    def test_a_payment_whose_replica_took_no_connection_is_not_an_attempt(
        self,
    ) -> None:
        state = build_gateway()
        sent = find(CallReplica, send_call(state, **PAY))
        failed = ReplicaCallFailed(sent.attempt, ReplicaFailure.NOT_SENT)
        again = find(CallReplica, reduce(failed, state, NOW))
        assert get_gateway(state).exchanges["x1"].attempts == 1
        assert again.replica != sent.replica

    def test_a_cut_stream_goes_on_behind_the_last_event(self) -> None:
        state = build_gateway()
        sent = find(CallReplica, send_call(state))
        answer(sent, state)
        reduce(ReplicaAnswerPiece(sent.attempt, b"1", 1, 1), state, NOW)
        failed = ReplicaCallFailed(sent.attempt, ReplicaFailure.CUT)
        again = find(CallReplica, reduce(failed, state, NOW))
        assert again.resume_after == 1
        assert answer(again, state) == []
        double = reduce(ReplicaAnswerPiece(again.attempt, b"1", 1, 1), state, NOW)
        assert double == []

    def test_a_failed_resumption_cuts_the_answer_off(self) -> None:
        state = build_gateway()
        sent = find(CallReplica, send_call(state))
        answer(sent, state)
        cut = ReplicaCallFailed(sent.attempt, ReplicaFailure.CUT)
        again = find(CallReplica, reduce(cut, state, NOW))
        effects = answer(again, state, status=500)
        assert AbortAnswer in list_kinds(effects)

    def test_repeats_end_with_the_budget(self) -> None:
        state = build_gateway()
        gateway = get_gateway(state)
        gateway.retry_slack = 1.0
        gateway.retry_ratio = 0.0
        repeated = 0
        for number in range(5):
            exchange = f"x{number}"
            sent = find(CallReplica, send_call(state, exchange=exchange, **READ))
            failed = ReplicaCallFailed(sent.attempt, ReplicaFailure.CUT)
            repeated += CallReplica in list_kinds(reduce(failed, state, NOW))
        assert repeated == 1

    def test_a_call_that_met_another_replica_is_not_an_attempt(self) -> None:
        state = build_gateway()
        sent = find(CallReplica, send_call(state, **PAY))
        changes = {"status": 421, "is_not_run": True, "is_other_replica": True}
        again = find(CallReplica, answer(sent, state, **changes))
        refused = answer(again, state, status=503, is_not_run=True)
        assert find(CallReplica, refused).replica not in (sent.replica, again.replica)

    def test_a_replica_at_anothers_address_is_not_used_again(self) -> None:
        state = build_gateway(replicas=1)
        sent = find(CallReplica, send_call(state, **READ))
        answer(sent, state, status=421, is_not_run=True, is_other_replica=True)
        refused = find(RefuseRequest, send_call(state, exchange="x2", **READ))
        assert refused.problem.kind is ProblemKind.NO_ENDPOINT


class TestSilence:
    def test_a_silent_replica_is_left_where_the_call_may_be_repeated(self) -> None:
        state = build_gateway()
        sent = find(CallReplica, send_call(state, **READ))
        effects = reduce(AnswerStartOverdue(sent.attempt), state, NOW + 1)
        assert CancelReplicaCall in list_kinds(effects)
        assert find(CallReplica, effects).replica != sent.replica

    def test_a_replica_that_answers_others_is_waited_for(self) -> None:
        state = build_gateway(replicas=1)
        first = find(CallReplica, send_call(state, **READ))
        second = find(CallReplica, send_call(state, exchange="x2", **READ))
        answer(second, state, NOW + 0.5)
        assert reduce(AnswerStartOverdue(first.attempt), state, NOW + 1) == []

    def test_a_payment_waits_but_later_calls_pass_the_replica_over(self) -> None:
        state = build_gateway()
        sent = find(CallReplica, send_call(state, **PAY))
        passed_over = reduce(AnswerStartOverdue(sent.attempt), state, NOW + 1)
        assert list_kinds(passed_over) == [LogEvent]
        for number in range(4):
            other = send_call(state, NOW + 1, f"y{number}", **PAY)
            assert find(CallReplica, other).replica != sent.replica


class TestStop:
    def test_a_busy_router_takes_no_more_calls_once_it_has_drained(self) -> None:
        state = build_gateway()
        state.drain_time = 2.5
        sent = find(CallReplica, send_call(state))
        timer = find(SetTimer, reduce(ShutdownRequested(), state, NOW))
        assert timer.due_at == NOW + 2.5
        effects = reduce(timer.event, state, timer.due_at)
        assert list_kinds(effects) == [StopProcess]
        assert list_kinds(answer(sent, state, timer.due_at)) == [StartAnswer]


class TestEnds:
    def test_a_caller_that_leaves_stops_the_work(self) -> None:
        state = build_gateway()
        sent = find(CallReplica, send_call(state))
        effects = reduce(CallAbandoned("x1"), state, NOW)
        assert effects[1:] == [CancelReplicaCall(sent.attempt)]
        assert not get_gateway(state).exchanges

    def test_a_call_out_of_time_is_ended_as_unknown(self) -> None:
        state = build_gateway()
        send_call(state)
        effects = reduce(CallExpired("x1"), state, NOW + 5)
        refused = find(RefuseRequest, effects)
        assert refused.problem.kind is ProblemKind.DEADLINE_PASSED
        assert refused.problem.run_state is RunState.UNKNOWN
        assert CancelReplicaCall in list_kinds(effects)

    def test_a_stream_out_of_time_is_cut_off(self) -> None:
        state = build_gateway()
        sent = find(CallReplica, send_call(state))
        answer(sent, state)
        effects = reduce(CallExpired("x1"), state, NOW + 5)
        assert AbortAnswer in list_kinds(effects)
