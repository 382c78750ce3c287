"""Suspect updates: a router's handlers for lists of what crashes replicas."""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.events.replica_suspects import (
    ReplicaSuspectsChanged,
    TrialWaitExpired,
)
from gentianworks.core.gateway.crashes import describe_quarantine, report_earlier_calls
from gentianworks.core.gateway.dispatch import fail_call, send_to_best_replica
from gentianworks.core.gateway.route_table import RetryPolicy
from gentianworks.core.gateway.state import GatewayState
from gentianworks.core.quarantine.suspects import Fingerprint
from gentianworks.core.reducer import reduce
from gentianworks.core.state import State
from gentianworks.core.types import RunState


@reduce.register
def _(event: ReplicaSuspectsChanged, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    if gateway is None or not gateway.crashes.update_suspects(event):
        return []
    effects = report_earlier_calls(gateway.crashes, state, now)
    effects += _stop_quarantined_calls(gateway, state, now)
    quarantined = gateway.crashes.suspects.quarantined
    for fingerprint in list(gateway.crashes.held_calls):
        suspect = quarantined.get(fingerprint)
        if suspect is None or not suspect.is_trial_offered:
            effects += _continue_held_call(fingerprint, gateway, state, now)
    return effects


@reduce.register
def _(event: TrialWaitExpired, state: State, now: float) -> list[Effect]:
    gateway = state.gateway
    exchange_id = gateway.crashes.held_calls.get(event.fingerprint) if gateway else None
    exchange = gateway.exchanges.get(exchange_id) if gateway and exchange_id else None
    if gateway is None or exchange_id is None:
        return []
    del gateway.crashes.held_calls[event.fingerprint]
    suspect = gateway.crashes.suspects.quarantined.get(event.fingerprint)
    if exchange is None or suspect is None:
        return []
    return fail_call(exchange, describe_quarantine(suspect), gateway, now)


def _continue_held_call(
    fingerprint: Fingerprint, gateway: GatewayState, state: State, now: float
) -> list[Effect]:
    """Send a held call if this router has its trial or needs none; else refuse it."""
    exchange_id = gateway.crashes.held_calls.pop(fingerprint)
    exchange = gateway.exchanges.get(exchange_id)
    if exchange is None:
        return []
    return send_to_best_replica(exchange, gateway, state, now)


def _stop_quarantined_calls(
    gateway: GatewayState, state: State, now: float
) -> list[Effect]:
    """End the quarantined calls that wait at replicas, which they would crash.

    Calls that must not be repeated go on, and so does the call of a trial.
    """
    effects: list[Effect] = []
    for exchange in list(gateway.exchanges.values()):
        is_repeatable = exchange.route.retry_policy is not RetryPolicy.AT_MOST_ONCE
        if exchange.has_received_piece or not exchange.attempt or not is_repeatable:
            continue
        blocking = [
            item
            for item in gateway.crashes.find_quarantined(exchange.call)
            if item.trial_router != state.node.peer_address
        ]
        if blocking:
            problem = describe_quarantine(blocking[0], RunState.UNKNOWN)
            effects += fail_call(exchange, problem, gateway, now)
    return effects
