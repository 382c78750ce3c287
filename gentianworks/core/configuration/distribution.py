"""Distribution: handlers that send accepted configurations to every process.

A control host pushes each delta to a few agents, and every process that receives a new
one pushes it to its own few neighbours. Each process also polls two neighbours every
second, and control hosts announce their revision to their neighbours, so that a lost
push delays a change by a second instead of losing it.
"""

from __future__ import annotations

from attrs import evolve

from gentianworks.core.agents.registration import warn_if_misplaced
from gentianworks.core.configuration.deltas import Delta
from gentianworks.core.configuration.distribution_state import (
    apply_deltas,
    choose_neighbours,
)
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.gateway import DecodeRoutes
from gentianworks.core.effects.lifecycle import LogEvent, SendMessage, SetTimer
from gentianworks.core.evacuations.routers import update_evacuations
from gentianworks.core.events.configuration import (
    ConfigurationActivated,
    ConfigurationOffered,
    ConfigurationPollDue,
    ConfigurationWanted,
    RevisionConfirmed,
    RevisionReadConfirmed,
    RevisionWanted,
)
from gentianworks.core.events.replication import ReplicatedStateRestored
from gentianworks.core.reducer import reduce
from gentianworks.core.replica_list.discovery import request_missing_list
from gentianworks.core.replication.proposals import confirm_read
from gentianworks.core.state import State
from gentianworks.core.types import Configuration, Role

POLL_INTERVAL = 1.0  # seconds
CONFIRM_INTERVAL = 0.5  # seconds
MAX_RELAY_HOPS = 2
POLLED_NEIGHBOURS = 2
MAX_PUSHED_ROUTERS = 64  # by the leader; other routers learn of it by heartbeat


def start_distribution(state: State, now: float) -> list[Effect]:
    """Return the effects that start the polling for configurations."""
    if state.node.role is Role.CONTROL:
        state.distribution.confirmed_revision = 0
    return [SetTimer(now, ConfigurationPollDue())]


@reduce.register
def _(event: ConfigurationPollDue, state: State, now: float) -> list[Effect]:
    if state.node.role is Role.CONTROL:
        timer = SetTimer(now + POLL_INTERVAL, ConfigurationPollDue())
        return [timer, *adopt_replicated(state, now), *_announce(state)]
    is_confirmed = state.distribution.confirmed_revision is not None
    interval = POLL_INTERVAL if is_confirmed else CONFIRM_INTERVAL
    timer = SetTimer(now + interval, ConfigurationPollDue())
    return [timer, *_request_revision(state), *_poll_peers(state)]


def _request_revision(state: State) -> list[Effect]:
    """Request the revision that a quorum confirms, unless it is known."""
    if state.distribution.confirmed_revision is not None:
        return []
    request = RevisionWanted(
        sender=state.node.name,
        nonce=_build_nonce(state),
        peer_address=state.node.peer_address,
        hops=MAX_RELAY_HOPS,
    )
    addresses = (*state.control_addresses, *state.distribution.relay_addresses)
    return [SendMessage(address, request) for address in addresses]


def _build_nonce(state: State) -> str:
    return f"{state.node.name}-{state.incarnation}"


def _poll_peers(state: State) -> list[Effect]:
    """Poll neighbours; while behind, poll one control host or relay as well."""
    distribution = state.distribution
    addresses = [distribution.get_next_neighbour() for _ in range(POLLED_NEIGHBOURS)]
    if distribution.is_behind():
        others = (*state.control_addresses, *distribution.relay_addresses)
        addresses += [others[distribution.poll_count % len(others)]] if others else []
        distribution.poll_count += 1
    return [
        build_configuration_request(address, state) for address in addresses if address
    ]


def build_configuration_request(address: str, state: State) -> Effect:
    """Return the effect that requests a newer configuration from a peer."""
    request = ConfigurationWanted(
        sender=state.node.name,
        revision=state.distribution.newest.revision,
        peer_address=state.node.peer_address,
    )
    return SendMessage(address, request)


def request_newer_configuration(
    revision: int, state: State, address: str = ""
) -> list[Effect]:
    """Request a configuration if a peer, reached at `address`, has a newer one.

    The request goes to a neighbour rather than to that peer, so that the control
    hosts need not answer the whole fleet at once.
    """
    distribution = state.distribution
    distribution.highest_known_revision = max(
        distribution.highest_known_revision, revision
    )
    if revision <= distribution.newest.revision:
        return []
    fallback = [address] if address else list(state.control_addresses)
    neighbour = distribution.get_next_neighbour()
    addresses = [neighbour] if neighbour else fallback
    return [build_configuration_request(item, state) for item in addresses]


@reduce.register
def _(event: ConfigurationWanted, state: State, now: float) -> list[Effect]:
    distribution = state.distribution
    if distribution.newest.revision <= event.revision:
        return []
    deltas = distribution.find_deltas(event.revision)
    offer = ConfigurationOffered(
        sender=state.node.name,
        peer_address=state.node.peer_address,
        revision=distribution.newest.revision,
        deltas=deltas or (),
        configuration=distribution.newest if deltas is None else None,
    )
    return [SendMessage(event.peer_address, offer)]


