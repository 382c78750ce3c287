"""Crashes: what an agent holds of crashes of its engine and of suspects it may run."""

from __future__ import annotations

from enum import Enum

from attrs import define

from gentianworks.core.effects.base import Effect
from gentianworks.core.events.quarantine import CrashReported
from gentianworks.core.quarantine.suspects import Fingerprint


@define
class PendingCrash:
    """Hold the effects that wait until the fleet knows of a crash."""

    report: CrashReported
    deferred_effects: list[Effect]
    send_count: int = 0


@define
class LastCrash:
    """Hold when the engine was last lost, in seconds, and the incident's name."""

    incident: str = ""
    crashed_at: float = float("-inf")


class TrialStage(Enum):
    """Name how far an agent has come with the trial of a suspect."""

    WANTED = "wanted"
    GRANTED = "granted"
    ENDED = "ended"


@define
class AgentTrial:
    """Hold the trial of one attempt; `heard_at` is when control last answered."""

    fingerprint: Fingerprint
    last_answer_at: float
    stage: TrialStage = TrialStage.WANTED
    send_count: int = 0
