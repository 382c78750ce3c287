"""Load: the bound on an endpoint's load, relative to the mean of its service.

Load is the number of requests that the endpoint runs and their outstanding cost in
tokens. An endpoint may always run `load_floor` requests; beyond them, both measures
are held to `load_multiple` times the mean over the service's live endpoints.

The mean counts what runs and not what is queued: a bound that counts queues would rise
at one agent before the others have started the work.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import evolve, frozen

from gentianworks.core.types import Load, Request, Service, ServiceKind

MEAN_TIMEOUT = 0.7  # seconds
DEFAULT_RUN_TIME = 5.0  # seconds
MIN_RUN_TIME = 2.0  # seconds
UNBOUNDED = 2**62
COST_NOISE = 0.0625  # fraction of the bound on the cost
BYTES_PER_TOKEN = 4


@frozen
class Bound:
    """Hold the most requests and cost that an endpoint may run.

    The cost counts only beyond `floor` requests.
    """

    floor: int
    requests: int
    cost: int

    def has_room(self, load: Load, cost: int) -> bool:
        """Tell whether one more request of `cost` may run beside `load`."""
        if load.requests < min(self.floor, self.requests):
            return True
        return load.requests < self.requests and load.cost + cost <= self.cost

    def is_exceeded(self, load: Load) -> bool:
        """Tell whether `load` is more than may run."""
        if load.requests <= self.floor:
            return False
        return load.requests > self.requests or load.cost > self.cost

    def is_near(self, load: Load) -> bool:
        """Tell whether `load` is above the bound, or would be with what may start."""
        if load.requests + load.queued >= self.requests:
            return True
        return load.requests > self.floor and load.cost > self.cost

    def is_below(self, other: Bound) -> bool:
        """Tell whether this bound is lower than another by more than noise."""
        lowest_cost = other.cost - int(other.cost * COST_NOISE)
        return self.requests < other.requests or self.cost < lowest_cost


def multiply_mean(service: Service, total: Load) -> Bound:
    """Return the bound that a fresh sum over the endpoints of a service allows.

    It is rounded down, so that a mean that falls between two reports does less harm,
    but it is above the mean, so that a service can always become busier.
    """
    endpoints = max(total.endpoints, 1)
    multiplied = int(service.load_multiple * total.requests / endpoints)
    above_mean = total.requests // endpoints + 1
    return Bound(
        floor=service.load_floor,
        requests=max(service.load_floor, multiplied, above_mean),
        cost=math.ceil(service.load_multiple * total.cost / endpoints),
    )


def compute_bound(
    service: Service, total: Load, age: float, run_time: float = DEFAULT_RUN_TIME
) -> Bound:
    """Return the bound on running work for a sum that was heard `age` seconds ago.

    It is that of the fresh sum until the next one is overdue; without any sum it is
    the floor.
    """
    if service.kind is not ServiceKind.MODEL:
        return Bound(UNBOUNDED, UNBOUNDED, UNBOUNDED)
    fresh = multiply_mean(service, total)
    return fresh if age < MEAN_TIMEOUT else _shrink(fresh, age, run_time)


def compute_start_bound(
    service: Service, total: Load, age: float, run_time: float = DEFAULT_RUN_TIME
) -> Bound:
    """Return the bound within which work may start.

    It shrinks from the moment the sum was heard, but not below the mean before the
    next sum is overdue, so that a service whose load is even keeps its work.
    """
    if service.kind is not ServiceKind.MODEL:
        return Bound(UNBOUNDED, UNBOUNDED, UNBOUNDED)
    aged = _shrink(multiply_mean(service, total), age, run_time)
    if age >= MEAN_TIMEOUT:
        return aged
    mean = multiply_mean(evolve(service, load_multiple=1.0), total)
    return Bound(
        floor=aged.floor,
        requests=max(aged.requests, mean.requests),
        cost=max(aged.cost, mean.cost),
    )


def _shrink(fresh: Bound, age: float, run_time: float) -> Bound:
    """Return what may be left of a bound, as all work ends within the run time."""
    remaining = max(0.0, 1.0 - age / run_time)
    return Bound(
        floor=fresh.floor,
        requests=max(fresh.floor, int(fresh.requests * remaining)),
        cost=int(fresh.cost * remaining),
    )


def measure_cost(request: Request, generated: int) -> int:
    """Return what a request that generated some tokens really cost."""
    return len(request.body) // BYTES_PER_TOKEN + generated + 1


def add_loads(loads: Iterable[Load]) -> Load:
    """Return the sum of loads."""
    total = Load()
    for load in loads:
        total = Load(
            requests=total.requests + load.requests,
            cost=total.cost + load.cost,
            queued=total.queued + load.queued,
            endpoints=total.endpoints + load.endpoints,
        )
    return total


def change_load(total: Load, before: Load, after: Load) -> Load:
    """Return a sum in which one load has changed."""
    return Load(
        requests=total.requests + after.requests - before.requests,
        cost=total.cost + after.cost - before.cost,
        queued=total.queued + after.queued - before.queued,
        endpoints=total.endpoints + after.endpoints - before.endpoints,
    )


def subtract_fall(total: Load, counted: Load, present: Load) -> Load:
    """Return a sum less what one of its loads, `counted` in it, has fallen since."""
    requests = max(0, counted.requests - present.requests)
    cost = max(0, counted.cost - present.cost)
    return evolve(
        total,
        requests=max(0, total.requests - requests),
        cost=max(0, total.cost - cost),
    )
