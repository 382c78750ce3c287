"""A control group in memory: hosts with disks and clocks, and a faulty network."""

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
from gentianworks.core.replication.peer_messages import get_replication
from gentianworks.core.replication.proposals import confirm_read, propose
from gentianworks.core.replication.replication import Replication
from gentianworks.core.state import State
from gentianworks.core.types import Node, Role
from properties.disks import Disk
from properties.items import (
    Acknowledge,
    AddItem,
    AnswerRead,
    ItemList,
    ItemsRead,
    list_items,
)

BEGIN = 1000.0  # seconds
MAX_DELAY = 0.03  # seconds
MAX_LONG_DELAY = 3.0  # seconds
MAX_SYNC_TIME = 0.02  # seconds
MAX_SLOW_SYNC_TIME = 0.5  # seconds
SLOW_SYNC_SHARE = 0.2
SNAPSHOT_INTERVAL = 12  # entries
KEPT_ENTRIES = 4
SNAPSHOT_CHUNKS = 3


@define
class Host:
    """Hold one control host; `lag` is how far its clock is behind."""

    address: str
    disk: Disk
    state: State
    life: int = 0
    is_up: bool = False
    is_frozen: bool = False
    has_stopped_clock: bool = False
    lag: float = 0.0
    backlog: list[tuple[int, Event]] = field(factory=list)

    @property
    def replication(self) -> Replication:
        """Return the host's part of the log."""
        return get_replication(self.state)


