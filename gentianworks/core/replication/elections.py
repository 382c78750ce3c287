"""Elections: pre-votes, votes and the transitions between the roles of a host."""

from __future__ import annotations

from gentianworks.core.commands.members import BeginTerm
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent
from gentianworks.core.events.replication import (
    HandoverRequest,
    PeerMessage,
    PreVoteRequest,
    PreVoteResponse,
    VoteRequest,
    VoteResponse,
)
from gentianworks.core.reducer import reduce
from gentianworks.core.replica_list.distribution import begin_list_term
from gentianworks.core.replication.invariants import check_invariants
from gentianworks.core.replication.leader import (
    append_command,
    reset_progress,
)
from gentianworks.core.replication.log import Vote
from gentianworks.core.replication.members import ControlMember
from gentianworks.core.replication.peer_messages import (
    defer_until_synced,
    get_replication,
    handle_peer_message,
    is_for_this_host,
    reply_to,
    send_to,
    write_journal,
)
from gentianworks.core.replication.replication import (
    ControlRole,
    Replication,
)
from gentianworks.core.replication.rounds import request_read_index, start_round
from gentianworks.core.state import State


def is_leading(state: State, now: float) -> bool:
    """Return whether this host leads and a quorum followed it within its lease."""
    replication = state.control.replication
    if replication is None or not replication.is_leader:
        return False
    if replication.handover_sent_at:
        return False
    log = replication.log
    if log.find_term(replication.commit_index) != replication.vote.term:
        return False
    return now - replication.compute_quorum_contact() < replication.timing.lease


def step_down(state: State, now: float) -> list[Effect]:
    """Become a follower without a known leader."""
    replication = get_replication(state)
    was_leader = replication.is_leader
    replication.role = ControlRole.FOLLOWER
    replication.clear_leader()
    replication.read_rounds.clear()
    replication.early_reads.clear()
    replication.ballots.clear()
    replication.next_election_at = now + replication.draw_election_timeout()
    if not was_leader:
        return []
    return [LogEvent("GW2002", (("term", str(replication.vote.term)),))]


def observe_term(term: int, state: State, now: float) -> list[Effect]:
    """Adopt a newer term; replies wait until it is on disk."""
    replication = get_replication(state)
    if term <= replication.vote.term:
        return []
    replication.vote = Vote(term)
    return [*step_down(state, now), write_journal(state)]


def start_pre_vote(state: State, now: float) -> list[Effect]:
    """Request pre-votes of the other voters for the next term."""
    replication = get_replication(state)
    # A pre-vote binds no host, so one that finds no quorum is repeated soon.
    replication.next_election_at = now + replication.draw_pre_vote_delay()
    if replication.host not in replication.membership.list_voters():
        return []
    replication.role = ControlRole.PRE_CANDIDATE
    replication.clear_leader()
    replication.ballots = {replication.host}
    if replication.membership.has_quorum(replication.ballots):
        return become_candidate(state, now, is_handover=False)
    last = replication.log.last
    return [
        send_to(peer.peer_address, peer.host, PreVoteRequest, state, last=last)
        for peer in replication.list_peers()
        if not peer.is_learner
    ]


def become_candidate(state: State, now: float, *, is_handover: bool) -> list[Effect]:
    """Vote for this host in a new term and request the votes of the others."""
    replication = get_replication(state)
    replication.role = ControlRole.CANDIDATE
    replication.next_election_at = now + replication.draw_vote_timeout()
    replication.clear_leader()
    replication.vote = Vote(replication.vote.term + 1, replication.host)
    replication.ballots = {replication.host}
    effects = [write_journal(state)]
    for peer in replication.list_peers():
        if not peer.is_learner:
            effects += defer_until_synced(
                _create_vote_request(peer, state, is_handover), state
            )
    return effects


def count_votes(state: State, now: float) -> list[Effect]:
    """Become leader if a quorum has voted for this host."""
    replication = get_replication(state)
    if replication.role is not ControlRole.CANDIDATE:
        return []
    if not replication.membership.has_quorum(replication.ballots):
        return []
    return become_leader(state, now)


