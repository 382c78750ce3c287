"""Replication: messages between control hosts, and reports of their storage."""

from __future__ import annotations

from attrs import field, frozen

from gentianworks.core.commands.base import Command
from gentianworks.core.events.base import Event, Message
from gentianworks.core.replication.log import Entry, Position, Snapshot, Vote
from gentianworks.core.replication.members import GroupId, HostId


@frozen
class JournalContents:
    """Contents of a data folder at the start of a process."""

    host: HostId
    vote: Vote
    base: Position
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@frozen
class JournalLoaded(Event):
    """Occurs when a control host's journal has been read.

    `seed` is for randomized timeouts; `process_uptime` is in seconds.
    """

    contents: JournalContents
    seed: int
    process_uptime: float = 0.0


@frozen
class JournalSynced(Event):
    """Occurs when all writes up to `sequence` are on disk."""

    sequence: int


@frozen
class ReplicationCheckDue(Event):
    """Occurs when timeouts and heartbeats of the control group are to be checked."""


@frozen
class ReplicatedStateRestored(Event):
    """Occurs when the replicated state has been replaced by that of a snapshot."""


@frozen
class SnapshotChunkRead(Event):
    """Occurs when a chunk of the saved snapshot has been read for a peer."""

    target: HostId
    position: Position
    offset: int
    data: bytes
    is_last: bool


@frozen
class SnapshotDecoded(Event):
    """Occurs when a snapshot received from a peer is ready to be installed."""

    source: HostId
    snapshot: Snapshot


@frozen
class FormationRequest(Message):
    """Request to a known control host to report whether it is in a group.

    `probe` is a number that the response repeats.
    """

    host: HostId
    peer_address: str
    addresses: tuple[str, ...]
    is_empty: bool
    keeps_data: bool = True
    probe: int = 0


@frozen
class FormationResponse(Message):
    """Response to the formation request of `asker`.

    `is_empty` is true of a host that may form a group: it has no data and is at its
    first start. `log_end` is the end of its log, and `probe` is that of the request.
    `founder_address` is the host that forms the group if none in the settings keeps its
    data.
    """

    asker: HostId
    host: HostId
    peer_address: str
    addresses: tuple[str, ...]
    is_empty: bool
    leader_address: str = ""
    log_end: Position = field(factory=Position)
    keeps_data: bool = True
    founder_address: str = ""
    has_no_data: bool = False
    probe: int = 0


@frozen
class PeerMessage(Message):
    """Base class of messages between two members of a control group."""

    group: GroupId
    source: HostId
    target: HostId
    term: int
    peer_address: str


@frozen
class Ballot(PeerMessage):
    """Base class of vote requests; `last` is the end of the candidate's log."""

    last: Position


@frozen
class PreVoteRequest(Ballot):
    """Query whether a vote would be granted in the next term."""


@frozen
class VoteRequest(Ballot):
    """Request for a vote.

    With `is_handover`, voters don't reject it for the sake of the current leader.
    """

    is_handover: bool = False


@frozen
class PreVoteResponse(PeerMessage):
    """Response to a pre-vote request made in the term `asked_term`."""

    asked_term: int
    is_granted: bool


@frozen
class VoteResponse(PeerMessage):
    """Response to a vote request."""

    is_granted: bool


@frozen
class AppendRequest(PeerMessage):
    """Entries after `previous`; a heartbeat if there are none.

    `round` numbers the leader's heartbeats and is returned in the response.
    """

    previous: Position
    entries: tuple[Entry, ...]
    commit_index: int
    round: int


@frozen
class AppendResponse(PeerMessage):
    """Result of an append request.

    If the request was accepted, the log matches the leader's up to `index`; otherwise
    `index` is the highest one up to which it may match.
    """

    is_accepted: bool
    index: int
    round: int


@frozen
class SnapshotChunk(PeerMessage):
    """Chunk of the leader's snapshot."""

    position: Position
    offset: int
    data: bytes
    is_last: bool
    round: int


@frozen
class SnapshotChunkResponse(PeerMessage):
    """Request for the chunk at `offset`, in response to an earlier chunk."""

    position: Position
    offset: int
    round: int


@frozen
class HandoverRequest(PeerMessage):
    """Request to an up-to-date follower to start an election at once."""


@frozen
class ProposalRequest(PeerMessage):
    """Command that a follower forwards to the leader."""

    command: Command


@frozen
class ReadIndexRequest(PeerMessage):
    """Request to the leader to confirm a host's reads up to `number`."""

    number: int
    incarnation: int


@frozen
class ReadIndexResponse(PeerMessage):
    """Index of the entry that a host must apply before its reads up to `number`."""

    number: int
    incarnation: int
    index: int