@define
class Group:
    """Run a control group in virtual time and check what its clients see.

    With `seeds`, each host is told of the first hosts only and finds the others. Each
    process has run for `load_time` seconds when its host starts.
    """

    size: int
    seed: int
    loss: float = 0.0
    load_time: float = 0.0
    now: float = BEGIN
    seeds: int = 0
    random: random.Random = field(init=False)
    hosts: list[Host] = field(factory=list)
    cuts: set[tuple[str, str]] = field(factory=set)
    acknowledged: list[str] = field(factory=list)
    reads: dict[int, int] = field(factory=dict)
    answered_reads: int = 0
    leaders: dict[int, str] = field(factory=dict)
    items: list[str] = field(factory=list)
    entries: dict[int, Entry] = field(factory=dict)
    _due: list[tuple[float, int, int, int, Event]] = field(factory=list)
    _numbers: count[int] = field(factory=count)

    def __attrs_post_init__(self) -> None:
        """Start all hosts with empty disks."""
        self.random = random.Random(self.seed)
        self.hosts = [self._create_host(number) for number in range(self.size)]
        for number in range(self.size):
            self.start(number)

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        end = self.now + seconds
        while self._due and self._due[0][0] <= end:
            at, _, number, life, event = heapq.heappop(self._due)
            self._pass_time(max(at, self.now))
            self._deliver(number, life, event)
        self._pass_time(end)

    def start(self, number: int) -> None:
        """Start a host from its disk."""
        host = self.hosts[number]
        host.life += 1
        host.is_up, host.is_frozen = True, False
        host.state = self._create_state(number)
        contents = copy.deepcopy(host.disk.contents)
        self._handle(number, ProcessStarted(self.random.getrandbits(48)))
        seed = self.random.getrandbits(48)
        self._handle(number, JournalLoaded(contents, seed, self.load_time))
        host.replication.snapshot_interval = SNAPSHOT_INTERVAL
        host.replication.retained_entries = KEPT_ENTRIES

    def crash(self, number: int) -> None:
        """Stop a host at once; what is not synced is lost."""
        host = self.hosts[number]
        host.is_up = False
        host.life += 1
        host.disk.unsynced.clear()
        host.backlog.clear()

    def wipe(self, number: int) -> None:
        """Crash a host, empty its disk and start it again."""
        self.crash(number)
        self.hosts[number].disk = self._create_disk()
        self.start(number)

    def freeze(self, number: int) -> None:
        """Stop a host's process while its clock goes on."""
        self.hosts[number].is_frozen = True

    def thaw(self, number: int) -> None:
        """Let a frozen process go on with what has arrived."""
        host = self.hosts[number]
        host.is_frozen = False
        backlog, host.backlog = host.backlog, []
        for life, event in backlog:
            self._deliver(number, life, event)

    def cut(self, number: int) -> None:
        """Cut a host off from all others, both ways."""
        own = self.hosts[number].address
        others = [host.address for host in self.hosts if host.address != own]
        self.cuts |= {(own, other) for other in others}
        self.cuts |= {(other, own) for other in others}

    def heal(self) -> None:
        """Mend the network and the clocks, and bring every host up."""
        self.cuts.clear()
        self.loss = 0.0
        for number, host in enumerate(self.hosts):
            host.has_stopped_clock = False
            if not host.is_up:
                self.start(number)
            if host.is_frozen:
                self.thaw(number)

    def stop(self, number: int) -> None:
        """Ask a host to stop gracefully."""
        self._handle(number, ShutdownRequested())

    def add(self, number: int) -> str:
        """Propose an item at a host and return its name."""
        item = f"item-{next(self._numbers)}"
        host = self.hosts[number]
        now = self.now - host.lag
        self._perform_all(number, propose(AddItem(item, now), host.state, now))
        return item

    def read(self, number: int) -> int:
        """Ask a host for a confirmed read and return the read's number."""
        read = next(self._numbers)
        self.reads[read] = len(self.acknowledged)
        host = self.hosts[number]
        now = self.now - host.lag
        self._perform_all(number, confirm_read(ItemsRead(read), host.state, now))
        return read

    def find_leader(self) -> int | None:
        """Return the host that leads in the highest term."""
        leading = [
            (host.replication.vote.term, number)
            for number, host in enumerate(self.hosts)
            if host.is_up and host.replication.is_leader
        ]
        return max(leading)[1] if leading else None

    def is_whole(self) -> bool:
        """Tell whether every host with its present disk is a voter, for all to see."""
        hosts = {host.disk.contents.host for host in self.hosts}
        return all(
            host.is_up
            and set(host.replication.membership.list_voters()) == hosts
            and host.state.control.replicated.membership == host.replication.membership
            for host in self.hosts
        )

    def settle(self, seconds: float = 60.0) -> None:
        """Heal everything and wait until all hosts are alike."""
        self.heal()
        end = self.now + seconds
        while not (self.is_whole() and self._is_alike()):
            assert self.now < end, f"the group of seed {self.seed} did not recover"
            self.run(0.25)
        missing = set(self.acknowledged) - set(self.items)
        assert not missing, f"acknowledged items are lost: {missing}"

    def _is_alike(self) -> bool:
        indexes = {host.replication.applied_index for host in self.hosts}
        return len(indexes) == 1 and self.find_leader() is not None

    def _create_disk(self) -> Disk:
        name = f"{self.random.getrandbits(64):016x}"
        return Disk(JournalContents(name, Vote(), Position()))

    def _create_host(self, number: int) -> Host:
        state = self._create_state(number)
        return Host(f"tcp://10.0.0.{number + 1}:1", self._create_disk(), state)

    def _create_state(self, number: int) -> State:
        addresses = tuple(f"tcp://10.0.0.{item + 1}:1" for item in range(self.size))
        name = f"control-{number + 1}"
        node = Node(name, Role.CONTROL, "region", "zone", addresses[number], "")
        return State(
            node=node,
            control_addresses=addresses[: self.seeds or self.size],
            discovers_control_hosts=self.seeds > 0,
            is_first_start=not self.seeds or self.now == BEGIN,
            checks_invariants=True,
            control=ControlState(replicated=ItemList()),
        )

    def _pass_time(self, now: float) -> None:
        for host in self.hosts:
            if host.has_stopped_clock:
                host.lag += now - self.now
        self.now = now

    def _deliver(self, number: int, life: int, event: Event) -> None:
        host = self.hosts[number]
        if life not in {0, host.life} or not host.is_up:
            return
        if host.is_frozen:
            host.backlog.append((life, event))
            return
        if isinstance(event, JournalSynced):
            host.disk.sync(event.sequence)
        self._handle(number, event)

    def _handle(self, number: int, event: Event) -> None:
        host = self.hosts[number]
        effects = reduce(event, host.state, self.now - host.lag)
        self._check(host)
        self._perform_all(number, effects)

    def _perform_all(self, number: int, effects: list[Effect]) -> None:
        for effect in effects:
            perform(effect, self, number)

    def schedule(self, delay: float, number: int, event: Event, life: int) -> None:
        """Let an event reach a host after a delay; life 0 means any."""
        item = (self.now + delay, next(self._numbers), number, life, event)
        heapq.heappush(self._due, item)

    def _check(self, host: Host) -> None:
        replication = host.replication if host.state.control.replication else None
        if replication is None:
            return
        if replication.is_leader:
            term = replication.vote.term
            leader = self.leaders.setdefault(term, replication.host)
            assert leader == replication.host, f"two leaders in term {term}"
        self._check_committed(replication.log, replication.commit_index)
        items = list_items(host.state)
        if len(items) > len(self.items):
            assert items[: len(self.items)] == self.items, "items differ"
            self.items = list(items)
        assert items == self.items[: len(items)], "items differ between hosts"

    def _check_committed(self, log: Log, commit_index: int) -> None:
        for index in range(commit_index, log.base.index, -1):
            known = self.entries.setdefault(index, log.get(index))
            assert known == log.get(index), f"two committed entries at {index}"


