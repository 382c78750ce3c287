"""Registration: registers an agent's incarnation in the ledger of claims."""

from __future__ import annotations

from gentianworks.core.agents.attempts import AgentState
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent, SetTimer
from gentianworks.core.events.ledger import (
    IncarnationAcknowledged,
    IncarnationStarted,
    RegistrationDue,
)
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.control_hosts import send_to_control
from gentianworks.core.state import State

REGISTRATION_RETRY_INTERVAL = 0.25  # seconds


def start_registration(state: State, now: float) -> list[Effect]:
    """Start the registration of an agent's incarnation."""
    return [] if state.agent is None else [SetTimer(now, RegistrationDue())]


@reduce.register
def _(event: RegistrationDue, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None or agent.claims.is_registered:
        return []
    retry = SetTimer(now + REGISTRATION_RETRY_INTERVAL, RegistrationDue())
    if not _is_declared_here(agent, state):
        return [retry]
    agent.claims.registration_send_count += 1
    registration = IncarnationStarted(
        sender=state.node.name,
        peer_address=state.node.peer_address,
        endpoint=agent.endpoint,
        incarnation=state.incarnation,
        ordinal=agent.claims.ordinal,
    )
    return [
        *send_to_control(registration, agent.claims.registration_send_count, state),
        retry,
    ]


def _is_declared_here(agent: AgentState, state: State) -> bool:
    address = state.node.peer_address
    return state.configuration.find_endpoint_at(agent.endpoint, address) is not None


def warn_if_misplaced(state: State) -> list[Effect]:
    """Log a warning if an agent's endpoint is declared at another address.

    Such an agent receives no work.
    """
    agent = state.agent
    if agent is None or _is_declared_here(agent, state):
        return []
    details = (
        ("endpoint", agent.endpoint),
        ("peer_address", state.node.peer_address),
    )
    return [LogEvent("GW5005", details)]


@reduce.register
def _(event: IncarnationAcknowledged, state: State, now: float) -> list[Effect]:
    agent = state.agent
    if agent is None or event.endpoint != agent.endpoint:
        return []
    if event.incarnation == state.incarnation:
        agent.claims.is_registered = True
        return []
    if event.ordinal < agent.claims.ordinal:
        return []
    agent.claims.ordinal = event.ordinal + 1
    agent.claims.is_registered = False
    return [SetTimer(now, RegistrationDue())]
