"""Attempts: an agent's state and that of each attempt that it queues or runs."""

from __future__ import annotations

from collections import Counter
from functools import cached_property

from attrs import define, field

from gentianworks.core.admission.fairness import FairQueue, Ticket
from gentianworks.core.admission.wait_estimates import Throughput
from gentianworks.core.cache.state import CacheState
from gentianworks.core.events.dispatch import Dispatch
from gentianworks.core.ledger.agent_claims import AgentClaims
from gentianworks.core.load.bound import DEFAULT_RUN_TIME, MIN_RUN_TIME, compute_cost
from gentianworks.core.orders.fencing import FencingGuard
from gentianworks.core.quarantine.crashes import AgentTrial, LastCrash, TrialStage
from gentianworks.core.quarantine.fingerprints import compute_fingerprint
from gentianworks.core.types import (
    AdmissionLevel,
    AttemptId,
    EndpointName,
    Load,
    RankLoad,
)


def build_call_name(attempt: AttemptId, call: int) -> str:
    """Return the identifier that the engine is given for one call of an attempt."""
    return f"{attempt}.{call}"


@define
class Attempt:
    """One attempt at an agent; times are in seconds of the process's clock."""

    dispatch: Dispatch
    ticket: Ticket
    arrived_at: float
    deadline: float
    # The attempt is refused if it hasn't started by then.
    start_deadline: float = 0.0
    estimated_wait: float = 0.0
    called_at: float = 0.0
    # Calls to the engine so far.
    call_count: int = 0
    # The credit of the attempt's rank paid for the current call.
    is_covered: bool = False
    # Number of the event after which the current call resumes the answer.
    resume_after: int = -1
    # Status of the head sent to the router; 0 before that.
    status: int = 0
    content_type: str = ""  # of the answer, without parameters
    piece_count: int = 0
    # Number of the last event received, and how many numbered events were received.
    last_event: int = -1
    event_count: int = 0
    # The last piece received ended with a numbered event.
    is_at_event_boundary: bool = True
    # The numbers of the events received aren't consecutive.
    has_gap: bool = False

    @property
    def id(self) -> AttemptId:
        """Return the attempt's identifier."""
        return self.dispatch.attempt

    @cached_property
    def fingerprint(self) -> str:
        """Return the fingerprint of the attempt's request."""
        return compute_fingerprint(self.dispatch.request)

    @property
    def has_started(self) -> bool:
        """Return whether the head of the answer was sent to the router."""
        return self.status > 0

    @property
    def can_suspend(self) -> bool:
        """Return whether the answer can stop here and be resumed later."""
        if not self.dispatch.request.is_repeatable:
            return False
        is_resumable = (
            self.event_count > 0 and self.is_at_event_boundary and not self.has_gap
        )
        return self.piece_count == 0 or is_resumable

    @property
    def remaining_fraction(self) -> float:
        """Return the fraction of the estimated output still to be received."""
        return self._compute_remaining(self.event_count)

    @property
    def remaining_cost(self) -> int:
        """Return the estimated cost of the output still to be received, in tokens."""
        return max(1, round(self.dispatch.request.cost * self.remaining_fraction))

    @property
    def remaining_fraction_at_call(self) -> float:
        """Return the fraction still to be received when the current call was made."""
        return self._compute_remaining(self.resume_after - self.dispatch.resume_after)

    def _compute_remaining(self, events: int) -> float:
        request = self.dispatch.request
        output = max(1, request.cost - compute_cost(request, 0))
        return max(0.0, 1.0 - events / output)

    def record_piece(self, first_event: int, last_event: int) -> None:
        """Record a piece of the answer; -1 stands for a piece without event numbers."""
        self.piece_count += 1
        self.is_at_event_boundary = last_event >= 0
        if not self.is_at_event_boundary:
            return
        self.has_gap |= first_event != self.last_event + 1
        self.event_count += last_event - first_event + 1
        self.last_event = last_event


@define
class ReportedLoad:
    """Load that was last reported to the leading control host."""

    load: Load = field(factory=Load)
    # Seconds of the process's clock.
    reported_at: float = 0.0
    # A timer is set that will report the next change.
    is_scheduled: bool = False

    def record_report(self, load: Load, now: float) -> None:
        """Record that a load was reported."""
        self.load = load
        self.reported_at = now


