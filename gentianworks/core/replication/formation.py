"""Formation: forms the group once and lets hosts with empty disks join it."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.commands.members import ChangeMembers
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage
from gentianworks.core.events.replication import FormationRequest, FormationResponse
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.invariants import check_change
from gentianworks.core.replication.leader import append_command
from gentianworks.core.replication.log import Vote
from gentianworks.core.replication.members import (
    ControlMember,
    DiscoveredHostsPolicy,
    GroupView,
    ListedHostsPolicy,
    Membership,
    MembershipPolicy,
    compute_required_voters,
    plan_change,
)
from gentianworks.core.replication.peer_messages import get_replication
from gentianworks.core.replication.replication import (
    ControlRole,
    Replication,
)
from gentianworks.core.state import State

PROBE_INTERVAL = 0.5  # seconds
ABSENT_SEED_INTERVAL = 2.0  # seconds; a seed may be gone for good
SETTLING_TIME = 10.0  # seconds; hosts that restarted with the leader are back
CAUGHT_UP_TIMEOUT = 1.0  # seconds
VOTER_TIMEOUT = 1.5  # seconds; six heartbeats, as for an election
LEARNER_TIMEOUT = 5.0  # seconds; a learner may be loading a snapshot
MAX_DISCOVERED_ADDRESSES = 16  # hosts that have sent a formation request


def probe_group(state: State, now: float) -> list[Effect]:
    """Ask the known control hosts at intervals whether a group exists."""
    replication = get_replication(state)
    if now < replication.next_probe_at or not _needs_probe(state, now):
        return []
    is_settled = now - replication.leading_since > SETTLING_TIME
    is_patient = replication.is_leader and is_settled
    interval = ABSENT_SEED_INTERVAL if is_patient else PROBE_INTERVAL
    replication.next_probe_at = now + interval
    replication.formation_probe += 1
    request = FormationRequest(
        sender=state.node.name,
        host=replication.host,
        peer_address=state.node.peer_address,
        addresses=state.control_addresses,
        is_empty=_may_form_group(state),
        keeps_data=state.keeps_data,
        probe=replication.formation_probe,
    )
    addresses = _list_probe_addresses(state, now)
    sends = [SendMessage(address, request) for address in addresses]
    return [*sends, *_form_group(state, now)]


def change_members(state: State, now: float) -> list[Effect]:
    """Append the next membership change to the leader's log, if one is due."""
    replication = get_replication(state)
    if not replication.is_leader or _is_changing(replication):
        return []
    current, policy = replication.membership, _build_policy(state)
    view = _build_view(replication, now)
    planned = plan_change(current, view, policy, replication.joining_hosts.values())
    if planned is None:
        return []
    check_change(current, planned, view, policy, state)
    replication.joining_hosts.clear()
    command = ChangeMembers(state.create_id(), now, planned)
    return append_command(command, state, now)


@reduce.register
def _(event: FormationRequest, state: State, now: float) -> list[Effect]:
    replication = state.control.replication
    if replication is None:
        return []
    if replication.is_leader:
        replication.joining_hosts[event.peer_address] = ControlMember(
            event.host,
            event.peer_address,
            is_learner=True,
            keeps_data=event.keeps_data,
        )
    if state.discovers_control_hosts:
        _record_address(event.peer_address, replication)
        _choose_founder(event, state)
    response = FormationResponse(
        sender=state.node.name,
        asker=event.host,
        host=replication.host,
        peer_address=state.node.peer_address,
        addresses=state.control_addresses,
        is_empty=_may_form_group(state),
        leader_address=replication.leader_address,
        log_end=replication.log.last,
        keeps_data=state.keeps_data,
        founder_address=replication.founder_address,
        has_no_data=replication.is_empty,
        probe=event.probe,
    )
    return [SendMessage(event.peer_address, response)]


