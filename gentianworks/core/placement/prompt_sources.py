"""Prompt sources: replicas from which a cached prompt is fetched.

When a replica joins, leaves or spills calls, they move to one that lacks their shared
prompt. Fetching the prompt's cache from the replica that has it takes a fraction of
the time to process the prompt again.

A prompt's home fetches too, where the settings or the replicas' reports tell that
replicas share their machines: it lacks the prompt of a subject that is new or was
evicted, but the parts that many subjects share are at any other replica.
"""

from __future__ import annotations

from gentianworks.core.gateway.calls import Call
from gentianworks.core.gateway.replicas import Replica
from gentianworks.core.gateway.state import GatewayState
from gentianworks.core.routing.placement import order_by_score

MIN_FETCHED_TOKENS = 256  # processing a shorter prompt is faster than a fetch


def find_prompt_source(
    call: Call, replica: Replica, gateway: GatewayState, now: float
) -> Replica | None:
    """Return the replica that has a call's prompt cached, or None if no fetch helps."""
    shared = sum(part.tokens for part in call.prompt[:-1])
    if not call.affinity_key or shared < MIN_FETCHED_TOKENS:
        return None
    reachable = gateway.registry.list_reachable(replica.service)
    warm = [
        item for item in reachable if not gateway.registry.is_warming_up(item.name, now)
    ]
    order = order_by_score(call.affinity_key, warm)
    if gateway.fetches_prefixes or gateway.speeds.is_reported(replica.service):
        order = [
            item
            for item in gateway.outliers.prefer_sound(order, False, now)
            if not gateway.backoff.is_unavailable(item.name, now)
        ]
        return next((item for item in order if item.name != replica.name), None)
    source = next(iter(order), None)
    if source is None or source.name == replica.name:
        return None
    return None if gateway.backoff.is_unavailable(source.name, now) else source
