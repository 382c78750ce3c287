"""Load sums: what any control host tells of a service's load, whether it leads or not.

A sum is no decision of the control group: it only has to be recent, and not too high.
"""

from __future__ import annotations

from collections.abc import Collection

from attrs import evolve

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage
from gentianworks.core.events.membership import Heartbeat, LoadSum
from gentianworks.core.load.table import ToldSum
from gentianworks.core.replication.elections import is_leading
from gentianworks.core.state import State
from gentianworks.core.types import ServiceLoad, ServiceName


def leads_settled(service: ServiceName, state: State, now: float) -> bool:
    """Tell whether this host leads and has heard a service's live endpoints."""
    roster = state.roster
    if not is_leading(state, now) or not roster.epoch:
        return False
    missing = state.load_table.count_missing(service, state.configuration)
    return missing == 0 or roster.has_settled(now)


def find_total(service: ServiceName, state: State, now: float) -> ServiceLoad:
    """Return the sum over a service's endpoints that this host may tell.

    A leader counts the live endpoints. Another host does not know which are, so
    those that it has not heard count as idle, which lowers the mean.
    """
    table = state.load_table
    total = table.sum_load(service, now)
    if leads_settled(service, state, now):
        return total
    missing = table.count_missing(service, state.configuration)
    endpoints = total.load.endpoints + missing
    return ServiceLoad(service, evolve(total.load, endpoints=endpoints))


def answer_question(event: Heartbeat, state: State, now: float) -> list[Effect]:
    """Tell an endpoint its service's sum, and again once it is whole."""
    table = state.load_table
    endpoint = state.configuration.find_endpoint_at(event.endpoint, event.peer_address)
    if endpoint is None or now < table.trusted_at:
        return []
    service = endpoint.service
    if event.asks_sum:
        table.questions.setdefault(service, {})[endpoint.name] = event
    if table.count_missing(service, state.configuration) == 0:
        waiting = table.questions.pop(service, {})
        return _tell_sum(waiting.values(), service, True, state, now)
    asked = [event] if event.asks_sum else []
    return _tell_sum(asked, service, False, state, now)


def _tell_sum(
    questions: Collection[Heartbeat],
    service: ServiceName,
    is_whole: bool,
    state: State,
    now: float,
) -> list[Effect]:
    if not questions:
        return []
    total = find_total(service, state, now)
    effects: list[Effect] = []
    for question in questions:
        state.load_table.falls.told[question.endpoint] = ToldSum(total.load, now)
        answer = LoadSum(
            sender=state.node.name,
            peer_address=state.node.peer_address,
            total=total,
            asked_at=question.sent_at,
            is_whole=is_whole,
        )
        effects.append(SendMessage(question.peer_address, answer))
    return effects
