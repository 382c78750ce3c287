"""Bounds: what an agent's endpoint may run now."""

from __future__ import annotations

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.events.dispatch import Dispatch
from gentianworks.core.load.load import (
    UNBOUNDED,
    Bound,
    add_loads,
    compute_bound,
    compute_start_bound,
    multiply_mean,
    subtract_fall,
)
from gentianworks.core.state import State
from gentianworks.core.types import Load, Rank, Service, ServiceKind

UNKNOWN_RANK_QUEUE_TIMEOUT = 5.0  # seconds
NO_LOAD = Load()


def find_rank(dispatch: Dispatch, state: State) -> Rank:
    """Return the rank of an attempt; an unknown one is the least urgent."""
    name = dispatch.request.rank
    last = max((rank.priority for rank in state.configuration.ranks), default=0)
    unknown = Rank(name, last + 1, 0.0, UNKNOWN_RANK_QUEUE_TIMEOUT)
    return state.configuration.find_rank(name) or unknown


def find_service(agent: AgentState, state: State) -> Service | None:
    """Return the service of the agent's endpoint, or None where it has none."""
    endpoint = state.configuration.find_endpoint(agent.endpoint)
    return state.configuration.find_service(endpoint.service) if endpoint else None


def is_model(agent: AgentState, state: State) -> bool:
    """Tell whether the endpoint is a model engine."""
    service = find_service(agent, state)
    return service is not None and service.kind is ServiceKind.MODEL


def find_bound(agent: AgentState, state: State, now: float) -> Bound:
    """Return the present bound on the endpoint's load."""
    service = find_service(agent, state)
    if service is None:
        return Bound(UNBOUNDED, UNBOUNDED, UNBOUNDED)
    total = _find_total(agent, service, NO_LOAD, state)
    age = now - state.fleet.loads_as_of
    return compute_bound(service, total, age, agent.run_time)


def find_start_bound(agent: AgentState, cost: int, state: State, now: float) -> Bound:
    """Return the bound on the endpoint's load once one more request of `cost` runs."""
    service = find_service(agent, state)
    if service is None:
        return Bound(UNBOUNDED, UNBOUNDED, UNBOUNDED)
    added = Load(requests=1, cost=cost)
    total = _find_total(agent, service, added, state)
    age = now - state.fleet.loads_as_of
    return compute_start_bound(service, total, age, agent.run_time)


def is_above_floor(agent: AgentState, state: State) -> bool:
    """Tell whether the sum that was heard allows more than the floor."""
    service = find_service(agent, state)
    heard = state.fleet.loads.get(service.name) if service else None
    if service is None or heard is None or service.kind is not ServiceKind.MODEL:
        return False
    return multiply_mean(service, heard.load).requests > service.load_floor


def _find_total(agent: AgentState, service: Service, added: Load, state: State) -> Load:
    """Return the sum that was heard, less what the endpoint's own load has fallen."""
    heard = state.fleet.loads.get(service.name)
    present = add_loads((agent.measure_load(), added))
    return subtract_fall(heard.load if heard else NO_LOAD, agent.counted, present)


def has_room(agent: AgentState, cost: int, state: State, now: float) -> bool:
    """Tell whether the endpoint may run one more request of `cost`."""
    load = agent.measure_load()
    endpoint = state.configuration.find_endpoint(agent.endpoint)
    if load.requests >= (endpoint.capacity if endpoint else 0):
        return False
    return find_start_bound(agent, cost, state, now).has_room(load, cost)


def count_slots(agent: AgentState, state: State, now: float) -> int:
    """Return the number of requests that the endpoint may run side by side."""
    endpoint = state.configuration.find_endpoint(agent.endpoint)
    capacity = endpoint.capacity if endpoint else 0
    return min(capacity, find_bound(agent, state, now).requests)