@reduce.register
def _(event: ConfigurationOffered, state: State, now: float) -> list[Effect]:
    distribution = state.distribution
    distribution.highest_known_revision = max(
        distribution.highest_known_revision, event.revision
    )
    before = distribution.newest.revision
    if event.revision <= before or state.node.role is Role.CONTROL:
        return []
    offered = event.configuration or Configuration()
    if offered.revision <= before:
        offered = apply_deltas(distribution.newest, event.deltas)
    if offered.revision <= before:
        return [build_configuration_request(event.peer_address, state)]
    new_deltas = tuple(item for item in event.deltas if item.from_revision >= before)
    return accept_configuration(offered, new_deltas, state, now)


def accept_configuration(
    configuration: Configuration, deltas: tuple[Delta, ...], state: State, now: float
) -> list[Effect]:
    """Store a newer configuration, push its deltas and put it in force."""
    distribution = state.distribution
    if configuration.revision <= distribution.newest.revision:
        return []
    distribution.newest = configuration
    for delta in deltas:
        distribution.add_delta(delta)
    distribution.neighbours = choose_neighbours(
        state.node.name, state.node.peer_address, configuration
    )
    pushes = _announce(state, deltas) if deltas else []
    return [*pushes, *_put_in_force(state, now)]


def _announce(state: State, deltas: tuple[Delta, ...] = ()) -> list[Effect]:
    """Announce the newest revision, with the deltas that lead to it, to neighbours."""
    offer = ConfigurationOffered(
        sender=state.node.name,
        peer_address=state.node.peer_address,
        revision=state.distribution.newest.revision,
        deltas=deltas,
    )
    # Only the leader receives heartbeats of routers; elsewhere this list is empty.
    routers = list(state.router_heartbeats)[:MAX_PUSHED_ROUTERS] if deltas else []
    addresses = dict.fromkeys((*state.distribution.neighbours, *routers))
    return [SendMessage(address, offer) for address in addresses]


def _put_in_force(state: State, now: float) -> list[Effect]:
    distribution = state.distribution
    newest = distribution.newest
    if (
        distribution.confirmed_revision is None
        or newest.revision < distribution.confirmed_revision
    ):
        return []
    if newest.revision <= state.configuration.revision:
        return []
    state.configuration = newest
    log = LogEvent("GW1003", (("revision", str(newest.revision)),))
    chosen = ConfigurationActivated(newest.revision)
    return [
        log,
        *_decode_routes(state),
        *warn_if_misplaced(state),
        *reduce(chosen, state, now),
    ]


def _decode_routes(state: State) -> list[Effect]:
    if state.gateway is None:
        return []
    return [DecodeRoutes(state.configuration.routes)]


def adopt_replicated(state: State, now: float) -> list[Effect]:
    """Put a control host's replicated configuration in force on it."""
    return accept_configuration(state.control.replicated.configuration, (), state, now)


@reduce.register
def _(event: ReplicatedStateRestored, state: State, now: float) -> list[Effect]:
    return adopt_replicated(state, now)


@reduce.register
def _(event: RevisionWanted, state: State, now: float) -> list[Effect]:
    if state.node.role is Role.CONTROL:
        read = RevisionReadConfirmed(event.nonce, event.peer_address)
        return confirm_read(read, state, now)
    if event.hops <= 0 or event.nonce == _build_nonce(state):
        return []
    state.distribution.record_relayed_request(event.nonce, event.peer_address)
    request = RevisionWanted(
        sender=state.node.name,
        nonce=event.nonce,
        peer_address=state.node.peer_address,
        hops=event.hops - 1,
    )
    return [SendMessage(address, request) for address in state.control_addresses]


@reduce.register
def _(event: RevisionReadConfirmed, state: State, now: float) -> list[Effect]:
    revision = state.control.replicated.configuration.revision
    own = state.node.peer_address
    evacuations = state.control.replicated.evacuations
    answer = RevisionConfirmed(
        state.node.name,
        event.nonce,
        revision,
        own,
        evacuations.revision,
        tuple(evacuations.zones),
    )
    return [SendMessage(event.peer_address, answer)]


@reduce.register
def _(event: RevisionConfirmed, state: State, now: float) -> list[Effect]:
    distribution = state.distribution
    requester = distribution.relayed_requesters.pop(event.nonce, "")
    if requester:
        # Without this address, the requester polls peers and not the control hosts.
        answer = evolve(event, sender=state.node.name, peer_address="")
        return [SendMessage(requester, answer)]
    if (
        event.nonce != _build_nonce(state)
        or distribution.confirmed_revision is not None
    ):
        return []
    distribution.confirmed_revision = event.revision
    missing = [
        *update_evacuations(
            event.evacuations_revision, event.evacuated_zones, state, now
        ),
        *request_missing_list(state),
    ]
    if not distribution.is_behind():
        return [*missing, *_put_in_force(state, now)]
    # Another control host, such as one with a new disk, may lack this revision.
    return [
        *missing,
        *_request_confirmed(event, state),
        *_put_in_force(state, now),
    ]


def _request_confirmed(event: RevisionConfirmed, state: State) -> list[Effect]:
    if not event.peer_address:
        return _poll_peers(state)
    return [build_configuration_request(event.peer_address, state)]
