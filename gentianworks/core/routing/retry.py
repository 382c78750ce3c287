"""Retry: how often failed attempts are made again, and for what.

A refusal before the work ran leads to the next endpoint and costs no budget, since
the endpoint is then skipped for a while. An attempt that may have run is repeated
only for repeatable requests and within a budget: a share of the service's requests.
"""

from __future__ import annotations

from attrs import define

from gentianworks.core.types import Problem, ProblemKind, RunState

MAX_ATTEMPTS = 3
MAX_FAILURES = 2
MAX_RESUMES = 3
RETRIES_PER_REQUEST = 0.2
MAX_BUDGET = 100.0  # retries
MAX_RESUME_WAITS = 8
RESUME_WAIT = 0.5  # seconds
RETRY_AFTER = 1.0  # seconds
DEADLINE_MARGIN = 0.05  # fraction of the time left
MAX_DEADLINE_MARGIN = 0.25  # seconds

SPILL_KINDS = frozenset(
    {
        ProblemKind.OVERLOADED,
        ProblemKind.LEAVING,
        ProblemKind.NOT_READY,
        ProblemKind.NO_ENDPOINT,
        ProblemKind.ENDPOINT_FAILED,
    }
)


@define
class RetryBudget:
    """Hold the retries that a service's requests have earned, up to a limit.

    Each request earns `ratio` of a retry.
    """

    retries: float = MAX_BUDGET
    limit: float = MAX_BUDGET
    ratio: float = RETRIES_PER_REQUEST

    def earn(self) -> None:
        """Add what one request earns."""
        self.retries = min(self.limit, self.retries + self.ratio)

    def spend(self) -> bool:
        """Take one retry and tell whether there was one left."""
        if self.retries < 1:
            return False
        self.retries -= 1
        return True


def may_spill(problem: Problem) -> bool:
    """Tell whether another endpoint may take what one has refused unrun."""
    return problem.run_state is RunState.NOT_RUN and problem.kind in SPILL_KINDS


def shrink_deadline(left: float) -> float:
    """Return the seconds that the next hop gets, so that it can answer in time."""
    return max(0.0, left - min(left * DEADLINE_MARGIN, MAX_DEADLINE_MARGIN))


def combine_run_states(first: RunState, second: RunState) -> RunState:
    """Return what is known of a request of which two attempts are known."""
    states = (first, second)
    if RunState.RAN in states:
        return RunState.RAN
    if RunState.UNKNOWN in states:
        return RunState.UNKNOWN
    return RunState.NOT_RUN
