"""Replica suspects: what the calls lost in replicas' crashes have in common.

A call that crashes a replica does so before its answer begins. Each crash therefore
counts against the calls at that replica whose answers had not begun, and against the
prompt parts that they share with other calls. An answer that begins later clears what
its call consists of. What crashes go on to have in common is quarantined.
"""

from __future__ import annotations

from attrs import define, evolve, field, frozen

from gentianworks.core.quarantine.suspects import Fingerprint
from gentianworks.core.types import ServiceName

MIN_CRASHES = 2
MIN_CRASHES_OF_SERVED = 4  # of a call or part that had been served before
MIN_EVIDENCE_TIME = 1.0  # seconds; sound calls that are served in it clear a suspect
INCIDENT_TIME = 2.0  # seconds; routers report one crash within it
# Seconds; replicas that crash within it have a common cause, unless a call was sent to
# one after it had been lost at another.
SIMULTANEOUS_TIME = 0.1
SUSPECT_LIFETIME = 600.0  # seconds without a further crash
QUARANTINE_LIFETIME = 3600.0  # seconds without a further crash
TRIAL_DELAY = 20.0  # seconds from a quarantine to its first trial
TRIAL_DELAY_GROWTH = 4.0  # times the delay before, for each failed trial
WEAK_TRIAL_DELAY = 4.0  # seconds, of a weakly accused part; replicas are back by then
TRIAL_LIFETIME = 5.0  # seconds for which one router may send a call
MAX_SUSPECTS = 1024
MAX_TRACKED_CALLS = 2
MAX_SENT_SUSPECTS = 512


@frozen
class LostCall:
    """Call that was lost in a replica's crash before its answer began.

    `was_lost_before` is set if its router had lost it at another replica before.
    """

    fingerprint: Fingerprint
    parts: tuple[Fingerprint, ...] = ()
    was_lost_before: bool = False


@frozen
class ReplicaSuspect:
    """Crashes of replicas that lost calls with a fingerprint.

    `crashes` are those since a call was served last, and `was_served` is set if one had
    been served before. `is_part` tells a prompt part, which several calls share, from a
    whole call; of a part, `calls` are the first calls that were lost with it. Times are
    in seconds since the epoch.
    """

    fingerprint: Fingerprint
    service: ServiceName
    is_part: bool
    crashes: int = 0
    last_incident: str = ""
    first_crashed_at: float = 0.0
    crashed_at: float = 0.0
    calls: tuple[Fingerprint, ...] = ()
    was_served: bool = False
    trial_count: int = 0
    failed_trials: int = 0
    is_trial_offered: bool = False  # to the first router that has a call
    trial_began_at: float = 0.0
    trial_router: str = ""  # peer address of the router that may send one call

    @property
    def is_quarantined(self) -> bool:
        """Return whether routers refuse calls with the fingerprint.

        A call that was lost twice does not accuse its parts: they need a second call,
        since any call may be at two replicas that crash.
        """
        if self.is_part and len(self.calls) < MAX_TRACKED_CALLS:
            return False
        if self.was_served:
            is_often = self.crashes >= MIN_CRASHES_OF_SERVED
            return is_often and self.has_lasting_evidence()
        return self.crashes >= MIN_CRASHES

    def has_lasting_evidence(self) -> bool:
        """Return whether the crashes lasted for long enough to be cleared meanwhile."""
        time = _compute_elapsed_time(self.first_crashed_at, self.crashed_at)
        return time >= MIN_EVIDENCE_TIME

    def expires_at(self) -> float:
        """Return when the suspect is forgotten, in seconds since the epoch."""
        lifetime = QUARANTINE_LIFETIME if self.is_quarantined else SUSPECT_LIFETIME
        return self.crashed_at + lifetime


