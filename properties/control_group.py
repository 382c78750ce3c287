"""Control group: a simulation of control hosts, their disks, clocks and network.

The hosts run the real reducer in virtual time. The network loses, delays and duplicates
messages, and each step is checked against the guarantees of the replicated log.
"""

from __future__ import annotations

import copy
import heapq
import pickle
import random
from functools import singledispatch
from itertools import count

from attrs import define, field

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage, SetTimer
from gentianworks.core.effects.replication import (
    DecodeSnapshot,
    ReadSnapshotChunk,
    SaveSnapshot,
    WriteJournal,
)
from gentianworks.core.events.base import Event
from gentianworks.core.events.lifecycle import ProcessStarted, ShutdownRequested
from gentianworks.core.events.membership import SeedsRead
from gentianworks.core.events.replication import (
    JournalContents,
    JournalLoaded,
    JournalSynced,
    SnapshotChunkRead,
    SnapshotDecoded,
)
from gentianworks.core.handlers import reduce
from gentianworks.core.replication.control import ControlState
from gentianworks.core.replication.log import Entry, Log, Position, Snapshot, Vote
from gentianworks.core.replication.members import Membership
from gentianworks.core.replication.peer_messages import get_replication
from gentianworks.core.replication.proposals import confirm_read, propose
from gentianworks.core.replication.replication import Replication
from gentianworks.core.state import State
from gentianworks.core.types import Node, Role
from properties.disks import Disk
from properties.items import (
    AcknowledgeItem,
    AddItem,
    AnswerRead,
    ItemList,
    ReadConfirmed,
    list_items,
)

START_TIME = 1000.0  # seconds
MAX_MESSAGE_DELAY = 0.03  # seconds
MAX_LATE_MESSAGE_DELAY = 3.0  # seconds
MAX_SYNC_TIME = 0.02  # seconds
MAX_SLOW_SYNC_TIME = 0.5  # seconds
SLOW_SYNC_PROBABILITY = 0.2
SNAPSHOT_INTERVAL = 12  # entries
RETAINED_ENTRIES = 4  # that the log keeps before a snapshot
SNAPSHOT_CHUNKS = 3  # messages in which a snapshot is sent


@define
class SimulatedHost:
    """Control host of the simulation."""

    address: str
    disk: Disk
    state: State
    generation: int = 0  # rises at each start and crash; older events are discarded
    is_up: bool = False
    is_frozen: bool = False
    is_clock_stopped: bool = False
    clock_lag: float = 0.0  # seconds by which the clock is behind
    # (generation, event) pairs that arrived while the process was frozen
    backlog: list[tuple[int, Event]] = field(factory=list)

    @property
    def replication(self) -> Replication:
        """Return the host's replication state."""
        return get_replication(self.state)