@define
class AgentState:
    """State of an agent: the running and queued attempts of its endpoint."""

    endpoint: EndpointName
    # All attempts at the agent: running, queued or waiting for a trial.
    attempts: dict[AttemptId, Attempt] = field(factory=dict)
    running: dict[AttemptId, Attempt] = field(factory=dict)
    queue: FairQueue = field(factory=FairQueue)
    throughput: Throughput = field(factory=Throughput)
    level: AdmissionLevel = field(factory=AdmissionLevel)
    level_computed_at: float = 0.0
    late_checked_at: float = 0.0
    # Calls that the engine runs and no attempt of this process made.
    unknown_calls: frozenset[str] = frozenset()
    # Whether all such calls are known; no attempt starts before that.
    is_reconciled: bool = True
    started_at: float = 0.0
    # False once the engine has failed to resume an answer.
    can_resume: bool = True
    # The platform is removing the endpoint.
    is_leaving: bool = False
    claims: AgentClaims = field(factory=AgentClaims)
    fencing: FencingGuard = field(factory=FencingGuard)
    reported_load: ReportedLoad = field(factory=ReportedLoad)
    # The endpoint's load that the last received sum contains.
    load_in_sum: Load = field(factory=Load)
    # Seconds per running attempt, estimated when that sum was received.
    mean_run_time: float = DEFAULT_RUN_TIME
    cache: CacheState = field(factory=CacheState)
    last_crash: LastCrash = field(factory=LastCrash)
    trials: dict[AttemptId, AgentTrial] = field(factory=dict)

    def list_running(self) -> list[Attempt]:
        """Return the attempts that the engine is running."""
        return list(self.running.values())

    def awaits_trial(self, attempt: AttemptId) -> bool:
        """Return whether an attempt is out of the queue until its trial is granted."""
        trial = self.trials.get(attempt)
        return trial is not None and trial.stage is TrialStage.WANTED

    def is_waiting(self, attempt: AttemptId) -> bool:
        """Return whether an attempt is at the agent but not running."""
        return attempt in self.attempts and attempt not in self.running

    def withdraw(self, attempt: AttemptId) -> None:
        """Remove an attempt from the queue if it is queued."""
        if attempt in self.queue:
            self.queue.remove(attempt)

    def list_queued(self) -> list[Attempt]:
        """Return the queued attempts."""
        return [self.attempts[name] for name in self.queue.tickets]

    def list_call_names(self) -> set[str]:
        """Return the names of the engine calls of the running attempts."""
        return {
            build_call_name(item.id, item.call_count) for item in self.running.values()
        }

    def find_call(self, attempt: AttemptId, call: int) -> Attempt | None:
        """Return the running attempt whose current call is `call`, or None."""
        running = self.running.get(attempt)
        return running if running is not None and running.call_count == call else None

    def estimate_remaining_time(self, attempt: Attempt) -> float:
        """Return the seconds that an attempt would still occupy a slot."""
        run_time = self.throughput.estimate_run_time(attempt.dispatch.request.cost)
        return run_time * attempt.remaining_fraction

    def compute_slack(self, attempt: Attempt, now: float) -> float:
        """Return the seconds that an attempt can pause and still meet its deadline."""
        return attempt.deadline - now - self.estimate_remaining_time(attempt)

    def compute_load(self) -> Load:
        """Return the endpoint's current load."""
        return Load(
            requests=len(self.running) + len(self.unknown_calls),
            cost=sum(attempt.ticket.cost for attempt in self.running.values()),
            queued=len(self.queue),
            endpoints=1,
        )

    def record_sum(self) -> None:
        """Record the reported load and the mean run time when a sum is received."""
        self.load_in_sum = self.reported_load.load
        load = self.compute_load()
        if self.throughput.seconds_per_token and load.requests:
            estimate = self.throughput.seconds_per_token * load.cost / load.requests
            self.mean_run_time = max(MIN_RUN_TIME, estimate)

    def compute_rank_loads(self) -> tuple[RankLoad, ...]:
        """Return the endpoint's current load by rank."""
        running = Counter(item.ticket.rank for item in self.running.values())
        queued = Counter(ticket.rank for ticket in self.queue.tickets.values())
        return tuple(
            RankLoad(rank, running[rank], queued[rank])
            for rank in sorted({*running, *queued})
        )