def become_leader(state: State, now: float) -> list[Effect]:
    """Become leader and append an entry that commits those of earlier terms."""
    replication = get_replication(state)
    replication.role = ControlRole.LEADER
    replication.leader = replication.host
    replication.leader_address = state.node.peer_address
    replication.joining_hosts.clear()
    replication.leading_since = now
    replication.handover_deadline = 0.0
    replication.handover_sent_at = 0.0
    reset_progress(replication, now)
    details = (("term", str(replication.vote.term)),)
    command = BeginTerm(state.create_id(), now)
    return [
        LogEvent("GW2001", details),
        *append_command(command, state, now),
        *start_round(state, now),
        *request_read_index(state, now),
        *begin_list_term(state, now),
    ]


def _create_vote_request(
    peer: ControlMember, state: State, is_handover: bool
) -> Effect:
    return send_to(
        peer.peer_address,
        peer.host,
        VoteRequest,
        state,
        last=get_replication(state).log.last,
        is_handover=is_handover,
    )


@reduce.register
def _(event: PeerMessage, state: State, now: float) -> list[Effect]:
    if not is_for_this_host(event, state):
        return []
    effects = observe_term(event.term, state, now)
    effects += handle_peer_message(event, state, now)
    check_invariants(state)
    return effects


@reduce.register
def _(event: PreVoteRequest, state: State, now: float) -> list[Effect]:
    if not is_for_this_host(event, state):
        return []
    replication = get_replication(state)
    is_granted = (
        event.term >= replication.vote.term
        and event.last >= replication.log.last
        and not _is_bound_to_leader(replication, now)
    )
    if is_granted and not replication.is_leader:
        # Two simultaneous candidates would split the votes.
        earliest = now + replication.draw_pre_vote_delay()
        replication.next_election_at = max(replication.next_election_at, earliest)
    return defer_until_synced(
        reply_to(
            event,
            PreVoteResponse,
            state,
            asked_term=event.term,
            is_granted=is_granted,
        ),
        state,
    )


@reduce.register
def _(event: VoteRequest, state: State, now: float) -> list[Effect]:
    if not is_for_this_host(event, state):
        return []
    replication = get_replication(state)
    if _is_bound_to_leader(replication, now) and not event.is_handover:
        return []
    effects = observe_term(event.term, state, now)
    is_granted = _may_vote(event, replication)
    if is_granted and not replication.vote.candidate:
        replication.vote = Vote(event.term, event.source)
        replication.next_election_at = now + replication.draw_election_timeout()
        effects.append(write_journal(state))
    response = reply_to(event, VoteResponse, state, is_granted=is_granted)
    check_invariants(state)
    return effects + defer_until_synced(response, state)


@handle_peer_message.register
def _(event: PreVoteResponse, state: State, now: float) -> list[Effect]:
    replication = get_replication(state)
    is_current = event.asked_term == replication.vote.term
    if replication.role is not ControlRole.PRE_CANDIDATE or not is_current:
        return []
    if event.is_granted:
        replication.ballots.add(event.source)
    if not replication.membership.has_quorum(replication.ballots):
        return []
    return become_candidate(state, now, is_handover=False)


@handle_peer_message.register
def _(event: VoteResponse, state: State, now: float) -> list[Effect]:
    replication = get_replication(state)
    if event.is_granted and event.term == replication.vote.term:
        replication.ballots.add(event.source)
    return count_votes(state, now)


@handle_peer_message.register
def _(event: HandoverRequest, state: State, now: float) -> list[Effect]:
    replication = get_replication(state)
    is_voter = replication.host in replication.membership.list_voters()
    if event.term < replication.vote.term or not is_voter or state.is_leaving:
        return []
    return become_candidate(state, now, is_handover=True)


def _is_bound_to_leader(replication: Replication, now: float) -> bool:
    if replication.is_leader:
        return (
            now - replication.compute_quorum_contact() < replication.timing.election_min
        )
    return replication.has_recent_leader_contact(now)


def _may_vote(event: VoteRequest, replication: Replication) -> bool:
    is_free = replication.vote.candidate in {"", event.source}
    is_current = event.term == replication.vote.term
    return is_current and is_free and event.last >= replication.log.last
