"""Tests of how a router finds out what crashed a replica, and refuses its like."""

from __future__ import annotations

from typing import Any

from attrs import evolve

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.callers import RefuseRequest
from gentianworks.core.effects.gateway import (
    CallReplica,
    CancelReplicaCall,
    CheckReplica,
)
from gentianworks.core.effects.lifecycle import SendMessage, SetTimer
from gentianworks.core.events.base import Message
from gentianworks.core.events.gateway import (
    CallArrived,
    ReplicaAnswerPiece,
    ReplicaCallFailed,
    ReplicaFailure,
)
from gentianworks.core.events.replica_suspects import (
    CrashCheckDue,
    ReplicaChecked,
    ReplicaCrashAcknowledged,
    ReplicaCrashReportDue,
    ReplicaCrashReported,
    ReplicaSuspectsChanged,
    ReplicaTrialWanted,
    SuspectsServed,
    TrialWaitExpired,
)
from gentianworks.core.gateway.calls import Call, PromptPart
from gentianworks.core.gateway.crash_tracker import REPEAT_INTERVAL, identify_call
from gentianworks.core.gateway.crashes import MAX_REPORT_SENDS, TRIAL_WAIT
from gentianworks.core.handlers import reduce
from gentianworks.core.quarantine.replica_suspects import TRIAL_DELAY, ReplicaSuspect
from gentianworks.core.state import State
from gentianworks.core.types import ProblemKind, RunState
from gentianworks.platform.calls import encode_problem
from gentianworks.tests.gateways import (
    CALL,
    NOW,
    answer_call,
    build_gateway,
    get_effect,
    get_gateway,
)

CONTROL = "tcp://10.0.0.1:1"
DEADLY = (PromptPart("aa", 100), PromptPart("dd", 20), PromptPart("r1", 50))


def build_router() -> State:
    """Return a router with two replicas that knows one control host."""
    state = build_gateway(replicas=2)
    state.control_addresses = (CONTROL,)
    return state


def build_call(number: int, parts: tuple[PromptPart, ...] = DEADLY) -> Call:
    """Return a call; no two have the same body."""
    return evolve(CALL, request_id=f"r{number}", body=b"{%d}" % number, prompt=parts)


def send(state: State, call: Call, now: float = NOW) -> list[Effect]:
    """Reduce the arrival of a call and return the effects."""
    return reduce(CallArrived(f"x-{call.request_id}", call), state, now)


def list_messages(effects: list[Effect], kind: type[Message]) -> list[Any]:
    """Return the messages of a type that effects send."""
    messages = [item.message for item in effects if isinstance(item, SendMessage)]
    return [item for item in messages if isinstance(item, kind)]


def cut(sent: CallReplica, state: State, now: float = NOW) -> list[Effect]:
    """Reduce the end of a call's connection and return the effects."""
    return reduce(ReplicaCallFailed(sent.attempt, ReplicaFailure.CUT), state, now)


def quarantine(
    state: State, fingerprint: str = "part/dd", **changes: Any
) -> list[Effect]:
    """Tell a router that a fingerprint is quarantined and return the effects."""
    suspect = ReplicaSuspect(
        fingerprint, "engines", True, crashes=3, calls=("call/1", "call/2"), **changes
    )
    version = get_gateway(state).crashes.suspects.version + 1
    notice = ReplicaSuspectsChanged("control-1", version, (suspect,), {})
    return reduce(notice, state, NOW)


