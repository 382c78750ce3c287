"""Crashes: finds out which calls a replica's crash cut off, and refuses their like.

A call that crashes replicas does so before its answer begins. A router therefore
reports the calls without an answer that it lost when a replica went away, and refuses
calls with what the control hosts found such calls to have in common.
"""

from __future__ import annotations

from attrs import evolve, frozen

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.gateway import CheckReplica
from gentianworks.core.effects.lifecycle import LogEvent, SendMessage, SetTimer
from gentianworks.core.events.base import Message
from gentianworks.core.events.replica_suspects import (
    CrashCheckDue,
    ReplicaChecked,
    ReplicaCrashAcknowledged,
    ReplicaCrashReportDue,
    ReplicaCrashReported,
    ReplicaTrialWanted,
    SuspectsServed,
    TrialWaitExpired,
)
from gentianworks.core.gateway.calls import Call
from gentianworks.core.gateway.crash_tracker import (
    CrashTracker,
    LostCalls,
    PendingReport,
    identify_call,
)
from gentianworks.core.gateway.replicas import Replica
from gentianworks.core.gateway.state import GatewayExchange
from gentianworks.core.quarantine.replica_suspects import (
    MIN_CRASHES,
    TRIAL_DELAY,
    ReplicaSuspect,
)
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.control_hosts import send_to_control
from gentianworks.core.state import State
from gentianworks.core.types import Problem, ProblemKind, RunState

CRASH_CHECK_DELAY = 0.02  # seconds; all connections of a crashed replica end within it
REPORT_RETRY_INTERVAL = 0.2  # seconds
MAX_REPORT_SENDS = 10
MAX_REPORTED_CALLS = 64  # calls of one crash
TRIAL_WAIT = 0.2  # seconds; a commit of the control hosts and its notice


def record_lost_call(
    call: Call,
    was_lost_before: bool,
    replica: Replica,
    tracker: CrashTracker,
    now: float,
) -> list[Effect]:
    """Record a call whose connection ended before its answer began."""
    lost_call = evolve(identify_call(call), was_lost_before=was_lost_before)
    lost = tracker.lost_calls.get(replica.name)
    if lost is not None:
        if len(lost.calls) < MAX_REPORTED_CALLS:
            lost.calls[call.request_id] = lost_call
        return []
    tracker.lost_calls[replica.name] = LostCalls(replica, {call.request_id: lost_call})
    return [SetTimer(now + CRASH_CHECK_DELAY, CrashCheckDue(replica.name))]


