"""Suspects: which requests were in flight when an engine crashed, and how often.

After the first crash a request is a suspect, which runs alone at its endpoint; the
second crash, at any endpoint, quarantines it until the quarantine expires or an
operator releases it. At most one copy of a suspect runs at a time: the one that was
granted the trial by a command in the replicated log.
"""

from __future__ import annotations

from attrs import define, field, frozen

from gentianworks.core.types import AttemptId, ServiceName

Fingerprint = str

QUARANTINE_CRASH_COUNT = 2
SUSPECT_LIFETIME = 600.0  # seconds
QUARANTINE_LIFETIME = 3600.0  # seconds
MAX_SUSPECTS = 1024
MAX_SENT_SUSPECTS = 64


@frozen
class Suspect:
    """Crashes of one request; `expires_at` is in seconds since the epoch."""

    fingerprint: Fingerprint
    service: ServiceName
    crashes: int
    expires_at: float
    last_incident: str = ""

    @property
    def is_quarantined(self) -> bool:
        """Return whether every endpoint refuses the request."""
        return self.crashes >= QUARANTINE_CRASH_COUNT


@frozen
class Trial:
    """Permission for one copy of a suspect to run.

    `expires_at` is in seconds since the epoch.
    """

    attempt: AttemptId
    expires_at: float


@define
class SuspectRegistry:
    """Suspects of the fleet; `version` increases with every change."""

    version: int = 0
    suspects: dict[Fingerprint, Suspect] = field(factory=dict)
    trials: dict[Fingerprint, Trial] = field(factory=dict)

    def record_crash(
        self, fingerprint: Fingerprint, service: ServiceName, incident: str, now: float
    ) -> Suspect:
        """Count a crash, once per incident, and return the suspect."""
        self._expire(now)
        known = self.suspects.pop(fingerprint, None)
        if known is not None and known.last_incident == incident:
            self.suspects[fingerprint] = known
            return known
        crashes = known.crashes + 1 if known else 1
        is_quarantined = crashes >= QUARANTINE_CRASH_COUNT
        time = QUARANTINE_LIFETIME if is_quarantined else SUSPECT_LIFETIME
        suspect = Suspect(fingerprint, service, crashes, now + time, incident)
        self.suspects[fingerprint] = suspect
        self.trials.pop(fingerprint, None)
        self.version += 1
        if len(self.suspects) > MAX_SUSPECTS:
            del self.suspects[next(iter(self.suspects))]
        return suspect

    def begin_trial(
        self, fingerprint: Fingerprint, attempt: AttemptId, lifetime: float, now: float
    ) -> bool:
        """Grant a copy the trial for `lifetime` seconds; return whether it may run."""
        self._expire(now)
        suspect = self.suspects.get(fingerprint)
        if suspect is not None and suspect.is_quarantined:
            return False
        trial = self.trials.get(fingerprint)
        if trial is not None:
            return trial.attempt == attempt
        self.trials[fingerprint] = Trial(attempt, now + lifetime)
        return True

    def is_granted_to_other(
        self, fingerprint: Fingerprint, attempt: AttemptId, now: float
    ) -> bool:
        """Return whether another copy of a request has its trial."""
        trial = self.trials.get(fingerprint)
        if trial is None or trial.expires_at <= now:
            return False
        return trial.attempt != attempt

    def end_trial(self, fingerprint: Fingerprint, attempt: AttemptId) -> None:
        """End the trial of a request if this copy has it."""
        trial = self.trials.get(fingerprint)
        if trial is not None and trial.attempt == attempt:
            del self.trials[fingerprint]

    def release(self, fingerprint: Fingerprint) -> bool:
        """Remove a suspect and return whether it was known."""
        if self.suspects.pop(fingerprint, None) is None:
            return False
        self.version += 1
        return True

    def list_latest(self) -> tuple[Suspect, ...]:
        """Return the suspects that are sent to every node, quarantined ones first."""
        latest = reversed(self.suspects.values())
        ordered = sorted(latest, key=lambda item: not item.is_quarantined)
        return tuple(ordered[:MAX_SENT_SUSPECTS])

    def _expire(self, now: float) -> None:
        expired = [key for key, item in self.suspects.items() if item.expires_at <= now]
        for key in expired:
            del self.suspects[key]
        ended = [key for key, item in self.trials.items() if item.expires_at <= now]
        for key in ended:
            del self.trials[key]


@define
class ReceivedSuspects:
    """List of suspects that a router or agent last received from a control host."""

    version: int = 0
    suspects: dict[Fingerprint, Suspect] = field(factory=dict)

    def update(self, version: int, suspects: tuple[Suspect, ...]) -> None:
        """Replace the list unless `version` is no newer."""
        if version <= self.version:
            return
        self.version = version
        self.suspects = {item.fingerprint: item for item in suspects}

    def get(self, fingerprint: Fingerprint, now: float) -> Suspect | None:
        """Return the unexpired suspect of a fingerprint, or None."""
        suspect = self.suspects.get(fingerprint)
        return suspect if suspect is not None and suspect.expires_at > now else None