@define
class SimulatedGroup:
    """Control group in virtual time that checks what its clients observe."""

    size: int
    seed: int
    loss_rate: float = 0.0  # probability of loss, and of duplication
    process_uptime: float = 0.0  # seconds that a process has run when its journal loads
    now: float = START_TIME
    # Each host is configured with this many hosts and discovers the others; 0 for all.
    seed_host_count: int = 0
    # The hosts that the settings name instead, by number, once they have changed.
    later_seeds: tuple[int, ...] = ()
    tolerated_losses: int = 1
    # Hosts without a disk: each start of them is that of a new host.
    diskless: frozenset[int] = frozenset()
    rng: random.Random = field(init=False)
    hosts: list[SimulatedHost] = field(factory=list)
    # (sender, receiver) addresses between which messages are lost
    cut_links: set[tuple[str, str]] = field(factory=set)
    acknowledged_items: list[str] = field(factory=list)
    # by read, the number of items that were acknowledged before it started
    acknowledged_before_read: dict[int, int] = field(factory=dict)
    answered_reads: int = 0
    # by group and term
    leaders_by_term: dict[tuple[str, int], str] = field(factory=dict)
    # the longest list that a host has applied
    applied_items: list[str] = field(factory=list)
    committed_entries: dict[int, Entry] = field(factory=dict)  # by index
    # (due time, sequence number, host, generation, event), as a heap
    _event_queue: list[tuple[float, int, int, int, Event]] = field(factory=list)
    _ids: count[int] = field(factory=count)

    def __attrs_post_init__(self) -> None:
        """Start all hosts with empty disks."""
        self.rng = random.Random(self.seed)
        self.hosts = [self._create_host(number) for number in range(self.size)]
        for number in range(self.size):
            self.start(number)

    def run(self, seconds: float) -> None:
        """Advance virtual time by some seconds and deliver the events that fall due."""
        end = self.now + seconds
        while self._event_queue and self._event_queue[0][0] <= end:
            due_at, _, number, generation, event = heapq.heappop(self._event_queue)
            self._advance_clocks(max(due_at, self.now))
            self._deliver(number, generation, event)
        self._advance_clocks(end)

    def start(self, number: int) -> None:
        """Start a host from its disk."""
        host = self.hosts[number]
        host.generation += 1
        host.is_up, host.is_frozen = True, False
        if number in self.diskless:
            host.disk = self._create_disk()
        host.state = self._create_state(number)
        contents = copy.deepcopy(host.disk.contents)
        self._handle(number, ProcessStarted(self.rng.getrandbits(48)))
        seed = self.rng.getrandbits(48)
        self._handle(number, JournalLoaded(contents, seed, self.process_uptime))
        host.replication.snapshot_interval = SNAPSHOT_INTERVAL
        host.replication.retained_entries = RETAINED_ENTRIES

    def crash(self, number: int) -> None:
        """Stop a host at once and lose its unsynced writes."""
        host = self.hosts[number]
        host.is_up = False
        host.generation += 1
        host.disk.unsynced.clear()
        host.backlog.clear()

    def wipe_disk(self, number: int) -> None:
        """Crash a host, empty its disk and start it again."""
        self.crash(number)
        self.hosts[number].disk = self._create_disk()
        self.start(number)

    def freeze(self, number: int) -> None:
        """Freeze a host's process while its clock advances."""
        self.hosts[number].is_frozen = True

    def thaw(self, number: int) -> None:
        """Resume a frozen process and deliver its backlog."""
        host = self.hosts[number]
        host.is_frozen = False
        backlog, host.backlog = host.backlog, []
        for generation, event in backlog:
            self._deliver(number, generation, event)

    def isolate(self, number: int) -> None:
        """Cut the links between a host and all others, in both directions."""
        own = self.hosts[number].address
        others = [host.address for host in self.hosts if host.address != own]
        self.cut_links |= {(own, other) for other in others}
        self.cut_links |= {(other, own) for other in others}

    def heal(self) -> None:
        """Repair the network and the clocks and start or resume every host."""
        self.cut_links.clear()
        self.loss_rate = 0.0
        for number, host in enumerate(self.hosts):
            host.is_clock_stopped = False
            if not host.is_up:
                self.start(number)
            if host.is_frozen:
                self.thaw(number)

    def request_shutdown(self, number: int) -> None:
        """Request a graceful stop of a host."""
        self._handle(number, ShutdownRequested())

    def propose_item(self, number: int) -> str:
        """Propose an item at a host and return the item."""
        item = f"item-{next(self._ids)}"
        host = self.hosts[number]
        now = self.now - host.clock_lag
        self._perform_all(number, propose(AddItem(item, now), host.state, now))
        return item

    def start_read(self, number: int) -> int:
        """Start a linearizable read at a host and return the read's number."""
        read = next(self._ids)
        self.acknowledged_before_read[read] = len(self.acknowledged_items)
        host = self.hosts[number]
        now = self.now - host.clock_lag
        self._perform_all(number, confirm_read(ReadConfirmed(read), host.state, now))
        return read

    def find_leader(self) -> int | None:
        """Return the number of the leader with the highest term, if any."""
        leading = [
            (host.replication.vote.term, number)
            for number, host in enumerate(self.hosts)
            if host.is_up and host.replication.is_leader
        ]
        return max(leading)[1] if leading else None

    def has_full_membership(self) -> bool:
        """Return whether all hosts are up and agree on the members and enough voters.

        Each host is a member with its present disk. Hosts that discover each other have
        twice the tolerated losses and one as voters, as far as they keep their data.
        """
        return all(
            host.is_up
            and self._is_full(host.replication.membership)
            and host.state.control.replicated.membership == host.replication.membership
            for host in self.hosts
        )

    def _is_full(self, membership: Membership) -> bool:
        hosts = [host.disk.contents.host for host in self.hosts]
        durable = {
            host for number, host in enumerate(hosts) if number not in self.diskless
        }
        wanted = len(durable)
        if self.seed_host_count:
            wanted = min(wanted, 2 * self.tolerated_losses + 1)
        voters = set(membership.list_voters())
        members = {item.host for item in membership.members}
        return members == set(hosts) and len(voters) == wanted and voters <= durable

    def recover(self, seconds: float = 60.0) -> None:
        """Heal every fault and assert that the group converges without a lost item."""
        self.heal()
        end = self.now + seconds
        while not (self.has_full_membership() and self._has_converged()):
            assert self.now < end, (
                f"the group with seed {self.seed} did not recover in {seconds} s"
            )
            self.run(0.25)
        missing = set(self.acknowledged_items) - set(self.applied_items)
        assert not missing, f"acknowledged items were lost: {missing}"

    def _has_converged(self) -> bool:
        indexes = {host.replication.applied_index for host in self.hosts}
        return len(indexes) == 1 and self.find_leader() is not None

    def _create_disk(self) -> Disk:
        name = f"{self.rng.getrandbits(64):016x}"
        return Disk(JournalContents(name, Vote(), Position()))

    def _create_host(self, number: int) -> SimulatedHost:
        state = self._create_state(number)
        return SimulatedHost(f"tcp://10.0.0.{number + 1}:1", self._create_disk(), state)

    def _create_state(self, number: int) -> State:
        addresses = tuple(f"tcp://10.0.0.{item + 1}:1" for item in range(self.size))
        name = f"control-{number + 1}"
        node = Node(name, Role.CONTROL, "region", "zone", addresses[number], "")
        return State(
            node=node,
            control_addresses=self._list_seeds(addresses),
            discovers_control_hosts=self.seed_host_count > 0,
            is_first_start=not self.seed_host_count or self.now == START_TIME,
            tolerated_losses=self.tolerated_losses,
            keeps_data=number not in self.diskless,
            checks_invariants=True,
            control=ControlState(replicated=ItemList()),
        )

    def _list_seeds(self, addresses: tuple[str, ...]) -> tuple[str, ...]:
        if self.later_seeds:
            return tuple(addresses[number] for number in self.later_seeds)
        return addresses[: self.seed_host_count or self.size]

    def change_seeds(self, *numbers: int) -> None:
        """Let the settings of all hosts name other seeds."""
        self.later_seeds = numbers
        addresses = tuple(host.address for host in self.hosts)
        for number, host in enumerate(self.hosts):
            if host.is_up:
                self._handle(number, SeedsRead(self._list_seeds(addresses)))

    def _advance_clocks(self, now: float) -> None:
        for host in self.hosts:
            if host.is_clock_stopped:
                host.clock_lag += now - self.now
        self.now = now

    def _deliver(self, number: int, generation: int, event: Event) -> None:
        host = self.hosts[number]
        if generation not in {0, host.generation} or not host.is_up:
            return
        if host.is_frozen:
            host.backlog.append((generation, event))
            return
        if isinstance(event, JournalSynced):
            host.disk.sync(event.sequence)
        self._handle(number, event)

    def _handle(self, number: int, event: Event) -> None:
        host = self.hosts[number]
        effects = reduce(event, host.state, self.now - host.clock_lag)
        self._check_invariants(host)
        self._perform_all(number, effects)

    def _perform_all(self, number: int, effects: list[Effect]) -> None:
        for effect in effects:
            perform(effect, self, number)

    def schedule(
        self, delay: float, number: int, event: Event, generation: int
    ) -> None:
        """Deliver an event to a host after a delay in seconds.

        The event is discarded unless the host is still in `generation`; 0 accepts any.
        """
        item = (self.now + delay, next(self._ids), number, generation, event)
        heapq.heappush(self._event_queue, item)

    def _check_invariants(self, host: SimulatedHost) -> None:
        replication = host.replication if host.state.control.replication else None
        if replication is None:
            return
        if replication.is_leader:
            # A group that was on one lost disk alone has terms of its own.
            term = (replication.membership.group, replication.vote.term)
            leader = self.leaders_by_term.setdefault(term, replication.host)
            assert leader == replication.host, f"term {term[1]} has two leaders"
        self._check_committed(replication.log, replication.commit_index)
        items = list_items(host.state)
        if len(items) > len(self.applied_items):
            assert items[: len(self.applied_items)] == self.applied_items, (
                "a host's items do not extend those of the group"
            )
            self.applied_items = list(items)
        assert items == self.applied_items[: len(items)], (
            "a host's items differ from those of the group"
        )

    def _check_committed(self, log: Log, commit_index: int) -> None:
        for index in range(commit_index, log.base.index, -1):
            committed = self.committed_entries.setdefault(index, log.get(index))
            assert committed == log.get(index), (
                f"two different entries are committed at index {index}"
            )


