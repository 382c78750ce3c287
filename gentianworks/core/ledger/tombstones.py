"""Tombstones: an agent's guard that runs each claimed attempt at most once.

The guard lives as long as the agent's incarnation. It remembers a bounded number of
attempts; what it has forgotten lies at or below its floor and is never run.
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

MAX_REMEMBERED_ATTEMPTS = 4096


class AttemptMark(Enum):
    """Tell what an agent knows of a claimed attempt."""

    QUEUED = "queued"
    RUNNING = "running"
    NOT_RUN = "not-run"
    ENDED = "ended"


VERDICTS = {
    AttemptMark.QUEUED: VoidVerdict.IN_PROGRESS,
    AttemptMark.RUNNING: VoidVerdict.IN_PROGRESS,
    AttemptMark.NOT_RUN: VoidVerdict.VOIDED,
    AttemptMark.ENDED: VoidVerdict.ENDED,
}
SETTLED_MARKS = frozenset({AttemptMark.NOT_RUN, AttemptMark.ENDED})


@define
class SeenAttempt:
    """Hold what is known of one claimed attempt."""

    number: int
    mark: AttemptMark


@define
class OnceGuard:
    """Hold the claimed attempts that this incarnation has seen or voided."""

    floor: int = 0
    seen: dict[AttemptId, SeenAttempt] = field(factory=dict)

    def add(self, claim: Claim, mark: AttemptMark) -> None:
        """Remember an attempt, forgetting the oldest settled one beyond the limit."""
        self.seen[claim.attempt] = SeenAttempt(claim.number, mark)
        if len(self.seen) > MAX_REMEMBERED_ATTEMPTS:
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        settled = (
            attempt for attempt, seen in self.seen.items() if seen.mark in SETTLED_MARKS
        )
        oldest = next(settled, None)
        if oldest is not None:
            self.floor = max(self.floor, self.seen.pop(oldest).number)

    def mark(self, attempt: AttemptId, mark: AttemptMark) -> None:
        """Change what is known of an attempt that was seen."""
        seen = self.seen.get(attempt)
        if seen is not None:
            seen.mark = mark

    def is_queued(self, attempt: AttemptId) -> bool:
        """Tell whether an attempt was taken and has not started."""
        seen = self.seen.get(attempt)
        return seen is not None and seen.mark is AttemptMark.QUEUED

    def find_verdict(self, claim: Claim) -> VoidVerdict | None:
        """Return what is known of an attempt, or None if it was never seen."""
        seen = self.seen.get(claim.attempt)
        if seen is not None:
            return VERDICTS[seen.mark]
        return VoidVerdict.FORGOTTEN if claim.number <= self.floor else None


def check_dispatch(
    event: Dispatch, incarnation: int, guard: OnceGuard
) -> Problem | None:
    """Return why an attempt must not run here; otherwise mark it as taken.

    A refusal from here is no proof that the attempt was not run, for another copy
    of it may have been.
    """
    claim = event.claim
    if claim is None:
        return None
    if claim.incarnation != incarnation:
        return _describe_stale("was made for another incarnation of the agent")
    if guard.find_verdict(claim) is not None:
        return _describe_stale("was taken or voided before")
    guard.add(claim, AttemptMark.QUEUED)
    return None


def _describe_stale(reason: str) -> Problem:
    return Problem(
        ProblemKind.STALE_ATTEMPT,
        f"The attempt {reason}; ask the ledger for its outcome.",
        run_state=RunState.UNKNOWN,
    )


def answer_void(event: VoidWanted, verdict: VoidVerdict, sender: str) -> list[Effect]:
    """Return the effects that tell a router what is known of an attempt."""
    answer = VoidAnswered(sender, event.exchange, event.claim, verdict)
    return [SendMessage(event.peer_address, answer)]


def void_unseen(event: VoidWanted, incarnation: int, guard: OnceGuard) -> VoidVerdict:
    """Leave a tombstone for an attempt that was never seen, and tell what is known."""
    if event.claim.incarnation != incarnation:
        return VoidVerdict.OTHER_INCARNATION
    verdict = guard.find_verdict(event.claim)
    if verdict is not None:
        return verdict
    guard.add(event.claim, AttemptMark.NOT_RUN)
    return VoidVerdict.VOIDED