@reduce.register
def _(event: FormationResponse, state: State, now: float) -> list[Effect]:
    replication = state.control.replication
    if replication is None or event.asker != replication.host:
        return []
    replication.formation_responses[event.peer_address] = event
    if not replication.is_formed:
        replication.first_probes.setdefault(event.host, event.probe)
    replication.reported_leader_address = (
        event.leader_address or replication.reported_leader_address
    )
    return _form_group(state, now)


def _needs_probe(state: State, now: float) -> bool:
    replication = get_replication(state)
    if not replication.is_formed:
        return True
    if replication.is_leader:
        return bool(_list_absent_seeds(state, now))
    is_voter = replication.host in replication.membership.list_voters()
    may_be_removed = not is_voter or state.discovers_control_hosts
    silence = now - replication.leader_contact_at
    return may_be_removed and silence > replication.timing.election_max


def _may_form_group(state: State) -> bool:
    """Return whether this host may be one of the first members of a group."""
    return get_replication(state).is_empty and state.is_first_start


def _build_policy(state: State) -> MembershipPolicy:
    if not state.discovers_control_hosts:
        return ListedHostsPolicy(state.control_addresses)
    return DiscoveredHostsPolicy(compute_required_voters(state.tolerated_losses))


def _build_view(replication: Replication, now: float) -> GroupView:
    peers = replication.list_peers()
    unresponsive = {
        peer.host for peer in peers if is_unresponsive(peer, replication, now)
    }
    caught_up = _list_caught_up(replication, now)
    return GroupView(
        replication.host,
        frozenset({replication.host, *caught_up}),
        frozenset(unresponsive),
        frozenset(_list_superseded(caught_up, replication)),
    )


def is_unresponsive(peer: ControlMember, replication: Replication, now: float) -> bool:
    """Return whether this leader has had no contact with a peer for too long."""
    timeout = LEARNER_TIMEOUT if peer.is_learner else VOTER_TIMEOUT
    return now - replication.get_contact(peer.host) > timeout


def _record_address(address: str, replication: Replication) -> None:
    """Record that a control host runs at an address."""
    replication.discovered_addresses.pop(address, None)
    replication.discovered_addresses[address] = None
    if len(replication.discovered_addresses) > MAX_DISCOVERED_ADDRESSES:
        oldest = next(iter(replication.discovered_addresses))
        del replication.discovered_addresses[oldest]


def _choose_founder(event: FormationRequest, state: State) -> None:
    """Let the first host with a disk that asks form the group alone.

    Only the first host in the settings chooses, once, and only if none of the hosts in
    the settings keeps its data.
    """
    replication = get_replication(state)
    is_first = state.node.peer_address == min(state.control_addresses, default="")
    is_candidate = event.is_empty and event.keeps_data
    if replication.founder_address or not (is_first and is_candidate):
        return
    if _may_form_group(state) and _list_seeds(state) == []:
        replication.founder_address = event.peer_address


def _form_group(state: State, now: float) -> list[Effect]:
    replication = get_replication(state)
    own = ControlMember(replication.host, state.node.peer_address)
    founders = _list_founders(own, state)
    if not _may_form_group(state) or not _is_first_to_form(own, founders, replication):
        return []
    members = tuple(founder.member for founder in founders)
    membership = Membership(replication.host, members)
    replication.vote = Vote(1, replication.host)
    replication.role = ControlRole.CANDIDATE
    replication.ballots = {item.host for item in membership.members}
    command = ChangeMembers(state.create_id(), now, membership)
    return append_command(command, state, now)


@frozen
class _Founder:
    """One of the first members of a group, as it has answered a probe."""

    member: ControlMember
    is_first_start: bool
    probe: int


def _is_first_to_form(
    own: ControlMember, founders: list[_Founder], replication: Replication
) -> bool:
    """Return whether this host forms the group of the founders.

    A founder that was killed before the group was formed can't be told from one that
    formed it and lost its disk. But such a group has accepted nothing if a majority of
    the founders, asked after the former process had ended, has never stored anything.
    """
    new = [founder for founder in founders if founder.is_first_start]
    if len(new) <= len(founders) // 2 or own != new[0].member:
        return False
    returned = [founder for founder in founders if not founder.is_first_start]
    asked_after = max(
        (replication.first_probes.get(item.member.host, 0) for item in returned),
        default=-1,
    )
    return all(item.probe > asked_after for item in new)