@define
class ReplicaSuspectRegistry:
    """Replica suspects of the fleet; `version` increases with each change to send.

    `incidents` maps a replica to the time of its last crash, in seconds since the
    epoch.
    """

    version: int = 0
    suspects: dict[Fingerprint, ReplicaSuspect] = field(factory=dict)
    incidents: dict[str, float] = field(factory=dict)

    def record_crash(
        self,
        replica: str,
        service: ServiceName,
        calls: tuple[LostCall, ...],
        now: float,
    ) -> list[ReplicaSuspect]:
        """Count a replica's crash and return the suspects that it quarantines."""
        self._expire(now)
        incident = self._identify_incident(replica, now)
        crashed_at = self.incidents[replica]
        quarantined = []
        for call in calls:
            for fingerprint in (call.fingerprint, *call.parts):
                before = self.suspects.get(fingerprint)
                after = self._count(fingerprint, call, service, incident, crashed_at)
                was_quarantined = before is not None and before.is_quarantined
                if after.is_quarantined and not was_quarantined:
                    quarantined.append(after)
        while len(self.suspects) > MAX_SUSPECTS:
            del self.suspects[self._choose_dropped()]
        return quarantined

    def record_served(
        self, fingerprints: tuple[Fingerprint, ...], is_since_crash: bool, now: float
    ) -> list[ReplicaSuspect]:
        """Record that calls were served and return the suspects that this releases.

        A call that was served before the crashes makes a part less suspect; one that is
        served after them clears it.
        """
        released = []
        for fingerprint in fingerprints:
            suspect = self.suspects.get(fingerprint)
            if suspect is None:
                continue
            if is_since_crash:
                self.suspects[fingerprint] = ReplicaSuspect(
                    fingerprint,
                    suspect.service,
                    suspect.is_part,
                    crashed_at=suspect.crashed_at,
                    last_incident=suspect.last_incident,
                    was_served=True,
                )
                if suspect.is_quarantined:
                    released.append(suspect)
                    self.version += 1
            elif not suspect.failed_trials:
                served = evolve(suspect, was_served=True)
                self.suspects[fingerprint] = served
                if suspect.is_quarantined and not served.is_quarantined:
                    released.append(suspect)
                    self.version += 1
        if released:
            self._withdraw_offers(now)
        return released

    def list_due_trials(self, now: float) -> tuple[Fingerprint, ...]:
        """Return the quarantined fingerprints of which a call is to be tried."""
        return tuple(
            item.fingerprint
            for item in self.suspects.values()
            if item.is_quarantined and self.is_trial_due(item, now)
        )

    def offer_trials(self, fingerprints: tuple[Fingerprint, ...]) -> bool:
        """Offer trials to the routers, and return whether there is a new offer."""
        is_changed = False
        for fingerprint in fingerprints:
            suspect = self.suspects.get(fingerprint)
            if suspect is None or not suspect.is_quarantined:
                continue
            offered = evolve(suspect, is_trial_offered=True, trial_router="")
            is_changed = is_changed or offered != suspect
            self.suspects[fingerprint] = offered
        self.version += is_changed
        return is_changed

    def begin_trial(self, fingerprint: Fingerprint, router: str, now: float) -> bool:
        """Let a router send one call with a quarantined fingerprint, if offered."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None or not suspect.is_trial_offered:
            return False
        self.suspects[fingerprint] = evolve(
            suspect,
            trial_count=suspect.trial_count + 1,
            is_trial_offered=False,
            trial_began_at=now,
            trial_router=router,
        )
        self.version += 1
        return True

    def is_trial_due(self, suspect: ReplicaSuspect, now: float) -> bool:
        """Return whether a call with a quarantined fingerprint is to be tried now.

        A part that is accused weakly is tried soon, since it may well be sound.
        """
        if suspect.is_trial_offered:
            return False
        if suspect.trial_router and now - suspect.trial_began_at < TRIAL_LIFETIME:
            return False
        delay = TRIAL_DELAY * TRIAL_DELAY_GROWTH**suspect.failed_trials
        if not suspect.failed_trials and self._is_weakly_accused(suspect):
            delay = WEAK_TRIAL_DELAY
        return now - suspect.crashed_at >= delay

    def _withdraw_offers(self, now: float) -> None:
        """Withdraw the offers to try what is now accused alone."""
        for suspect in list(self.suspects.values()):
            withdrawn = evolve(suspect, is_trial_offered=False)
            if suspect.is_trial_offered and not self.is_trial_due(withdrawn, now):
                self.suspects[suspect.fingerprint] = withdrawn

    def _is_weakly_accused(self, suspect: ReplicaSuspect) -> bool:
        """Return whether few crashes accuse a part, or the same ones accuse others."""
        if not suspect.is_part:
            return False
        if suspect.crashes <= MIN_CRASHES or not suspect.has_lasting_evidence():
            return True
        return any(
            item.is_part
            and item.is_quarantined
            and item.last_incident == suspect.last_incident
            for item in self.suspects.values()
            if item.fingerprint != suspect.fingerprint
        )

    def list_quarantined(self) -> tuple[ReplicaSuspect, ...]:
        """Return the suspects whose calls are refused."""
        return tuple(item for item in self.suspects.values() if item.is_quarantined)

    def list_unproven(self) -> dict[Fingerprint, int]:
        """Return the latest other suspects, which a served call clears.

        Each has the number of its crashes.
        """
        unproven = [
            (item.fingerprint, item.crashes)
            for item in self.suspects.values()
            if item.crashes and not item.is_quarantined
        ]
        return dict(unproven[-MAX_SENT_SUSPECTS:])

    def _identify_incident(self, replica: str, now: float) -> str:
        first_at = self.incidents.get(replica)
        if first_at is None or _compute_elapsed_time(first_at, now) > INCIDENT_TIME:
            first_at = self.incidents[replica] = now
        return f"{replica}/{first_at:.3f}"

    def _count(
        self,
        fingerprint: Fingerprint,
        call: LostCall,
        service: ServiceName,
        incident: str,
        crashed_at: float,
    ) -> ReplicaSuspect:
        is_part = fingerprint != call.fingerprint
        known = self.suspects.pop(
            fingerprint, ReplicaSuspect(fingerprint, service, is_part)
        )
        calls = known.calls
        if is_part and call.fingerprint not in calls:
            calls = (*calls, call.fingerprint)[:MAX_TRACKED_CALLS]
        counted = evolve(known, calls=calls)
        time = _compute_elapsed_time(known.crashed_at, crashed_at)
        is_later = time > SIMULTANEOUS_TIME
        is_new = known.last_incident != incident
        if is_new and (is_later or call.was_lost_before):
            counted = evolve(
                counted,
                crashes=known.crashes + 1,
                first_crashed_at=known.first_crashed_at or crashed_at,
                last_incident=incident,
                crashed_at=crashed_at,
                failed_trials=known.failed_trials + bool(known.trial_router),
                is_trial_offered=False,
                trial_router="",
            )
        if counted != known:
            self.version += 1
        self.suspects[fingerprint] = counted
        return counted

    def _choose_dropped(self) -> Fingerprint:
        """Return the suspect with the fewest crashes, the oldest of several."""
        return min(self.suspects, key=lambda item: self.suspects[item].crashes)

    def _expire(self, now: float) -> None:
        for fingerprint, suspect in list(self.suspects.items()):
            if suspect.expires_at() <= now:
                del self.suspects[fingerprint]
                self.version += suspect.is_quarantined
        for replica, crashed_at in list(self.incidents.items()):
            if _compute_elapsed_time(crashed_at, now) > INCIDENT_TIME:
                del self.incidents[replica]


def _compute_elapsed_time(earlier: float, later: float) -> float:
    """Return the time between two commands, in seconds.

    A later command may be dated earlier by the clock of another control host.
    """
    return abs(later - earlier)


@define
class KnownReplicaSuspects:
    """Replica suspects that a router last received from a control host."""

    version: int = 0
    quarantined: dict[Fingerprint, ReplicaSuspect] = field(factory=dict)
    unproven: dict[Fingerprint, int] = field(factory=dict)  # and their crashes

    def update(
        self,
        version: int,
        quarantined: tuple[ReplicaSuspect, ...],
        unproven: dict[Fingerprint, int],
    ) -> bool:
        """Replace the list and return True, unless `version` is no newer."""
        if version <= self.version:
            return False
        self.version = version
        self.quarantined = {item.fingerprint: item for item in quarantined}
        self.unproven = unproven
        return True

    def count_crashes(self, fingerprint: Fingerprint) -> int:
        """Return the crashes of a fingerprint, 0 if it is not suspected."""
        suspect = self.quarantined.get(fingerprint)
        return suspect.crashes if suspect else self.unproven.get(fingerprint, 0)

    def is_empty(self) -> bool:
        """Return whether nothing is suspected."""
        return not self.quarantined and not self.unproven
