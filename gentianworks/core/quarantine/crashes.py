"""Crashes: an agent's records of engine crashes and of trials of suspects."""

from __future__ import annotations

from enum import Enum

from attrs import define

from gentianworks.core.effects.base import Effect
from gentianworks.core.events.quarantine import CrashReported
from gentianworks.core.quarantine.suspects import Fingerprint


@define
class PendingCrash:
    """Crash report without acknowledgement, and the effects that wait for it."""

    report: CrashReported
    deferred_effects: list[Effect]
    send_count: int = 0


@define
class LastCrash:
    """Time of the last crash of the engine, in seconds, and its incident id."""

    incident: str = ""
    crashed_at: float = float("-inf")


class TrialStage(Enum):
    """Progress of an agent with the trial of a suspect."""

    WANTED = "wanted"
    GRANTED = "granted"
    ENDED = "ended"


@define
class AgentTrial:
    """Trial of one attempt as its agent tracks it.

    `last_answer_at` is when a control host last answered, in seconds.
    """

    fingerprint: Fingerprint
    last_answer_at: float
    stage: TrialStage = TrialStage.WANTED
    send_count: int = 0
