"""Replication: a control host's log, term, timers and view of its peers."""

from __future__ import annotations

import random
from collections import deque
from enum import Enum

from attrs import define, field, frozen

from gentianworks.core.commands.base import Command
from gentianworks.core.effects.base import Effect
from gentianworks.core.events.base import Event
from gentianworks.core.events.replication import FormationResponse
from gentianworks.core.replication.log import Log, Position, Vote
from gentianworks.core.replication.members import (
    ControlMember,
    HostId,
    Membership,
    compute_quorum_value,
)
from gentianworks.core.replication.timing import Timing

SNAPSHOT_INTERVAL = 512  # entries
RETAINED_ENTRIES = 128  # applied entries kept for peers that lag slightly
PRE_VOTE_DELAY_RANGE = (0.3, 0.6)  # times the heartbeat; a pre-vote takes far less
MIN_VOTE_WAIT = 0.5  # times the least election timeout; covers a slow disk's sync


class ControlRole(Enum):
    """Role of a control host in its group."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@define
class Progress:
    """Leader's view of a peer's log; times are in seconds."""

    next_index: int
    match_index: int = 0
    acked_round: int = 0
    contact_at: float = 0.0
    snapshot_offset: int | None = None
    snapshot_sent_at: float = 0.0


@define
class PendingProposal:
    """Command that this host proposed and whose outcome is not yet known."""

    command: Command
    deadline: float
    next_send_at: float = 0.0
    was_sent: bool = False


@define
class PendingRead:
    """Read that waits until this host is confirmed to be current.

    `index` is the entry that must be applied first; None until the leader returns it.
    """

    number: int
    continuation: Event
    deadline: float
    index: int | None = None
    next_send_at: float = 0.0


@define
class ReadRound:
    """Reads of a host that wait for a quorum to acknowledge a heartbeat round."""

    host: HostId
    address: str
    incarnation: int
    number: int
    index: int
    round: int


@frozen
class EarlyRead:
    """Reads of a host that arrived before the leader's term had a committed entry."""

    host: HostId
    number: int
    address: str
    incarnation: int


@define
class IncomingSnapshot:
    """Chunks of a snapshot received so far."""

    position: Position
    data: bytearray = field(factory=bytearray)


@define
class Replication:
    """Replication state of one control host.

    `write_sequence` is the number of the last write given to storage and
    `synced_sequence` that of the last one on disk. `unsynced_writes` pairs each write
    that is not on disk yet with the last log index it covers; `deferred_effects` pairs
    effects with the write that must be on disk before they are performed.
    """

    host: HostId
    seed: int
    vote: Vote = field(factory=Vote)
    log: Log = field(factory=Log)
    timing: Timing = field(factory=Timing)
    membership: Membership = field(factory=Membership)
    role: ControlRole = ControlRole.FOLLOWER
    leader: HostId = ""
    leader_address: str = ""
    commit_index: int = 0
    applied_index: int = 0
    snapshot: Position = field(factory=Position)
    snapshot_interval: int = SNAPSHOT_INTERVAL
    retained_entries: int = RETAINED_ENTRIES
    leader_contact_at: float = 0.0
    next_election_at: float = 0.0
    next_heartbeat_at: float = 0.0
    next_probe_at: float = 0.0
    warned_at: float = float("-inf")
    size_warned_at: float = float("-inf")
    write_sequence: int = 0
    synced_sequence: int = 0
    deferred_effects: deque[tuple[int, Effect]] = field(factory=deque)
    unsynced_writes: deque[tuple[int, int]] = field(factory=deque)
    ballots: set[HostId] = field(factory=set)
    peer_progress: dict[HostId, Progress] = field(factory=dict)
    round: int = 0
    round_sent_at: dict[int, float] = field(factory=dict)
    pending_proposals: dict[str, PendingProposal] = field(factory=dict)
    pending_reads: dict[int, PendingRead] = field(factory=dict)
    read_rounds: list[ReadRound] = field(factory=list)
    early_reads: list[EarlyRead] = field(factory=list)
    last_read_number: int = 0
    incoming_snapshot: IncomingSnapshot | None = None
    formation_probe: int = 0  # number of the last request to the known hosts
    formation_responses: dict[str, FormationResponse] = field(factory=dict)
    # By identity, the probe that it answered first.
    first_probes: dict[HostId, int] = field(factory=dict)
    reported_leader_address: str = ""
    joining_hosts: dict[str, ControlMember] = field(factory=dict)  # by address
    discovered_addresses: dict[str, None] = field(factory=dict)  # a set, oldest first
    founder_address: str = ""
    leading_since: float = 0.0
    handover_deadline: float = 0.0
    handover_sent_at: float = 0.0
    _draw_count: int = 0

    @property
    def is_leader(self) -> bool:
        """Return whether this host is the leader of its current term."""
        return self.role is ControlRole.LEADER

    @property
    def is_formed(self) -> bool:
        """Return whether this host belongs to a group."""
        return bool(self.membership.members)

    @property
    def is_empty(self) -> bool:
        """Return whether this host has no log entries and has never voted."""
        return self.vote.term == 0 and self.log.last.index == 0

    def list_peers(self) -> tuple[ControlMember, ...]:
        """Return the other members of the group."""
        return self.membership.list_peers(self.host)

    def draw_election_timeout(self) -> float:
        """Return a random election timeout in seconds."""
        return self._draw(self.timing.election_min, self.timing.election_max)

    def draw_vote_timeout(self) -> float:
        """Return a random time in seconds for which a candidate waits for votes.

        No leader relies on this host during a candidacy, so after a split vote the
        next election may begin sooner than an election timeout.
        """
        least = self.timing.election_min
        return self._draw(MIN_VOTE_WAIT * least, least)

    def draw_pre_vote_delay(self) -> float:
        """Return a random delay in seconds before the next pre-vote."""
        least, most = PRE_VOTE_DELAY_RANGE
        return self._draw(least * self.timing.heartbeat, most * self.timing.heartbeat)

    def record_leader_contact(self, now: float) -> None:
        """Record contact with the leader and postpone the next election."""
        self.leader_contact_at = now
        self.next_election_at = now + self.draw_election_timeout()

    def withhold_votes(self, process_age: float, now: float) -> None:
        """Withhold votes while a leader may rely on replies of the previous process.

        Those replies are older than this process, and a leader relies on a reply for
        the duration of its lease.
        """
        bound_until = now - process_age + self.timing.lease
        self.leader_contact_at = bound_until - self.timing.election_min
        self.next_election_at = max(now, bound_until) + self.draw_pre_vote_delay()

    def clear_leader(self) -> None:
        """Mark the leader as unknown."""
        self.leader = ""
        self.leader_address = ""

    def has_recent_leader_contact(self, now: float) -> bool:
        """Return whether a leader may still rely on this host not to vote."""
        return now - self.leader_contact_at < self.timing.election_min

    def compute_quorum_contact(self) -> float:
        """Return the time of the latest contact of this leader with a quorum."""
        return compute_quorum_value(
            float("inf") if host == self.host else self.get_contact(host)
            for host in self.membership.list_voters()
        )

    def get_contact(self, host: HostId) -> float:
        """Return the send time of the last heartbeat that a peer has acknowledged."""
        progress = self.peer_progress.get(host)
        return progress.contact_at if progress else 0.0

    def update_membership(self, applied: Membership) -> None:
        """Use the latest membership in the log, or `applied` if the log has none."""
        self.membership = self.log.find_membership() or applied

    def _draw(self, least: float, most: float) -> float:
        self._draw_count += 1
        source = random.Random(f"{self.seed}/{self._draw_count}")
        return source.uniform(least, most)
