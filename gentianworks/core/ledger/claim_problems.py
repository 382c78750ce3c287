"""Claim problems: errors reported to callers of requests that must not be repeated."""

from __future__ import annotations

from gentianworks.core.ledger.types import ClaimVerdict
from gentianworks.core.types import Problem, ProblemKind, RunState, ServiceName

RETRY_AFTER = 1.0  # seconds


def describe_no_endpoint(service: ServiceName) -> Problem:
    """Return the problem of a request that no endpoint could accept."""
    return Problem(
        ProblemKind.NO_ENDPOINT,
        f"No endpoint of {service!r} can take the request now; send it again later.",
        retry_after=RETRY_AFTER,
    )


def describe_passed_deadline() -> Problem:
    """Return the problem of a request that passed its deadline and was not run."""
    return Problem(
        ProblemKind.DEADLINE_PASSED,
        "The request ran out of time and was not run; send it again with a longer "
        "timeout.",
    )


def describe_unknown_outcome() -> Problem:
    """Return the problem of a request that may or may not have run."""
    return Problem(
        ProblemKind.OUTCOME_UNKNOWN,
        "The request may have been run; send it again with the same idempotency key "
        "to learn its outcome.",
        run_state=RunState.UNKNOWN,
    )


VERDICT_PROBLEMS = {
    ClaimVerdict.UNKNOWN: Problem(
        ProblemKind.OUTCOME_UNKNOWN,
        "The endpoint failed while it may have been running the request; check with "
        "the service before you send it under a new key.",
        run_state=RunState.UNKNOWN,
    ),
    ClaimVerdict.CONTENDED: Problem(
        ProblemKind.KEY_IN_PROGRESS,
        "Another request with this idempotency key is in progress; send it again "
        "with the same key to learn its outcome.",
        run_state=RunState.UNKNOWN,
        retry_after=RETRY_AFTER,
    ),
    ClaimVerdict.KEY_REUSED: Problem(
        ProblemKind.KEY_REUSED,
        "The idempotency key was used for another request; use a new key.",
    ),
    ClaimVerdict.KEY_EXPIRED: Problem(
        ProblemKind.KEY_EXPIRED,
        "The idempotency key was used before and its record has expired; check with "
        "the service before you send the request under a new key.",
        run_state=RunState.UNKNOWN,
    ),
}


# Verdicts that end an exchange; after CONTENDED it may claim at another endpoint.
REFUSAL_VERDICTS = frozenset(VERDICT_PROBLEMS) - {ClaimVerdict.CONTENDED}


def describe_verdict(verdict: ClaimVerdict) -> Problem:
    """Return the problem that is reported to a caller for a verdict of the ledger."""
    return VERDICT_PROBLEMS[verdict]
