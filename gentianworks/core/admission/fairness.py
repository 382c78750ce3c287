"""Fairness: the order of queued work by rank and, within a rank, by workspace.

Ranks go by strict priority above guaranteed shares: each start of work gives every
rank a credit of a little more than its share, so that gaps in its queue don't take
it below, and a rank with credit goes first and pays for its attempt afterwards.
A rank without waiting work keeps no more credit than two of its attempts cost.
Workspaces of a rank go by start-time fair queueing over cost.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from attrs import define, field, frozen

from gentianworks.core.types import AttemptId, Rank, RankName, WorkspaceName

LAST_PRIORITY = 1_000_000
SHARE_MARGIN = 1.1
IDLE_ATTEMPTS = 2  # attempts whose cost a rank keeps in credit while none waits


@frozen
class Ticket:
    """Hold the place of one attempt in the queue; `cost` is in tokens.

    `has_begun` tells that the attempt was suspended after it had run.
    """

    attempt: AttemptId
    rank: RankName
    workspace: WorkspaceName
    cost: int
    weight: float = 1.0
    size: int = 0
    has_begun: bool = False


@define
class WorkspaceQueue:
    """Hold a workspace's tickets and the virtual time at which its next may start.

    `last_cost` is the weighted cost of the ticket that it started last.
    """

    start: float
    last_cost: float = 0.0
    tickets: deque[Ticket] = field(factory=deque)

    def sum_cost(self) -> int:
        """Return the cost of the tickets that wait."""
        return sum(ticket.cost for ticket in self.tickets)


@define
class RankQueue:
    """Hold the tickets of one rank."""

    credit: float = 0.0
    last_cost: int = 0
    virtual_time: float = 0.0
    workspaces: dict[WorkspaceName, WorkspaceQueue] = field(factory=dict)

    def earn(self, credit: float, cost: int) -> None:
        """Add credit for a start of `cost`; it is limited while nothing waits."""
        if self.peek() is not None:
            self.credit += credit
        else:
            limit = IDLE_ATTEMPTS * (self.last_cost or cost)
            self.credit = max(self.credit, min(self.credit + credit, limit))

    def add(self, ticket: Ticket) -> None:
        """Queue a ticket behind the others of its workspace.

        A workspace that has been idle goes ahead by the cost of one ticket, so that
        a small one needn't wait for a turn of each that always has work waiting.
        """
        earliest = self.virtual_time - ticket.cost / ticket.weight
        queue = self.workspaces.get(ticket.workspace)
        if queue is None:
            queue = self.workspaces[ticket.workspace] = WorkspaceQueue(earliest)
        elif not queue.tickets:
            queue.start = max(earliest, queue.start)
        queue.tickets.append(ticket)

    def suspend(self, ticket: Ticket) -> None:
        """Queue a ticket before the others of its workspace and refund its cost."""
        queue = self.workspaces.get(ticket.workspace)
        if queue is None:
            queue = WorkspaceQueue(self.virtual_time)
            self.workspaces[ticket.workspace] = queue
        cost = ticket.cost / ticket.weight
        queue.start = max(queue.start, self.virtual_time) - cost
        queue.tickets.appendleft(ticket)

    def put_back(self, ticket: Ticket) -> None:
        """Queue a ticket that had been taken out before the others of its workspace."""
        queue = self.workspaces.setdefault(
            ticket.workspace, WorkspaceQueue(self.virtual_time)
        )
        queue.tickets.appendleft(ticket)

    def list_waiting(self) -> list[tuple[WorkspaceName, WorkspaceQueue]]:
        """Return the workspaces that have tickets."""
        return [item for item in self.workspaces.items() if item[1].tickets]

    def peek(self) -> Ticket | None:
        """Return the ticket that is to start next."""
        waiting = self.list_waiting()
        if not waiting:
            return None
        _, queue = min(waiting, key=_order_workspace)
        return queue.tickets[0]

    def start(self, ticket: Ticket) -> None:
        """Take out a ticket that starts, and charge its workspace."""
        queue = self.workspaces[ticket.workspace]
        queue.tickets.remove(ticket)
        self.virtual_time = max(self.virtual_time, queue.start)
        queue.last_cost = ticket.cost / ticket.weight
        queue.start += queue.last_cost
        if not self.list_waiting():
            self.virtual_time += queue.last_cost / len(self.workspaces)
        self._forget_idle()

    def remove(self, ticket: Ticket) -> None:
        """Take out a ticket that won't start."""
        self.workspaces[ticket.workspace].tickets.remove(ticket)
        self._forget_idle()

    def correct(self, ticket: Ticket, measured: int) -> None:
        """Charge a workspace for what its work really cost."""
        queue = self.workspaces.get(ticket.workspace)
        if queue is not None:
            queue.start += (measured - ticket.cost) / ticket.weight
            self._forget_idle()

    def _forget_idle(self) -> None:
        idle = [
            name
            for name, queue in self.workspaces.items()
            if not queue.tickets and queue.start + queue.last_cost <= self.virtual_time
        ]
        for name in idle:
            del self.workspaces[name]