@reduce.register
def _(event: CrashCheckDue, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    lost = gateway.crashes.lost_calls.get(event.replica) if gateway else None
    return [CheckReplica(lost.replica)] if lost is not None else []


@reduce.register
def _(event: ReplicaChecked, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    lost = gateway.crashes.lost_calls.pop(event.replica, None) if gateway else None
    if gateway is None or lost is None or not event.is_refused:
        return []
    report = ReplicaCrashReported(
        sender=state.node.name,
        peer_address=state.node.peer_address,
        report=state.create_id(),
        replica=lost.replica.name,
        service=lost.replica.service,
        calls=tuple(dict.fromkeys(lost.calls.values())),
    )
    pending = PendingReport(report)
    gateway.crashes.pending_reports[report.report] = pending
    gateway.crashes.record_own_crash(report, now)
    details = (
        ("replica", lost.replica.name),
        ("address", lost.replica.address),
        ("calls", " ".join(lost.calls)),
    )
    return [LogEvent("GW5119", details), *_send_report(pending, state, now)]


def _send_report(pending: PendingReport, state: State, now: float) -> list[Effect]:
    sent = _send_to_leader(pending.report, pending.send_count, state)
    pending.send_count += 1
    due = ReplicaCrashReportDue(pending.report.report)
    return [*sent, SetTimer(now + REPORT_RETRY_INTERVAL, due)]


def _send_to_leader(message: Message, turn: int, state: State) -> list[Effect]:
    """Send a message to the leader, or in later turns to other control hosts."""
    leader = state.fleet.leader_address
    if leader and turn == 0:
        return [SendMessage(leader, message)]
    return send_to_control(message, turn, state)


@reduce.register
def _(event: ReplicaCrashReportDue, state: State, now: float) -> list[Effect]:
    reports = state.gateway.crashes.pending_reports if state.gateway else {}
    pending = reports.get(event.report)
    if pending is None:
        return []
    if pending.send_count >= MAX_REPORT_SENDS:
        del reports[event.report]
        return []
    return _send_report(pending, state, now)


@reduce.register
def _(event: ReplicaCrashAcknowledged, state: State, now: float) -> list[Effect]:
    if state.gateway is not None:
        state.gateway.crashes.pending_reports.pop(event.report, None)
        state.gateway.crashes.uncounted_crashes.pop(event.report, None)
    return []


def record_served_call(
    call: Call, tracker: CrashTracker, state: State, now: float
) -> list[Effect]:
    """Record a call whose answer has begun, and report that it clears suspects."""
    tracker.record_served(call)
    suspects = tracker.suspects
    if suspects.is_empty():
        return []
    identity = identify_call(call)
    cleared = tuple(
        item
        for item in (identity.fingerprint, *identity.parts)
        if suspects.count_crashes(item) and tracker.may_report("cleared", item, now)
    )
    if not cleared:
        return []
    message = SuspectsServed(state.node.name, cleared, is_since_crash=True)
    return _send_to_leader(message, 0, state)


def report_earlier_calls(
    tracker: CrashTracker, state: State, now: float
) -> list[Effect]:
    """Report the suspects whose calls this router had served before."""
    suspects = (*tracker.suspects.unproven, *tracker.suspects.quarantined)
    known = tuple(
        item
        for item in suspects
        if item in tracker.served and tracker.may_report("served", item, now)
    )
    if not known:
        return []
    message = SuspectsServed(state.node.name, known, is_since_crash=False)
    return _send_to_leader(message, 0, state)


@frozen
class QuarantineCheck:
    """Result of a check: why a call is refused, if it is, and the effects.

    A held call waits for the answer whether it may be sent as a trial.
    """

    problem: Problem | None = None
    effects: tuple[Effect, ...] = ()
    is_held: bool = False


def check_call(
    exchange: GatewayExchange, tracker: CrashTracker, state: State, now: float
) -> QuarantineCheck:
    """Check whether a call may be sent to a replica.

    A quarantined call may be sent if this router has the trial of what quarantines it,
    until a replica loses it. A call that is quarantined for several reasons would not
    tell which one holds, so it is never tried.
    """
    call = exchange.call
    quarantined = tracker.find_quarantined(call)
    if not quarantined:
        return _check_own_crashes(call, tracker, now)
    suspect, own = quarantined[0], state.node.peer_address
    refusal = QuarantineCheck(describe_quarantine(suspect))
    if len(quarantined) > 1 or exchange.was_lost:
        return refusal
    if tracker.begin_trial(suspect, exchange.id, own):
        details = (("request", call.request_id), ("fingerprint", suspect.fingerprint))
        return QuarantineCheck(effects=(LogEvent("GW5120", details),))
    if not suspect.is_trial_offered or suspect.fingerprint in tracker.held_calls:
        return refusal
    tracker.held_calls[suspect.fingerprint] = exchange.id
    wanted = ReplicaTrialWanted(state.node.name, own, suspect.fingerprint)
    timer = SetTimer(now + TRIAL_WAIT, TrialWaitExpired(suspect.fingerprint))
    sent = _send_to_leader(wanted, 0, state)
    return QuarantineCheck(effects=(*sent, timer), is_held=True)


def _check_own_crashes(
    call: Call, tracker: CrashTracker, now: float
) -> QuarantineCheck:
    """Refuse a call that this router lost in crashes that no control host counts."""
    if not tracker.uncounted_crashes:
        return QuarantineCheck()
    fingerprint = identify_call(call).fingerprint
    crashes = tracker.count_own_crashes(fingerprint, now)
    if crashes < MIN_CRASHES or fingerprint in tracker.served:
        return QuarantineCheck()
    suspect = ReplicaSuspect(fingerprint, "", is_part=False, crashes=crashes)
    return QuarantineCheck(describe_quarantine(suspect))


def describe_quarantine(
    suspect: ReplicaSuspect, run_state: RunState = RunState.NOT_RUN
) -> Problem:
    """Return the problem with which a quarantined call is refused."""
    what = "a part of its prompt" if suspect.is_part else "the call"
    return Problem(
        ProblemKind.QUARANTINED,
        f"{what.capitalize()} ({suspect.fingerprint}) has crashed {suspect.crashes} "
        f"replicas and is quarantined; change it, or retry after its next trial.",
        run_state,
        TRIAL_DELAY,
    )
