"""Crash tracker: a router's lost calls, and the suspects that it knows."""

from __future__ import annotations

from attrs import define, field, frozen

from gentianworks.core.events.replica_suspects import (
    ReplicaCrashReported,
    ReplicaSuspectsChanged,
)
from gentianworks.core.gateway.calls import Call
from gentianworks.core.gateway.replicas import Replica, ReplicaName
from gentianworks.core.quarantine.fingerprints import digest_parts
from gentianworks.core.quarantine.replica_suspects import (
    SIMULTANEOUS_TIME,
    TRIAL_DELAY,
    KnownReplicaSuspects,
    LostCall,
    ReplicaSuspect,
)
from gentianworks.core.quarantine.suspects import Fingerprint
from gentianworks.core.types import ExchangeId

REPEAT_INTERVAL = 1.0  # seconds between equal messages that nobody acknowledges
MAX_SERVED = 4096  # fingerprints
MAX_UNCOUNTED_CRASHES = 64


@define
class LostCalls:
    """Calls without an answer that were lost at a replica, until it is checked."""

    replica: Replica
    calls: dict[str, LostCall] = field(factory=dict)  # by the id of the request


@define
class PendingReport:
    """Crash report without acknowledgement."""

    report: ReplicaCrashReported
    send_count: int = 0


@frozen
class UncountedCrash:
    """Crash that no control host has counted yet, at a time in seconds."""

    at: float
    calls: tuple[LostCall, ...]

    def find_call(self, fingerprint: Fingerprint) -> LostCall | None:
        """Return a lost call with a fingerprint, or None."""
        matching = (item for item in self.calls if item.fingerprint == fingerprint)
        return next(matching, None)


@frozen
class BegunTrial:
    """Trial of a quarantined suspect, by its number, and the call that is sent."""

    number: int
    exchange: ExchangeId


@define
class CrashTracker:
    """A router's lost calls, its reports of them, and the suspects that it knows.

    `served` are the fingerprints of calls whose answers began, the latest last.
    `reported_at` maps what was reported of a suspect, and its crashes at that time, to
    the time of the report in seconds. `trials` maps a fingerprint to the trial that
    this router has begun, and `held_calls` maps one to the call that waits for the
    answer on its trial.
    """

    lost_calls: dict[ReplicaName, LostCalls] = field(factory=dict)
    pending_reports: dict[str, PendingReport] = field(factory=dict)
    suspects: KnownReplicaSuspects = field(factory=KnownReplicaSuspects)
    served: dict[Fingerprint, None] = field(factory=dict)
    reported_at: dict[tuple[str, Fingerprint, int], float] = field(factory=dict)
    trials: dict[Fingerprint, BegunTrial] = field(factory=dict)
    held_calls: dict[Fingerprint, ExchangeId] = field(factory=dict)
    # By report; a router that is cut off goes by them.
    uncounted_crashes: dict[str, UncountedCrash] = field(factory=dict)

    def record_own_crash(self, report: ReplicaCrashReported, now: float) -> None:
        """Record a crash until a control host has counted it."""
        crash = UncountedCrash(now, report.calls)
        self.uncounted_crashes[report.report] = crash
        while len(self.uncounted_crashes) > MAX_UNCOUNTED_CRASHES:
            del self.uncounted_crashes[next(iter(self.uncounted_crashes))]

    def count_own_crashes(self, fingerprint: Fingerprint, now: float) -> int:
        """Return how many crashes that nobody has counted lost a call.

        Replicas that crash at the same moment count once, unless the call was sent to
        one after the other.
        """
        count, last_at = 0, float("-inf")
        for report, crash in list(self.uncounted_crashes.items()):
            if now - crash.at > TRIAL_DELAY:
                del self.uncounted_crashes[report]
                continue
            call = crash.find_call(fingerprint)
            if call is None:
                continue
            is_later = crash.at - last_at > SIMULTANEOUS_TIME
            count += is_later or call.was_lost_before
            last_at = crash.at
        return count

    def may_report(self, what: str, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a report is not a repetition, and record it."""
        key = (what, fingerprint, self.suspects.count_crashes(fingerprint))
        if now - self.reported_at.get(key, float("-inf")) < REPEAT_INTERVAL:
            return False
        self.reported_at[key] = now
        return True

    def record_served(self, call: Call) -> None:
        """Record what a call whose answer has begun has in common with others.

        Calls with a prompt share its parts, any other is repeated as a whole.
        """
        fingerprints = [_identify_part(item) for item in call.list_shared_parts()]
        if not call.prompt:
            fingerprints.append(identify_call(call).fingerprint)
        for fingerprint in fingerprints:
            self.served.pop(fingerprint, None)
            self.served[fingerprint] = None
        while len(self.served) > MAX_SERVED:
            del self.served[next(iter(self.served))]

    def update_suspects(self, event: ReplicaSuspectsChanged) -> bool:
        """Replace the suspects and return True, unless the list is no newer."""
        suspects = self.suspects
        if not suspects.update(event.version, event.quarantined, event.unproven):
            return False
        known = {*suspects.quarantined, *suspects.unproven}
        self.trials = {
            item: trial for item, trial in self.trials.items() if item in known
        }
        self.reported_at = {
            key: reported_at
            for key, reported_at in self.reported_at.items()
            if key[1] in known
        }
        return True

    def find_quarantined(self, call: Call) -> list[ReplicaSuspect]:
        """Return the quarantined suspects that a call belongs to."""
        quarantined = self.suspects.quarantined
        if not quarantined:
            return []
        identity = identify_call(call)
        return [
            quarantined[item]
            for item in (identity.fingerprint, *identity.parts)
            if item in quarantined
        ]

    def begin_trial(
        self, suspect: ReplicaSuspect, exchange: ExchangeId, router: str
    ) -> bool:
        """Use the trial of a quarantined suspect for a call, if the router has it.

        The same call may be sent again if no replica has begun to run it.
        """
        if suspect.trial_router != router:
            return False
        trial = BegunTrial(suspect.trial_count, exchange)
        begun = self.trials.get(suspect.fingerprint)
        if begun is not None and begun.number == trial.number and begun != trial:
            return False
        self.trials[suspect.fingerprint] = trial
        return True


def identify_call(call: Call) -> LostCall:
    """Return the fingerprints of a call and of the parts that other calls share."""
    fingerprint = digest_parts(
        call.api_key.encode(),
        call.host.encode(),
        call.method.encode(),
        call.path.encode(),
        call.body,
    )
    parts = tuple(_identify_part(digest) for digest in call.list_shared_parts())
    return LostCall(f"call/{fingerprint}", tuple(dict.fromkeys(parts)))


def _identify_part(digest: str) -> Fingerprint:
    return f"part/{digest}"