@singledispatch
def perform(effect: Effect, group: SimulatedGroup, number: int) -> None:
    """Perform an effect of a host; effects without an implementation are ignored."""


@perform.register
def _(effect: SendMessage, group: SimulatedGroup, number: int) -> None:
    own = group.hosts[number].address
    if (own, effect.address) in group.cut_links or group.rng.random() < group.loss_rate:
        return
    targets = [item for item, host in enumerate(group.hosts)]
    for target in targets:
        if group.hosts[target].address != effect.address:
            continue
        is_late = group.rng.random() < group.loss_rate / 4
        delay = group.rng.uniform(
            0.0, MAX_LATE_MESSAGE_DELAY if is_late else MAX_MESSAGE_DELAY
        )
        group.schedule(delay, target, effect.message, 0)
        if group.rng.random() < group.loss_rate:
            group.schedule(delay * 3, target, effect.message, 0)


@perform.register
def _(effect: SetTimer, group: SimulatedGroup, number: int) -> None:
    host = group.hosts[number]
    delay = max(0.0, effect.due_at - (group.now - host.clock_lag))
    group.schedule(delay, number, effect.event, host.generation)


@perform.register(WriteJournal)
@perform.register(SaveSnapshot)
def _(effect: WriteJournal | SaveSnapshot, group: SimulatedGroup, number: int) -> None:
    host = group.hosts[number]
    host.disk.unsynced.append(copy.deepcopy(effect))
    is_slow = group.rng.random() < SLOW_SYNC_PROBABILITY
    limit = MAX_SLOW_SYNC_TIME if is_slow else MAX_SYNC_TIME
    delay = group.rng.uniform(0.0, limit)
    group.schedule(delay, number, JournalSynced(effect.sequence), host.generation)


