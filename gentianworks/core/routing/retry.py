"""Retry: limits and the retry budget for repeating failed attempts.

A request that was refused before it ran goes to the next endpoint and costs no budget,
because the refusing endpoint is then skipped for a while. An attempt that may have run
is repeated only for repeatable requests and within a retry budget: a fraction of the
service's requests.
"""

from __future__ import annotations

from attrs import define

from gentianworks.core.types import Problem, ProblemKind, RunState

MAX_ATTEMPTS = 3  # attempts of one exchange, without resumes
MAX_FAILURES = 2  # engine failures of one exchange
MAX_RESUMES = 3  # repeated or resumed attempts of one exchange
RETRIES_PER_REQUEST = 0.2
MAX_BUDGET = 100.0  # retries
MAX_RESUME_WAITS = 8  # waits of RESUME_WAIT each
RESUME_WAIT = 0.5  # seconds
RETRY_AFTER = 1.0  # seconds
DEADLINE_MARGIN = 0.05  # fraction of the remaining time
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
    """Retries that a service may spend; its requests add to them up to a limit."""

    retries: float = MAX_BUDGET
    limit: float = MAX_BUDGET
    ratio: float = RETRIES_PER_REQUEST  # retries added by each request

    def deposit(self) -> None:
        """Add the fraction of a retry that one request earns."""
        self.retries = min(self.limit, self.retries + self.ratio)

    def try_withdraw(self) -> bool:
        """Spend one retry; return False if none remains."""
        if self.retries < 1:
            return False
        self.retries -= 1
        return True


def may_spill(problem: Problem) -> bool:
    """Return whether another endpoint may accept the request that one has refused."""
    return problem.run_state is RunState.NOT_RUN and problem.kind in SPILL_KINDS


def compute_hop_timeout(remaining: float) -> float:
    """Return the next hop's timeout in seconds, with a margin for its answer."""
    return max(0.0, remaining - min(remaining * DEADLINE_MARGIN, MAX_DEADLINE_MARGIN))


def combine_run_states(first: RunState, second: RunState) -> RunState:
    """Return the run state of a request from those of two of its attempts."""
    states = (first, second)
    if RunState.RAN in states:
        return RunState.RAN
    if RunState.UNKNOWN in states:
        return RunState.UNKNOWN
    return RunState.NOT_RUN