class TestDetection:
    def test_calls_without_an_answer_are_reported_when_the_replica_is_gone(
        self,
    ) -> None:
        state = build_router()
        sent = get_effect(CallReplica, send(state, build_call(1)))
        answer_call(sent, state)
        timers = [item for item in cut(sent, state) if isinstance(item, SetTimer)]
        assert CrashCheckDue(sent.replica.name) in [item.event for item in timers]
        effects = reduce(CrashCheckDue(sent.replica.name), state, NOW)
        assert get_effect(CheckReplica, effects).replica == sent.replica
        effects = reduce(ReplicaChecked(sent.replica.name, True), state, NOW)
        (report,) = list_messages(effects, ReplicaCrashReported)
        assert report.replica == sent.replica.name
        (lost,) = report.calls
        assert lost.parts == ("part/aa", "part/dd")

    def test_a_call_that_is_lost_again_is_reported_as_such(self) -> None:
        state = build_router()
        sent = get_effect(CallReplica, send(state, build_call(1)))
        again = get_effect(CallReplica, cut(sent, state))
        cut(again, state)
        lost = get_gateway(state).crashes.lost_calls
        (first,) = lost[sent.replica.name].calls.values()
        (second,) = lost[again.replica.name].calls.values()
        assert not first.was_lost_before
        assert second.was_lost_before

    def test_a_call_whose_answer_had_begun_is_not_reported(self) -> None:
        state = build_router()
        sent = get_effect(CallReplica, send(state, build_call(1)))
        answer_call(sent, state)
        reduce(ReplicaAnswerPiece(sent.attempt, b"id: 0", 0, 0), state, NOW)
        cut(sent, state)
        assert not get_gateway(state).crashes.lost_calls

    def test_a_replica_that_accepts_connections_has_not_crashed(self) -> None:
        state = build_router()
        sent = get_effect(CallReplica, send(state, build_call(1)))
        cut(sent, state)
        assert reduce(ReplicaChecked(sent.replica.name, False), state, NOW) == []
        assert not get_gateway(state).crashes.lost_calls

    def test_a_report_is_repeated_until_it_is_acknowledged(self) -> None:
        state = build_router()
        sent = get_effect(CallReplica, send(state, build_call(1)))
        cut(sent, state)
        effects = reduce(ReplicaChecked(sent.replica.name, True), state, NOW)
        (report,) = list_messages(effects, ReplicaCrashReported)
        due = ReplicaCrashReportDue(report.report)
        assert list_messages(reduce(due, state, NOW), ReplicaCrashReported)
        reduce(ReplicaCrashAcknowledged("control-1", report.report), state, NOW)
        assert reduce(due, state, NOW) == []

    def test_a_report_that_nobody_acknowledges_is_given_up(self) -> None:
        state = build_router()
        sent = get_effect(CallReplica, send(state, build_call(1)))
        cut(sent, state)
        effects = reduce(ReplicaChecked(sent.replica.name, True), state, NOW)
        (report,) = list_messages(effects, ReplicaCrashReported)
        for _ in range(MAX_REPORT_SENDS + 1):
            reduce(ReplicaCrashReportDue(report.report), state, NOW)
        assert not get_gateway(state).crashes.pending_reports


def lose_in_crashes(state: State, number: int, now: float = NOW) -> list[str]:
    """Let a call crash both replicas, and return the ids of the reports."""
    sent = get_effect(CallReplica, send(state, build_call(number), now))
    again = get_effect(CallReplica, cut(sent, state, now))
    cut(again, state, now)
    reports = []
    for name in (sent.replica.name, again.replica.name):
        effects = reduce(ReplicaChecked(name, True), state, now)
        (report,) = list_messages(effects, ReplicaCrashReported)
        reports.append(report.report)
    return reports


class TestUncountedCrashes:
    """A router that is cut off must not crash one replica after the other."""

    def repeat_call(self, state: State, now: float) -> list[Effect]:
        """Send the call that crashed the replicas again, under another id."""
        return send(state, evolve(build_call(1), request_id=f"again-{now}"), now)

    def test_a_call_lost_in_two_of_them_is_refused(self) -> None:
        state = build_router()
        lose_in_crashes(state, 1)
        refused = get_effect(RefuseRequest, self.repeat_call(state, NOW + 4))
        assert refused.problem.kind is ProblemKind.QUARANTINED
        assert refused.problem.run_state is RunState.NOT_RUN
        get_effect(CallReplica, send(state, build_call(2), NOW + 4))

    def test_counted_ones_are_left_to_the_control_hosts(self) -> None:
        state = build_router()
        for report in lose_in_crashes(state, 1):
            reduce(ReplicaCrashAcknowledged("control-1", report), state, NOW)
        get_effect(CallReplica, self.repeat_call(state, NOW + 4))

    def test_the_call_is_tried_again_later(self) -> None:
        state = build_router()
        lose_in_crashes(state, 1)
        get_effect(CallReplica, self.repeat_call(state, NOW + TRIAL_DELAY + 1))
        assert not get_gateway(state).crashes.uncounted_crashes