def _list_founders(own: ControlMember, state: State) -> list[_Founder]:
    """Return the first members of the group in the order in which they may form it."""
    seeds = _list_seeds(state)
    if seeds is None:
        return []
    if seeds:
        return sorted(seeds, key=lambda item: item.member.peer_address)
    replication = get_replication(state)
    responses = replication.formation_responses
    first_seed = min(state.control_addresses, default="")
    chosen = responses[first_seed].founder_address if first_seed in responses else ""
    is_founder = state.keeps_data and chosen == own.peer_address
    probe = replication.formation_probe
    return [_Founder(own, True, probe)] if is_founder else []


def _list_seeds(state: State) -> list[_Founder] | None:
    """Return the hosts in the settings that keep their data.

    Returns None unless all hosts in the settings have answered that they have no data
    and have the same settings. If none of them keeps its data, all have to be at their
    first start, since the one that chooses the founder forgets its choice.
    """
    replication = get_replication(state)
    responses = replication.formation_responses
    wanted = sorted(state.control_addresses)
    seeds, are_all_new = [], True
    for address in _list_other_addresses(state):
        response = responses.get(address)
        if response is None or not (response.is_empty or response.has_no_data):
            return None
        if sorted(response.addresses) != wanted:
            return None
        are_all_new = are_all_new and response.is_empty
        if response.keeps_data:
            member = ControlMember(response.host, address)
            seeds.append(_Founder(member, response.is_empty, response.probe))
    own = state.node.peer_address
    if state.keeps_data and own in state.control_addresses:
        member = ControlMember(replication.host, own)
        probe = replication.formation_probe + 1  # its state is known at any time
        seeds.append(_Founder(member, _may_form_group(state), probe))
    return seeds if seeds or are_all_new else None


def _list_other_addresses(state: State) -> list[str]:
    own = state.node.peer_address
    return [address for address in state.control_addresses if address != own]


def _list_absent_seeds(state: State, now: float) -> list[str]:
    """Return the hosts in the settings that are not in contact with this leader.

    One that lost its data, along with all others in the settings, knows no member, and
    routers that restarted know no other host.
    """
    if not state.discovers_control_hosts:
        return []
    replication = get_replication(state)
    present = {
        peer.peer_address
        for peer in replication.list_peers()
        if _has_answered(peer, replication)
        and not is_unresponsive(peer, replication, now)
    }
    return [item for item in _list_other_addresses(state) if item not in present]


def _has_answered(peer: ControlMember, replication: Replication) -> bool:
    """Return whether a peer has answered this leader since its election."""
    progress = replication.peer_progress.get(peer.host)
    return progress is not None and progress.acked_round > 0


def _list_probe_addresses(state: State, now: float) -> list[str]:
    replication = get_replication(state)
    if replication.is_leader:
        return _list_absent_seeds(state, now)
    members = [item.peer_address for item in replication.membership.members]
    known = dict.fromkeys(
        (
            *state.control_addresses,
            *members,
            *replication.discovered_addresses,
            replication.reported_leader_address,
        )
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


def _list_superseded(caught_up: set[str], replication: Replication) -> set[str]:
    """Return the members at whose address another one has answered later."""
    latest: dict[str, float] = {}
    peers = [peer for peer in replication.list_peers() if peer.keeps_data]
    for peer in peers:
        if peer.host in caught_up:
            contact = replication.get_contact(peer.host)
            address = peer.peer_address
            latest[address] = max(contact, latest.get(address, contact))
    return {
        peer.host
        for peer in peers
        if replication.get_contact(peer.host)
        < latest.get(peer.peer_address, float("-inf"))
    }