@perform.register
def _(effect: ReadSnapshotChunk, group: SimulatedGroup, number: int) -> None:
    host = group.hosts[number]
    writes = [host.disk.contents, *host.disk.unsynced]
    snapshots = [getattr(write, "snapshot", None) for write in writes]
    snapshot: Snapshot = [item for item in snapshots if item is not None][-1]
    data = pickle.dumps(snapshot)
    end = effect.offset + len(data) // SNAPSHOT_CHUNKS + 1
    event = SnapshotChunkRead(
        effect.target,
        snapshot.position,
        effect.offset,
        data[effect.offset : end],
        end >= len(data),
    )
    group.schedule(0.0, number, event, host.generation)


@perform.register
def _(effect: DecodeSnapshot, group: SimulatedGroup, number: int) -> None:
    host = group.hosts[number]
    event = SnapshotDecoded(effect.source, pickle.loads(effect.data))
    group.schedule(0.0, number, event, host.generation)


@perform.register
def _(effect: AcknowledgeItem, group: SimulatedGroup, number: int) -> None:
    if effect.item not in group.acknowledged_items:
        group.acknowledged_items.append(effect.item)


@perform.register
def _(effect: AnswerRead, group: SimulatedGroup, number: int) -> None:
    before = group.acknowledged_items[: group.acknowledged_before_read[effect.read]]
    missing = set(before) - set(effect.items)
    assert not missing, f"read {effect.read} is stale: {missing} are missing"
    group.answered_reads += 1