class TestServedCalls:
    def test_a_call_that_is_served_clears_its_suspects_once(self) -> None:
        state = build_router()
        suspects = {"part/aa": 1, "part/zz": 1}
        reduce(ReplicaSuspectsChanged("control-1", 1, (), suspects), state, NOW)
        for number, now in ((1, NOW), (2, NOW + REPEAT_INTERVAL / 2)):
            sent = get_effect(CallReplica, send(state, build_call(number), now))
            answer_call(sent, state, now)
            piece = ReplicaAnswerPiece(sent.attempt, b"id: 0", 0, 0)
            found = list_messages(reduce(piece, state, now), SuspectsServed)
            if number == 1:
                assert found == [SuspectsServed("router-1", ("part/aa",), True)]
            else:
                assert not found

    def test_parts_that_were_served_before_are_reported(self) -> None:
        state = build_router()
        sent = get_effect(CallReplica, send(state, build_call(1)))
        answer_call(sent, state)
        reduce(ReplicaAnswerPiece(sent.attempt, b"id: 0", 0, 0), state, NOW)
        notice = ReplicaSuspectsChanged(
            "control-1", 1, (), {"part/aa": 1, "part/zz": 1}
        )
        found = list_messages(reduce(notice, state, NOW), SuspectsServed)
        assert found == [SuspectsServed("router-1", ("part/aa",), False)]

    def test_a_call_without_a_prompt_that_was_served_before_is_reported(self) -> None:
        state = build_router()
        call = evolve(build_call(1, ()), path="/read/1")
        sent = get_effect(CallReplica, send(state, call))
        answer_call(sent, state)
        reduce(ReplicaAnswerPiece(sent.attempt, b"x"), state, NOW)
        fingerprint = identify_call(call).fingerprint
        notice = ReplicaSuspectsChanged("control-1", 1, (), {fingerprint: 1})
        found = list_messages(reduce(notice, state, NOW), SuspectsServed)
        assert found == [SuspectsServed("router-1", (fingerprint,), False)]

    def test_an_older_list_is_ignored(self) -> None:
        state = build_router()
        quarantine(state)
        reduce(ReplicaSuspectsChanged("control-1", 0, (), {}), state, NOW)
        assert get_gateway(state).crashes.suspects.quarantined


class TestRefusal:
    def test_a_call_with_a_quarantined_part_is_refused_as_not_run(self) -> None:
        state = build_router()
        quarantine(state)
        refused = get_effect(RefuseRequest, send(state, build_call(1)))
        assert refused.problem.kind is ProblemKind.QUARANTINED
        assert refused.problem.run_state is RunState.NOT_RUN
        answer = encode_problem(refused.problem)
        assert answer.status == 503
        assert "retry-after" in [item.name for item in answer.headers]

    def test_a_call_that_shares_only_other_parts_is_sent(self) -> None:
        state = build_router()
        quarantine(state)
        assert get_effect(CallReplica, send(state, build_call(1, CALL.prompt)))

    def test_the_same_call_is_refused_under_another_id(self) -> None:
        state = build_router()
        call = build_call(1)
        quarantine(state, identify_call(call).fingerprint)
        repeated = evolve(call, request_id="r2")
        assert get_effect(RefuseRequest, send(state, repeated))
        assert get_effect(CallReplica, send(state, build_call(3)))

    def test_a_quarantined_call_that_waits_at_a_replica_is_ended(self) -> None:
        state = build_router()
        sent = get_effect(CallReplica, send(state, build_call(1)))
        suspect = ReplicaSuspect(
            "part/dd", "engines", True, crashes=2, calls=("call/1", "call/2")
        )
        notice = ReplicaSuspectsChanged("control-1", 1, (suspect,), {})
        effects = reduce(notice, state, NOW)
        assert get_effect(CancelReplicaCall, effects).attempt == sent.attempt
        problem = get_effect(RefuseRequest, effects).problem
        assert problem.run_state is RunState.UNKNOWN
        assert encode_problem(problem).status == 502

    def test_a_call_that_must_not_be_repeated_is_not_ended(self) -> None:
        state = build_router()
        call = evolve(build_call(1), path="/pay/1")
        assert get_effect(CallReplica, send(state, call))
        suspect = ReplicaSuspect(
            "part/dd", "books", True, crashes=2, calls=("call/1", "call/2")
        )
        notice = ReplicaSuspectsChanged("control-1", 1, (suspect,), {})
        assert reduce(notice, state, NOW) == []

    def test_a_lost_quarantined_call_is_not_sent_to_another_replica(self) -> None:
        state = build_router()
        quarantine(state, trial_router=state.node.peer_address, trial_count=1)
        sent = get_effect(CallReplica, send(state, build_call(1)))
        effects = cut(sent, state)
        assert not [item for item in effects if isinstance(item, CallReplica)]
        assert get_effect(RefuseRequest, effects)

    def test_a_part_that_crashes_again_can_be_cleared_again_at_once(self) -> None:
        state = build_router()
        for crashes in (1, 2):
            suspects = {"part/aa": crashes}
            notice = ReplicaSuspectsChanged("control-1", crashes, (), suspects)
            reduce(notice, state, NOW)
            sent = get_effect(CallReplica, send(state, build_call(crashes)))
            answer_call(sent, state)
            piece = ReplicaAnswerPiece(sent.attempt, b"id: 0", 0, 0)
            assert list_messages(reduce(piece, state, NOW), SuspectsServed)