def _order_workspace(
    item: tuple[WorkspaceName, WorkspaceQueue],
) -> tuple[float, bool, WorkspaceName]:
    name, queue = item
    return queue.start, queue.tickets[0].has_begun, name


@define
class FairQueue:
    """Hold the queued attempts of one endpoint."""

    ranks: dict[RankName, RankQueue] = field(factory=dict)
    tickets: dict[AttemptId, Ticket] = field(factory=dict)

    def __len__(self) -> int:
        """Return the number of queued attempts."""
        return len(self.tickets)

    def __contains__(self, attempt: AttemptId) -> bool:
        """Tell whether an attempt is queued."""
        return attempt in self.tickets

    def has_waiting(self, rank: RankName, workspace: WorkspaceName) -> bool:
        """Tell whether a workspace has work of a rank queued."""
        found = self.ranks.get(rank)
        queue = found.workspaces.get(workspace) if found else None
        return queue is not None and bool(queue.tickets)

    def find_rank(self, name: RankName) -> RankQueue:
        """Return the queue of a rank, a new one where it has none."""
        return self.ranks.setdefault(name, RankQueue())

    def add(self, ticket: Ticket) -> None:
        """Queue an attempt."""
        self.tickets[ticket.attempt] = ticket
        self.find_rank(ticket.rank).add(ticket)

    def suspend(self, ticket: Ticket, is_covered: bool) -> None:
        """Queue an attempt that had begun, before the others of its workspace."""
        self.tickets[ticket.attempt] = ticket
        rank = self.find_rank(ticket.rank)
        rank.suspend(ticket)
        if is_covered:
            rank.credit += ticket.cost

    def put_back(self, ticket: Ticket) -> None:
        """Queue an attempt that had been taken out, before others of its workspace."""
        self.tickets[ticket.attempt] = ticket
        self.find_rank(ticket.rank).put_back(ticket)

    def remove(self, attempt: AttemptId) -> None:
        """Take out an attempt that won't start."""
        ticket = self.tickets.pop(attempt)
        self.ranks[ticket.rank].remove(ticket)

    def list_waiting(self, ranks: Iterable[Rank]) -> list[tuple[Rank, Ticket]]:
        """Return the next ticket of each rank that waits, the most urgent first."""
        known = {rank.name: rank for rank in ranks}
        found = [
            (known.get(name) or Rank(name, LAST_PRIORITY, 0.0, 0.0), ticket)
            for name, queue in self.ranks.items()
            if (ticket := queue.peek()) is not None
        ]
        return sorted(found, key=lambda item: (item[0].priority, item[0].name))

    def peek(self, ranks: Iterable[Rank]) -> Ticket | None:
        """Return the ticket that is to start next."""
        waiting = self.list_waiting(ranks)
        for rank, ticket in waiting:
            if self.ranks[rank.name].credit > 0:
                return ticket
        return waiting[0][1] if waiting else None

    def start(self, ticket: Ticket, ranks: Iterable[Rank]) -> bool:
        """Take out a ticket that starts, and settle the credits of all ranks.

        Return whether its rank's credit pays for it; otherwise it starts for free,
        because nothing more urgent waits.
        """
        is_covered = self.pay(ticket.rank, ticket.cost)
        del self.tickets[ticket.attempt]
        queue = self.ranks[ticket.rank]
        queue.start(ticket)
        queue.last_cost = ticket.cost
        for rank in ranks:
            earned = rank.guaranteed_share * SHARE_MARGIN * ticket.cost
            self.find_rank(rank.name).earn(earned, ticket.cost)
        return is_covered

    def pay(self, name: RankName, cost: int) -> bool:
        """Charge a cost to a rank's credit, and tell whether it had any.

        The credit may fall below zero, by less than the cost.
        """
        queue = self.find_rank(name)
        if queue.credit <= 0:
            return False
        queue.credit -= cost
        return True

    def correct(self, ticket: Ticket, measured: int) -> None:
        """Charge a workspace for what its work really cost."""
        self.find_rank(ticket.rank).correct(ticket, measured)

    def find_last(self, ranks: Iterable[Rank]) -> Ticket | None:
        """Return the ticket that is given up first when the queue is full."""
        for rank, _ in reversed(self.list_waiting(ranks)):
            waiting = [
                queue
                for _, queue in self.ranks[rank.name].list_waiting()
                if not queue.tickets[-1].has_begun
            ]
            if waiting:
                return max(waiting, key=WorkspaceQueue.sum_cost).tickets[-1]
        return None

    def sum_cost(self) -> int:
        """Return the cost of all queued attempts."""
        return sum(ticket.cost for ticket in self.tickets.values())

    def sum_size(self) -> int:
        """Return the bytes of all queued attempts."""
        return sum(ticket.size for ticket in self.tickets.values())
