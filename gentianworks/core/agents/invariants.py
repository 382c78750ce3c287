"""Invariants of an agent, asserted where `checks_invariants` is set."""

from __future__ import annotations

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.load.agent_bounds import compute_agent_start_bound
from gentianworks.core.quarantine.enforcement import may_start
from gentianworks.core.state import State


def check_agent(agent: AgentState, state: State, now: float) -> None:
    """Assert that no attempt is lost and that no attempt waits that could start."""
    if not state.checks_invariants:
        return
    running, queued = set(agent.running), set(agent.queue.tickets)
    assert not running & queued, f"both running and queued: {running & queued}"
    known = set(agent.attempts)
    on_trial = {attempt for attempt in known if agent.awaits_trial(attempt)}
    assert not on_trial & (running | queued), f"awaiting trial and queued: {on_trial}"
    assert running | queued | on_trial == known, "an attempt was lost"
    endpoint = state.configuration.find_endpoint(agent.endpoint)
    ticket = agent.queue.peek(state.configuration.ranks)
    if endpoint is None or ticket is None or not agent.is_reconciled:
        return
    if not may_start(agent.attempts[ticket.attempt], agent, state, now):
        return
    load = agent.compute_load()
    is_full = load.requests >= endpoint.capacity
    bound = compute_agent_start_bound(agent, ticket.cost, state, now)
    assert is_full or not bound.has_room(load, ticket.cost), "a free slot is unused"
