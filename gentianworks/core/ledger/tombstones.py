"""Tombstones: an agent's guard that runs each claimed attempt at most once.

The guard lives as long as the agent's incarnation. It tracks a bounded number of
attempts. Each untracked attempt whose number is at or below the highest forgotten one
counts as forgotten and is never run.
"""

from __future__ import annotations

from enum import Enum

from attrs import define, field

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage
from gentianworks.core.events.dispatch import Dispatch
from gentianworks.core.events.ledger import VoidAnswered, VoidWanted
from gentianworks.core.ledger.types import Claim, VoidVerdict
from gentianworks.core.types import AttemptId, Problem, ProblemKind, RunState

MAX_TRACKED_ATTEMPTS = 4096


class AttemptStatus(Enum):
    """Status of a claimed attempt at its agent."""

    QUEUED = "queued"
    RUNNING = "running"
    NOT_RUN = "not-run"
    ENDED = "ended"


VOID_VERDICTS = {
    AttemptStatus.QUEUED: VoidVerdict.IN_PROGRESS,
    AttemptStatus.RUNNING: VoidVerdict.IN_PROGRESS,
    AttemptStatus.NOT_RUN: VoidVerdict.VOIDED,
    AttemptStatus.ENDED: VoidVerdict.ENDED,
}
SETTLED_STATUSES = frozenset({AttemptStatus.NOT_RUN, AttemptStatus.ENDED})


@define
class TrackedAttempt:
    """Number and status of one claimed attempt."""

    number: int
    status: AttemptStatus


@define
class AtMostOnceGuard:
    """Claimed attempts that this incarnation has received or voided."""

    highest_forgotten: int = 0  # highest number of a forgotten attempt
    attempts: dict[AttemptId, TrackedAttempt] = field(factory=dict)

    def add(self, claim: Claim, status: AttemptStatus) -> None:
        """Track an attempt, and forget the oldest settled one beyond the limit."""
        self.attempts[claim.attempt] = TrackedAttempt(claim.number, status)
        if len(self.attempts) > MAX_TRACKED_ATTEMPTS:
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        settled = (
            attempt
            for attempt, tracked in self.attempts.items()
            if tracked.status in SETTLED_STATUSES
        )
        oldest = next(settled, None)
        if oldest is not None:
            self.highest_forgotten = max(
                self.highest_forgotten, self.attempts.pop(oldest).number
            )

    def set_status(self, attempt: AttemptId, status: AttemptStatus) -> None:
        """Change the status of an attempt if it is tracked."""
        tracked = self.attempts.get(attempt)
        if tracked is not None:
            tracked.status = status

    def is_queued(self, attempt: AttemptId) -> bool:
        """Return whether an attempt was accepted and has not started."""
        tracked = self.attempts.get(attempt)
        return tracked is not None and tracked.status is AttemptStatus.QUEUED

    def find_verdict(self, claim: Claim) -> VoidVerdict | None:
        """Return the verdict on an attempt, or None if it was never received."""
        tracked = self.attempts.get(claim.attempt)
        if tracked is not None:
            return VOID_VERDICTS[tracked.status]
        return VoidVerdict.FORGOTTEN if claim.number <= self.highest_forgotten else None


def check_dispatch(
    event: Dispatch, incarnation: int, guard: AtMostOnceGuard
) -> Problem | None:
    """Return the problem of an attempt that must not run here; otherwise track it.

    This refusal does not prove that the attempt was not run, because another copy of it
    may have been.
    """
    claim = event.claim
    if claim is None:
        return None
    if claim.incarnation != incarnation:
        return _describe_stale("was made for another incarnation of the agent")
    if guard.find_verdict(claim) is not None:
        return _describe_stale("was taken or voided before")
    guard.add(claim, AttemptStatus.QUEUED)
    return None


def _describe_stale(reason: str) -> Problem:
    return Problem(
        ProblemKind.STALE_ATTEMPT,
        f"The attempt {reason}; ask the ledger for its outcome.",
        run_state=RunState.UNKNOWN,
    )


def answer_void(event: VoidWanted, verdict: VoidVerdict, sender: str) -> list[Effect]:
    """Return the message that reports the verdict on an attempt to a router."""
    answer = VoidAnswered(sender, event.exchange, event.claim, verdict)
    return [SendMessage(event.peer_address, answer)]


def void_unseen(
    event: VoidWanted, incarnation: int, guard: AtMostOnceGuard
) -> VoidVerdict:
    """Create a tombstone for an attempt that was never received; return the verdict."""
    if event.claim.incarnation != incarnation:
        return VoidVerdict.OTHER_INCARNATION
    verdict = guard.find_verdict(event.claim)
    if verdict is not None:
        return verdict
    guard.add(event.claim, AttemptStatus.NOT_RUN)
    return VoidVerdict.VOIDED
