"""Load bound: the bound on an endpoint's load, relative to the mean of its service.

Load is the number of requests that the endpoint runs and their outstanding cost in
tokens. An endpoint may always run `load_floor` requests; beyond them, both measures
are limited to `load_multiple` times the mean over the service's live endpoints.

The mean counts running requests but not queued ones: a bound that counted queues would
rise at one agent before the others had started the work.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import evolve, frozen

from gentianworks.core.types import Load, Request, Service, ServiceKind

MEAN_TIMEOUT = 0.7  # seconds; the next sum is overdue then
DEFAULT_RUN_TIME = 5.0  # seconds
MIN_RUN_TIME = 2.0  # seconds
UNBOUNDED = 2**62  # requests, or tokens of cost
COST_NOISE = 0.0625  # fraction of the cost bound
BYTES_PER_TOKEN = 4


@frozen
class LoadBound:
    """Most requests and cost in tokens that an endpoint may run.

    The cost is limited only beyond `floor` requests.
    """

    floor: int
    requests: int
    cost: int

    def has_room(self, load: Load, cost: int) -> bool:
        """Return whether one more request of `cost` may run in addition to `load`."""
        if load.requests < min(self.floor, self.requests):
            return True
        return load.requests < self.requests and load.cost + cost <= self.cost

    def is_exceeded(self, load: Load) -> bool:
        """Return whether `load` is above the bound."""
        if load.requests <= self.floor:
            return False
        return load.requests > self.requests or load.cost > self.cost

    def may_be_exceeded(self, load: Load) -> bool:
        """Return whether `load` exceeds the bound, or would once its queue started."""
        if load.requests + load.queued >= self.requests:
            return True
        return load.requests > self.floor and load.cost > self.cost

    def is_below(self, other: LoadBound) -> bool:
        """Return whether this bound is lower than `other` by more than noise."""
        lowest_cost = other.cost - int(other.cost * COST_NOISE)
        return self.requests < other.requests or self.cost < lowest_cost


def compute_fresh_bound(service: Service, total: Load) -> LoadBound:
    """Return the bound for a fresh sum over the endpoints of a service.

    The number of requests is rounded down, which limits the excess when the mean falls
    between two reports, but is above the mean, so that the load can always grow.
    """
    endpoints = max(total.endpoints, 1)
    multiplied = int(service.load_multiple * total.requests / endpoints)
    above_mean = total.requests // endpoints + 1
    return LoadBound(
        floor=service.load_floor,
        requests=max(service.load_floor, multiplied, above_mean),
        cost=math.ceil(service.load_multiple * total.cost / endpoints),
    )


def compute_bound(
    service: Service, total: Load, age: float, run_time: float = DEFAULT_RUN_TIME
) -> LoadBound:
    """Return the bound on running work for a sum received `age` seconds ago.

    The bound of the fresh sum holds until the next sum is overdue. Then it shrinks with
    the age, to the floor at `run_time` seconds; without any sum it is the floor.
    """
    if service.kind is not ServiceKind.MODEL:
        return LoadBound(UNBOUNDED, UNBOUNDED, UNBOUNDED)
    fresh = compute_fresh_bound(service, total)
    return fresh if age < MEAN_TIMEOUT else _shrink(fresh, age, run_time)


def compute_start_bound(
    service: Service, total: Load, age: float, run_time: float = DEFAULT_RUN_TIME
) -> LoadBound:
    """Return the bound on starting work for a sum received `age` seconds ago.

    It shrinks from the time the sum was received, but not below the mean until the
    next sum is overdue, so that evenly loaded endpoints keep their work.
    """
    if service.kind is not ServiceKind.MODEL:
        return LoadBound(UNBOUNDED, UNBOUNDED, UNBOUNDED)
    aged = _shrink(compute_fresh_bound(service, total), age, run_time)
    if age >= MEAN_TIMEOUT:
        return aged
    mean = compute_fresh_bound(evolve(service, load_multiple=1.0), total)
    return LoadBound(
        floor=aged.floor,
        requests=max(aged.requests, mean.requests),
        cost=max(aged.cost, mean.cost),
    )


def _shrink(fresh: LoadBound, age: float, run_time: float) -> LoadBound:
    """Return the bound on the work still running, which all ends within `run_time`."""
    remaining = max(0.0, 1.0 - age / run_time)
    return LoadBound(
        floor=fresh.floor,
        requests=max(fresh.floor, int(fresh.requests * remaining)),
        cost=int(fresh.cost * remaining),
    )


def compute_cost(request: Request, generated: int) -> int:
    """Return the cost in tokens of a request that has generated `generated` tokens."""
    return len(request.body) // BYTES_PER_TOKEN + generated + 1


def sum_loads(loads: Iterable[Load]) -> Load:
    """Return the sum of `loads`."""
    total = Load()
    for load in loads:
        total = Load(
            requests=total.requests + load.requests,
            cost=total.cost + load.cost,
            queued=total.queued + load.queued,
            endpoints=total.endpoints + load.endpoints,
        )
    return total


def replace_load(total: Load, before: Load, after: Load) -> Load:
    """Return a sum in which one load has changed from `before` to `after`."""
    return Load(
        requests=total.requests + after.requests - before.requests,
        cost=total.cost + after.cost - before.cost,
        queued=total.queued + after.queued - before.queued,
        endpoints=total.endpoints + after.endpoints - before.endpoints,
    )


def subtract_decrease(total: Load, counted: Load, present: Load) -> Load:
    """Return a sum less the decrease of one of its loads since it was `counted`."""
    requests = max(0, counted.requests - present.requests)
    cost = max(0, counted.cost - present.cost)
    return evolve(
        total,
        requests=max(0, total.requests - requests),
        cost=max(0, total.cost - cost),
    )
