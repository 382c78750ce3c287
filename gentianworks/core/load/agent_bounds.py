"""Agent bounds: the load that an agent's endpoint may run now."""

from __future__ import annotations

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.events.dispatch import Dispatch
from gentianworks.core.load.bound import (
    UNBOUNDED,
    LoadBound,
    compute_bound,
    compute_fresh_bound,
    compute_start_bound,
    subtract_decrease,
    sum_loads,
)
from gentianworks.core.state import State
from gentianworks.core.types import Load, Rank, Service, ServiceKind

UNKNOWN_RANK_QUEUE_TIMEOUT = 5.0  # seconds
NO_LOAD = Load()


def get_rank(dispatch: Dispatch, state: State) -> Rank:
    """Return the rank of an attempt; an unknown rank is the least urgent."""
    name = dispatch.request.rank
    last = max((rank.priority for rank in state.configuration.ranks), default=0)
    unknown = Rank(name, last + 1, 0.0, UNKNOWN_RANK_QUEUE_TIMEOUT)
    return state.configuration.find_rank(name) or unknown


def find_service(agent: AgentState, state: State) -> Service | None:
    """Return the service of the agent's endpoint, or None if it isn't configured."""
    endpoint = state.configuration.find_endpoint(agent.endpoint)
    return state.configuration.find_service(endpoint.service) if endpoint else None


def is_model(agent: AgentState, state: State) -> bool:
    """Return whether the endpoint is a model engine."""
    service = find_service(agent, state)
    return service is not None and service.kind is ServiceKind.MODEL


def compute_agent_bound(agent: AgentState, state: State, now: float) -> LoadBound:
    """Return the present bound on the endpoint's running load."""
    service = find_service(agent, state)
    if service is None:
        return LoadBound(UNBOUNDED, UNBOUNDED, UNBOUNDED)
    total = _estimate_total(agent, service, NO_LOAD, state)
    age = now - state.fleet.loads_as_of
    return compute_bound(service, total, age, agent.mean_run_time)


def compute_agent_start_bound(
    agent: AgentState, cost: int, state: State, now: float
) -> LoadBound:
    """Return the bound for starting one more request of `cost` tokens."""
    service = find_service(agent, state)
    if service is None:
        return LoadBound(UNBOUNDED, UNBOUNDED, UNBOUNDED)
    added = Load(requests=1, cost=cost)
    total = _estimate_total(agent, service, added, state)
    age = now - state.fleet.loads_as_of
    return compute_start_bound(service, total, age, agent.mean_run_time)


def is_bound_above_floor(agent: AgentState, state: State) -> bool:
    """Return whether the last received sum allows more than the floor."""
    service = find_service(agent, state)
    received = state.fleet.loads.get(service.name) if service else None
    if service is None or received is None or service.kind is not ServiceKind.MODEL:
        return False
    return compute_fresh_bound(service, received.load).requests > service.load_floor


def _estimate_total(
    agent: AgentState, service: Service, added: Load, state: State
) -> Load:
    """Return the last received sum, less the decrease of the endpoint's own load."""
    received = state.fleet.loads.get(service.name)
    present = sum_loads((agent.compute_load(), added))
    return subtract_decrease(
        received.load if received else NO_LOAD, agent.load_in_sum, present
    )


def has_room(agent: AgentState, cost: int, state: State, now: float) -> bool:
    """Return whether the endpoint may run one more request of `cost` tokens."""
    load = agent.compute_load()
    endpoint = state.configuration.find_endpoint(agent.endpoint)
    if load.requests >= (endpoint.capacity if endpoint else 0):
        return False
    return compute_agent_start_bound(agent, cost, state, now).has_room(load, cost)


def count_slots(agent: AgentState, state: State, now: float) -> int:
    """Return the number of requests that the endpoint may run concurrently."""
    endpoint = state.configuration.find_endpoint(agent.endpoint)
    capacity = endpoint.capacity if endpoint else 0
    return min(capacity, compute_agent_bound(agent, state, now).requests)