class TestTrials:
    def test_a_call_is_held_for_an_offered_trial_and_sent_when_it_is_granted(
        self,
    ) -> None:
        state = build_router()
        quarantine(state, is_trial_offered=True)
        effects = send(state, build_call(1))
        (wanted,) = list_messages(effects, ReplicaTrialWanted)
        assert wanted.fingerprint == "part/dd"
        assert get_effect(RefuseRequest, send(state, build_call(2)))
        own = state.node.peer_address
        granted = quarantine(state, trial_router=own, trial_count=1)
        assert get_effect(CallReplica, granted).call == build_call(1)

    def test_a_held_call_is_refused_when_another_router_has_the_trial(self) -> None:
        state = build_router()
        quarantine(state, is_trial_offered=True)
        send(state, build_call(1))
        effects = quarantine(state, trial_router="tcp://other", trial_count=1)
        assert get_effect(RefuseRequest, effects).problem.run_state is RunState.NOT_RUN

    def test_a_held_call_is_refused_when_no_answer_arrives(self) -> None:
        state = build_router()
        quarantine(state, is_trial_offered=True)
        send(state, build_call(1))
        effects = reduce(TrialWaitExpired("part/dd"), state, NOW + TRIAL_WAIT)
        assert get_effect(RefuseRequest, effects).problem.run_state is RunState.NOT_RUN
        assert reduce(TrialWaitExpired("part/dd"), state, NOW + TRIAL_WAIT) == []

    def test_a_held_call_is_sent_when_its_part_is_released(self) -> None:
        state = build_router()
        quarantine(state, is_trial_offered=True)
        send(state, build_call(1))
        released = ReplicaSuspectsChanged("control-1", 9, (), {})
        assert get_effect(CallReplica, reduce(released, state, NOW))

    def test_no_trial_is_requested_for_a_call_quarantined_for_several_reasons(
        self,
    ) -> None:
        state = build_router()
        suspects = tuple(
            ReplicaSuspect(item, "engines", True, crashes=2, calls=("call/1", "call/2"))
            for item in ("part/aa", "part/dd")
        )
        reduce(ReplicaSuspectsChanged("control-1", 1, suspects, {}), state, NOW)
        effects = send(state, build_call(1))
        assert get_effect(RefuseRequest, effects)
        assert not list_messages(effects, ReplicaTrialWanted)

    def test_one_call_is_sent_for_each_trial(self) -> None:
        state = build_router()
        own = state.node.peer_address
        quarantine(state, trial_router=own, trial_count=1)
        assert get_effect(CallReplica, send(state, build_call(1)))
        assert get_effect(RefuseRequest, send(state, build_call(2)))
        quarantine(state, trial_router=own, trial_count=2)
        assert get_effect(CallReplica, send(state, build_call(3)))

    def test_the_call_of_a_trial_is_sent_again_if_it_reached_no_replica(self) -> None:
        state = build_router()
        quarantine(state, trial_router=state.node.peer_address, trial_count=1)
        sent = get_effect(CallReplica, send(state, build_call(1)))
        unsent = ReplicaCallFailed(sent.attempt, ReplicaFailure.NOT_SENT)
        assert get_effect(CallReplica, reduce(unsent, state, NOW))

    def test_the_trial_of_another_router_lets_no_call_pass(self) -> None:
        state = build_router()
        quarantine(state, trial_router="tcp://other", trial_count=1)
        assert get_effect(RefuseRequest, send(state, build_call(1)))
