"""Formation: the group begins once, and a host with a new disk joins it."""

from __future__ import annotations

from gentianworks.core.commands.members import ChangeMembers
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage
from gentianworks.core.events.replication import FormationRequest, FormationResponse
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.leading import append_command
from gentianworks.core.replication.log import Vote
from gentianworks.core.replication.members import (
    ControlMember,
    FoundHosts,
    HostPolicy,
    ListedHosts,
    Membership,
    plan_change,
)
from gentianworks.core.replication.peers import get_replication
from gentianworks.core.replication.replication import (
    ControlRole,
    Replication,
)
from gentianworks.core.state import State

PROBE_INTERVAL = 0.5  # seconds
CAUGHT_UP_TIMEOUT = 1.0  # seconds
VOTER_TIMEOUT = 1.5  # seconds; six heartbeats, as for an election
LEARNER_TIMEOUT = 5.0  # seconds; a learner may be loading a snapshot


def probe(state: State, now: float) -> list[Effect]:
    """Ask the other control hosts of the settings whether there is a group."""
    replication = get_replication(state)
    if now < replication.probe_at or not _is_outside(state, now):
        return []
    replication.probe_at = now + PROBE_INTERVAL
    request = FormationRequest(
        sender=state.node.name,
        host=replication.host,
        peer_address=state.node.peer_address,
        addresses=state.control_addresses,
        is_empty=_may_found(state),
    )
    sends = [SendMessage(address, request) for address in _list_known(state)]
    return [*sends, *_form(state, now)]


def change_members(state: State, now: float) -> list[Effect]:
    """Put the next change of the membership into the leader's log."""
    replication = get_replication(state)
    if not replication.is_leader or _is_changing(replication):
        return []
    planned = plan_change(
        replication.membership,
        replication.host,
        _build_policy(state, now),
        replication.joining,
        _list_caught_up(replication, now),
    )
    if planned is None:
        return []
    replication.joining.clear()
    command = ChangeMembers(state.create_id(), now, planned)
    return append_command(command, state, now)


@reduce.register
def _(event: FormationRequest, state: State, now: float) -> list[Effect]:
    replication = state.control.replication
    if replication is None:
        return []
    if replication.is_leader:
        replication.joining[event.peer_address] = event.host
    response = FormationResponse(
        sender=state.node.name,
        asker=event.host,
        host=replication.host,
        peer_address=state.node.peer_address,
        addresses=state.control_addresses,
        is_empty=_may_found(state),
        leader_address=replication.leader_address,
    )
    return [SendMessage(event.peer_address, response)]


@reduce.register
def _(event: FormationResponse, state: State, now: float) -> list[Effect]:
    replication = state.control.replication
    if replication is None or event.asker != replication.host:
        return []
    replication.reports[event.peer_address] = event
    replication.told_leader = event.leader_address or replication.told_leader
    return _form(state, now)


def _is_outside(state: State, now: float) -> bool:
    replication = get_replication(state)
    if not replication.is_formed:
        return True
    if replication.is_leader:
        return False
    is_voter = replication.host in replication.membership.list_voters()
    may_be_removed = not is_voter or state.discovers_control_hosts
    silence = now - replication.heard_at
    return may_be_removed and silence > replication.timing.election_max


def _may_found(state: State) -> bool:
    """Tell whether this host may be one of the first members of a group."""
    return get_replication(state).is_empty and state.is_first_start


def _build_policy(state: State, now: float) -> HostPolicy:
    if not state.discovers_control_hosts:
        return ListedHosts(state.control_addresses)
    replication = get_replication(state)
    silent = frozenset(
        peer.host
        for peer in replication.list_peers()
        if now - replication.find_contact(peer.host) > _find_patience(peer)
    )
    return FoundHosts(silent, 2 * state.tolerated_losses + 1)


def _find_patience(peer: ControlMember) -> float:
    return LEARNER_TIMEOUT if peer.is_learner else VOTER_TIMEOUT


def _form(state: State, now: float) -> list[Effect]:
    if not _may_found(state) or not _is_unanimous(state):
        return []
    replication = get_replication(state)
    own = ControlMember(replication.host, state.node.peer_address)
    others = [
        ControlMember(replication.reports[address].host, address)
        for address in _list_others(state)
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
    reports = get_replication(state).reports
    wanted = sorted(state.control_addresses)
    return all(
        address in reports
        and reports[address].is_empty
        and sorted(reports[address].addresses) == wanted
        for address in _list_others(state)
    )


def _list_others(state: State) -> list[str]:
    own = state.node.peer_address
    return [address for address in state.control_addresses if address != own]


def _list_known(state: State) -> list[str]:
    """Return where a host outside looks for the group."""
    replication = get_replication(state)
    members = [item.peer_address for item in replication.membership.members]
    known = dict.fromkeys((*state.control_addresses, *members, replication.told_leader))
    own = state.node.peer_address
    return [address for address in known if address and address != own]


def _is_changing(replication: Replication) -> bool:
    log = replication.log
    if log.find_term(replication.commit_index) != replication.vote.term:
        return True
    open_count = log.last.index - replication.commit_index
    open_entries = log.list_entries(replication.commit_index + 1, open_count)
    return any(isinstance(entry.command, ChangeMembers) for entry in open_entries)


def _list_caught_up(replication: Replication, now: float) -> set[str]:
    return {
        host
        for host, progress in replication.peers.items()
        if progress.match_index >= replication.commit_index
        and now - progress.contact_at < CAUGHT_UP_TIMEOUT
    }
