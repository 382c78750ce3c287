"""Attempts: what an agent holds of each attempt that it queues or runs."""

from __future__ import annotations

from collections import Counter
from functools import cached_property

from attrs import define, field

from gentianworks.core.admission.admission import Throughput
from gentianworks.core.admission.fairness import FairQueue, Ticket
from gentianworks.core.cache.cache import CacheState
from gentianworks.core.events.dispatch import Dispatch
from gentianworks.core.ledger.agent_claims import AgentClaims
from gentianworks.core.load.load import DEFAULT_RUN_TIME, MIN_RUN_TIME, measure_cost
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


def name_call(attempt: AttemptId, call: int) -> str:
    """Return the name by which the engine knows one call of an attempt."""
    return f"{attempt}.{call}"


@define
class Attempt:
    """Hold one attempt at an agent; times are in seconds of the process's clock.

    It is refused unless it starts until `start_by`.
    `calls` counts the calls to the engine; the present one goes on after event
    `resume_after`. `status` is that of the head that the router has, 0 while it has
    none; `is_covered` tells that its rank's guaranteed share pays for the present
    call; `events` counts the numbered events that came, `last_event` is the number
    of the last, and `is_at_event` tells that nothing followed it.
    """

    dispatch: Dispatch
    ticket: Ticket
    arrived_at: float
    deadline: float
    start_by: float = 0.0
    estimated_wait: float = 0.0
    called_at: float = 0.0
    calls: int = 0
    is_covered: bool = False
    resume_after: int = -1
    status: int = 0
    pieces: int = 0
    last_event: int = -1
    events: int = 0
    is_at_event: bool = True
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
        """Tell whether the router has the head of the answer."""
        return self.status > 0

    @property
    def can_suspend(self) -> bool:
        """Tell whether the answer can stop here and go on later."""
        if not self.dispatch.request.is_repeatable:
            return False
        is_resumable = self.events > 0 and self.is_at_event and not self.has_gap
        return self.pieces == 0 or is_resumable

    @property
    def remaining(self) -> float:
        """Return the fraction of the estimated output that has not come yet."""
        return self._find_remaining(self.events)

    @property
    def remaining_cost(self) -> int:
        """Return the estimated cost of what has not come yet, in tokens."""
        return max(1, round(self.dispatch.request.cost * self.remaining))

    @property
    def remaining_at_call(self) -> float:
        """Return the fraction that had not come when the present call was made."""
        return self._find_remaining(self.resume_after - self.dispatch.resume_after)

    def _find_remaining(self, events: int) -> float:
        request = self.dispatch.request
        output = max(1, request.cost - measure_cost(request, 0))
        return max(0.0, 1.0 - events / output)

    def take_piece(self, first_event: int, last_event: int) -> None:
        """Note a piece of the answer."""
        self.pieces += 1
        self.is_at_event = last_event >= 0
        if not self.is_at_event:
            return
        self.has_gap |= first_event != self.last_event + 1
        self.events += last_event - first_event + 1
        self.last_event = last_event


@define
class ReportedLoad:
    """Hold what the leading control host was told last, and when, in seconds.

    `is_due` tells that a timer will report the next change.
    """

    load: Load = field(factory=Load)
    at: float = 0.0
    is_due: bool = False

    def note(self, load: Load, now: float) -> None:
        """Note that a load has been told."""
        self.load = load
        self.at = now


@define
class AgentState:
    """Hold the attempts at one endpoint, running and queued.

    `unknown_calls` are calls at the engine that no attempt of this process made;
    `is_counted` tells whether all of them are known; `is_leaving` is what the
    platform says of the endpoint; `counted` is its load in the sum heard last,
    and `run_time` the seconds that its running work took then.
    """

    endpoint: EndpointName
    attempts: dict[AttemptId, Attempt] = field(factory=dict)
    running: dict[AttemptId, Attempt] = field(factory=dict)
    queue: FairQueue = field(factory=FairQueue)
    throughput: Throughput = field(factory=Throughput)
    level: AdmissionLevel = field(factory=AdmissionLevel)
    level_at: float = 0.0
    late_checked_at: float = 0.0
    unknown_calls: frozenset[str] = frozenset()
    is_counted: bool = True
    started_at: float = 0.0
    can_resume: bool = True
    is_leaving: bool = False
    claims: AgentClaims = field(factory=AgentClaims)
    fencing: FencingGuard = field(factory=FencingGuard)
    reported: ReportedLoad = field(factory=ReportedLoad)
    counted: Load = field(factory=Load)
    run_time: float = DEFAULT_RUN_TIME
    cache: CacheState = field(factory=CacheState)
    last_crash: LastCrash = field(factory=LastCrash)
    trials: dict[AttemptId, AgentTrial] = field(factory=dict)

    def list_running(self) -> list[Attempt]:
        """Return the attempts that the engine is running."""
        return list(self.running.values())

    def awaits_trial(self, attempt: AttemptId) -> bool:
        """Tell whether an attempt has left the queue until control lets it run."""
        trial = self.trials.get(attempt)
        return trial is not None and trial.stage is TrialStage.WANTED

    def is_waiting(self, attempt: AttemptId) -> bool:
        """Tell whether an attempt is here and does not run."""
        return attempt in self.attempts and attempt not in self.running

    def withdraw(self, attempt: AttemptId) -> None:
        """Take an attempt that waits out of the queue."""
        if attempt in self.queue:
            self.queue.remove(attempt)

    def list_queued(self) -> list[Attempt]:
        """Return the attempts that wait."""
        return [self.attempts[name] for name in self.queue.tickets]

    def list_calls(self) -> set[str]:
        """Return the names of the calls that the engine is running."""
        return {name_call(item.id, item.calls) for item in self.running.values()}

    def find_call(self, attempt: AttemptId, call: int) -> Attempt | None:
        """Return the running attempt whose present call is `call`, or None."""
        found = self.running.get(attempt)
        return found if found is not None and found.calls == call else None

    def estimate_rest(self, attempt: Attempt) -> float:
        """Return the seconds for which an attempt would still hold a slot."""
        run = self.throughput.estimate_run(attempt.dispatch.request.cost)
        return run * attempt.remaining

    def find_spare(self, attempt: Attempt, now: float) -> float:
        """Return the seconds for which an attempt can stop and still end in time."""
        return attempt.deadline - now - self.estimate_rest(attempt)

    def measure_load(self) -> Load:
        """Return the endpoint's present load."""
        return Load(
            requests=len(self.running) + len(self.unknown_calls),
            cost=sum(attempt.ticket.cost for attempt in self.running.values()),
            queued=len(self.queue),
            endpoints=1,
        )

    def note_sum(self) -> None:
        """Note what a sum that has just been heard rests on."""
        self.counted = self.reported.load
        load = self.measure_load()
        if self.throughput.pace and load.requests:
            measured = self.throughput.pace * load.cost / load.requests
            self.run_time = max(MIN_RUN_TIME, measured)

    def measure_ranks(self) -> tuple[RankLoad, ...]:
        """Return the endpoint's present load by rank."""
        running = Counter(item.ticket.rank for item in self.running.values())
        queued = Counter(ticket.rank for ticket in self.queue.tickets.values())
        return tuple(
            RankLoad(rank, running[rank], queued[rank])
            for rank in sorted({*running, *queued})
        )
