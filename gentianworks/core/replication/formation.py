"""Formation: forms the group once and lets hosts with empty disks join it."""

from __future__ import annotations

from gentianworks.core.commands.members import ChangeMembers
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage
from gentianworks.core.events.replication import FormationRequest, FormationResponse
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.leader import append_command
from gentianworks.core.replication.log import Vote
from gentianworks.core.replication.members import (
    ControlMember,
    DiscoveredHostsPolicy,
    ListedHostsPolicy,
    Membership,
    MembershipPolicy,
    plan_change,
)
from gentianworks.core.replication.peer_messages import get_replication
from gentianworks.core.replication.replication import (
    ControlRole,
    Replication,
)
from gentianworks.core.state import State

PROBE_INTERVAL = 0.5  # seconds
CAUGHT_UP_TIMEOUT = 1.0  # seconds
VOTER_TIMEOUT = 1.5  # seconds; six heartbeats, as for an election
LEARNER_TIMEOUT = 5.0  # seconds; a learner may be loading a snapshot


def probe_group(state: State, now: float) -> list[Effect]:
    """Ask the known control hosts at intervals whether a group exists."""
    replication = get_replication(state)
    if now < replication.next_probe_at or not _needs_probe(state, now):
        return []
    replication.next_probe_at = now + PROBE_INTERVAL
    request = FormationRequest(
        sender=state.node.name,
        host=replication.host,
        peer_address=state.node.peer_address,
        addresses=state.control_addresses,
        is_empty=_may_form_group(state),
    )
    sends = [SendMessage(address, request) for address in _list_probe_addresses(state)]
    return [*sends, *_form_group(state, now)]


def change_members(state: State, now: float) -> list[Effect]:
    """Append the next membership change to the leader's log, if one is due."""
    replication = get_replication(state)
    if not replication.is_leader or _is_changing(replication):
        return []
    planned = plan_change(
        replication.membership,
        replication.host,
        _build_policy(state, now),
        replication.joining_hosts,
        _list_caught_up(replication, now),
    )
    if planned is None:
        return []
    replication.joining_hosts.clear()
    command = ChangeMembers(state.create_id(), now, planned)
    return append_command(command, state, now)


@reduce.register
def _(event: FormationRequest, state: State, now: float) -> list[Effect]:
    replication = state.control.replication
    if replication is None:
        return []
    if replication.is_leader:
        replication.joining_hosts[event.peer_address] = event.host
    response = FormationResponse(
        sender=state.node.name,
        asker=event.host,
        host=replication.host,
        peer_address=state.node.peer_address,
        addresses=state.control_addresses,
        is_empty=_may_form_group(state),
        leader_address=replication.leader_address,
        log_end=replication.log.last,
    )
    return [SendMessage(event.peer_address, response)]


@reduce.register
def _(event: FormationResponse, state: State, now: float) -> list[Effect]:
    replication = state.control.replication
    if replication is None or event.asker != replication.host:
        return []
    replication.formation_responses[event.peer_address] = event
    replication.reported_leader_address = (
        event.leader_address or replication.reported_leader_address
    )
    return _form_group(state, now)


def _needs_probe(state: State, now: float) -> bool:
    replication = get_replication(state)
    if not replication.is_formed:
        return True
    if replication.is_leader:
        return False
    is_voter = replication.host in replication.membership.list_voters()
    may_be_removed = not is_voter or state.discovers_control_hosts
    silence = now - replication.leader_contact_at
    return may_be_removed and silence > replication.timing.election_max


def _may_form_group(state: State) -> bool:
    """Return whether this host may be one of the first members of a group."""
    return get_replication(state).is_empty and state.is_first_start


def _build_policy(state: State, now: float) -> MembershipPolicy:
    if not state.discovers_control_hosts:
        return ListedHostsPolicy(state.control_addresses)
    replication = get_replication(state)
    unresponsive = frozenset(
        peer.host
        for peer in replication.list_peers()
        if now - replication.get_contact(peer.host) > _get_silence_timeout(peer)
    )
    return DiscoveredHostsPolicy(unresponsive, 2 * state.tolerated_losses + 1)


def _get_silence_timeout(peer: ControlMember) -> float:
    return LEARNER_TIMEOUT if peer.is_learner else VOTER_TIMEOUT


def _form_group(state: State, now: float) -> list[Effect]:
    if not _may_form_group(state) or not _is_unanimous(state):
        return []
    replication = get_replication(state)
    own = ControlMember(replication.host, state.node.peer_address)
    others = [
        ControlMember(replication.formation_responses[address].host, address)
        for address in _list_other_addresses(state)
    ]
    membership = Membership(replication.host, (own, *others))
    replication.vote = Vote(1, replication.host)
    replication.role = ControlRole.CANDIDATE
    replication.ballots = {item.host for item in membership.members}
    command = ChangeMembers(state.create_id(), now, membership)
    return append_command(command, state, now)


def _is_unanimous(state: State) -> bool:
    if state.node.peer_address != min(state.control_addresses, default=""):
        return False
    responses = get_replication(state).formation_responses
    wanted = sorted(state.control_addresses)
    return all(
        address in responses
        and responses[address].is_empty
        and sorted(responses[address].addresses) == wanted
        for address in _list_other_addresses(state)
    )


def _list_other_addresses(state: State) -> list[str]:
    own = state.node.peer_address
    return [address for address in state.control_addresses if address != own]


def _list_probe_addresses(state: State) -> list[str]:
    replication = get_replication(state)
    members = [item.peer_address for item in replication.membership.members]
    known = dict.fromkeys(
        (*state.control_addresses, *members, replication.reported_leader_address)
    )
    own = state.node.peer_address
    return [address for address in known if address and address != own]


def _is_changing(replication: Replication) -> bool:
    log = replication.log
    if log.find_term(replication.commit_index) != replication.vote.term:
        return True
    uncommitted_count = log.last.index - replication.commit_index
    uncommitted = log.list_entries(replication.commit_index + 1, uncommitted_count)
    return any(isinstance(entry.command, ChangeMembers) for entry in uncommitted)


def _list_caught_up(replication: Replication, now: float) -> set[str]:
    return {
        host
        for host, progress in replication.peer_progress.items()
        if progress.match_index >= replication.commit_index
        and now - progress.contact_at < CAUGHT_UP_TIMEOUT
    }