@singledispatch
def perform(effect: Effect, group: Group, number: int) -> None:
    """Carry out an effect of a host in the group; others have none here."""


@perform.register
def _(effect: SendMessage, group: Group, number: int) -> None:
    own = group.hosts[number].address
    if (own, effect.address) in group.cuts or group.random.random() < group.loss:
        return
    targets = [item for item, host in enumerate(group.hosts)]
    for target in targets:
        if group.hosts[target].address != effect.address:
            continue
        is_late = group.random.random() < group.loss / 4
        delay = group.random.uniform(0.0, MAX_LONG_DELAY if is_late else MAX_DELAY)
        group.schedule(delay, target, effect.message, 0)
        if group.random.random() < group.loss:
            group.schedule(delay * 3, target, effect.message, 0)


@perform.register
def _(effect: SetTimer, group: Group, number: int) -> None:
    host = group.hosts[number]
    delay = max(0.0, effect.due_at - (group.now - host.lag))
    group.schedule(delay, number, effect.event, host.life)


@perform.register(WriteJournal)
@perform.register(SaveSnapshot)
def _(effect: WriteJournal | SaveSnapshot, group: Group, number: int) -> None:
    host = group.hosts[number]
    host.disk.unsynced.append(copy.deepcopy(effect))
    is_slow = group.random.random() < SLOW_SYNC_SHARE
    limit = MAX_SLOW_SYNC_TIME if is_slow else MAX_SYNC_TIME
    delay = group.random.uniform(0.0, limit)
    group.schedule(delay, number, JournalSynced(effect.sequence), host.life)


@perform.register
def _(effect: ReadSnapshotChunk, group: Group, number: int) -> None:
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
    group.schedule(0.0, number, event, host.life)


@perform.register
def _(effect: DecodeSnapshot, group: Group, number: int) -> None:
    host = group.hosts[number]
    event = SnapshotDecoded(effect.source, pickle.loads(effect.data))
    group.schedule(0.0, number, event, host.life)


@perform.register
def _(effect: Acknowledge, group: Group, number: int) -> None:
    if effect.item not in group.acknowledged:
        group.acknowledged.append(effect.item)


@perform.register
def _(effect: AnswerRead, group: Group, number: int) -> None:
    before = group.acknowledged[: group.reads[effect.read]]
    missing = set(before) - set(effect.items)
    assert not missing, f"the read {effect.read} is stale: {missing} are missing"
    group.answered_reads += 1
