"""Sources: from which replica a call's prompt is fetched instead of read again.

Answers subjects that move: where a replica joins, leaves or spills, the long prompts
of its subjects are copied from the replica that holds them, which costs a fraction of
reading them.
"""

from __future__ import annotations

from gentianworks.core.gateway.calls import Call
from gentianworks.core.gateway.replicas import Replica
from gentianworks.core.gateway.state import GatewayState
from gentianworks.core.routing.placement import order_by_score

MIN_FETCHED_TOKENS = 256  # shorter prompts are read faster than a fetch is set up


def find_source(
    call: Call, replica: Replica, gateway: GatewayState, now: float
) -> Replica | None:
    """Return the replica that holds a call's prompt where `replica` does not."""
    shared = sum(part.tokens for part in call.prompt[:-1])
    if not call.subject or shared < MIN_FETCHED_TOKENS:
        return None
    known = gateway.book.list_known(replica.service)
    old = [item for item in known if not gateway.book.is_young(item.name, now)]
    holders = order_by_score(call.subject, old)
    holder = next(iter(holders), None)
    if holder is None or holder.name == replica.name:
        return None
    return None if gateway.avoidance.is_unavailable(holder.name, now) else holder
