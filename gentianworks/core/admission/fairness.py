"""Fairness: the order of queued attempts by rank and, within a rank, by workspace.

Each rank has a guaranteed share, and strict priority decides about the rest. Each
start gives every rank a credit of slightly more than its share of the cost, so that
a rank whose queue is sometimes empty still gets its share. A rank with credit starts
first and is charged for the attempt. A rank without queued attempts accumulates at
most the cost of two attempts. Workspaces of a rank share it by start-time fair
queueing over cost.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from attrs import define, field, frozen

from gentianworks.core.types import AttemptId, Rank, RankName, WorkspaceName

UNKNOWN_RANK_PRIORITY = 1_000_000
SHARE_FACTOR = 1.1  # credit earned, relative to the guaranteed share
MAX_IDLE_CREDIT_ATTEMPTS = 2  # limit of an idle rank's credit


@frozen
class Ticket:
    """Place of one attempt in the queue; `cost` is in tokens, `size` in bytes."""

    attempt: AttemptId
    rank: RankName
    workspace: WorkspaceName
    cost: int
    weight: float = 1.0
    size: int = 0
    was_suspended: bool = False


@define
class WorkspaceQueue:
    """Queued tickets of one workspace in a rank."""

    # Virtual time at which the next ticket may start.
    start_tag: float
    # Cost of the ticket that started last, divided by its weight.
    last_weighted_cost: float = 0.0
    tickets: deque[Ticket] = field(factory=deque)

    def sum_cost(self) -> int:
        """Return the total cost of the queued tickets."""
        return sum(ticket.cost for ticket in self.tickets)


@define
class RankQueue:
    """Queued tickets of one rank, by workspace."""

    # Tokens that may start before more urgent ranks; negative after a charge.
    credit: float = 0.0
    # Cost of the ticket that started last.
    last_cost: int = 0
    virtual_time: float = 0.0
    workspaces: dict[WorkspaceName, WorkspaceQueue] = field(factory=dict)

    def deposit_credit(self, credit: float, cost: int) -> None:
        """Add credit for a start of `cost`; an idle rank's credit is limited."""
        if self.peek() is not None:
            self.credit += credit
        else:
            limit = MAX_IDLE_CREDIT_ATTEMPTS * (self.last_cost or cost)
            self.credit = max(self.credit, min(self.credit + credit, limit))

    def add(self, ticket: Ticket) -> None:
        """Append a ticket to its workspace's queue.

        The start tag of an idle workspace is set back by the cost of the ticket, so
        that a small workspace need not wait for one turn of each workspace that is
        always backlogged.
        """
        earliest = self.virtual_time - ticket.cost / ticket.weight
        queue = self.workspaces.get(ticket.workspace)
        if queue is None:
            queue = self.workspaces[ticket.workspace] = WorkspaceQueue(earliest)
        elif not queue.tickets:
            queue.start_tag = max(earliest, queue.start_tag)
        queue.tickets.append(ticket)

    def requeue_suspended(self, ticket: Ticket) -> None:
        """Insert a ticket at the head of its workspace's queue and refund its cost."""
        queue = self.workspaces.get(ticket.workspace)
        if queue is None:
            queue = WorkspaceQueue(self.virtual_time)
            self.workspaces[ticket.workspace] = queue
        cost = ticket.cost / ticket.weight
        queue.start_tag = max(queue.start_tag, self.virtual_time) - cost
        queue.tickets.appendleft(ticket)

    def requeue(self, ticket: Ticket) -> None:
        """Insert a removed ticket at the head of its workspace's queue."""
        queue = self.workspaces.setdefault(
            ticket.workspace, WorkspaceQueue(self.virtual_time)
        )
        queue.tickets.appendleft(ticket)

    def list_backlogged(self) -> list[tuple[WorkspaceName, WorkspaceQueue]]:
        """Return the workspaces that have queued tickets, with their queues."""
        return [item for item in self.workspaces.items() if item[1].tickets]

    def peek(self) -> Ticket | None:
        """Return the ticket that is to start next, or None."""
        backlogged = self.list_backlogged()
        if not backlogged:
            return None
        _, queue = min(backlogged, key=_get_sort_key)
        return queue.tickets[0]

    def dequeue(self, ticket: Ticket) -> None:
        """Remove a ticket that starts, and charge its workspace."""
        queue = self.workspaces[ticket.workspace]
        queue.tickets.remove(ticket)
        self.virtual_time = max(self.virtual_time, queue.start_tag)
        queue.last_weighted_cost = ticket.cost / ticket.weight
        queue.start_tag += queue.last_weighted_cost
        if not self.list_backlogged():
            self.virtual_time += queue.last_weighted_cost / len(self.workspaces)
        self._remove_idle()

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket that won't start."""
        self.workspaces[ticket.workspace].tickets.remove(ticket)
        self._remove_idle()

    def adjust_charge(self, ticket: Ticket, actual_cost: int) -> None:
        """Charge a workspace for the difference between actual and estimated cost."""
        queue = self.workspaces.get(ticket.workspace)
        if queue is not None:
            queue.start_tag += (actual_cost - ticket.cost) / ticket.weight
            self._remove_idle()

    def _remove_idle(self) -> None:
        idle = [
            name
            for name, queue in self.workspaces.items()
            if not queue.tickets
            and queue.start_tag + queue.last_weighted_cost <= self.virtual_time
        ]
        for name in idle:
            del self.workspaces[name]


def _get_sort_key(
    item: tuple[WorkspaceName, WorkspaceQueue],
) -> tuple[float, bool, WorkspaceName]:
    name, queue = item
    return queue.start_tag, queue.tickets[0].was_suspended, name


@define
class FairQueue:
    """Queued attempts of one endpoint."""

    ranks: dict[RankName, RankQueue] = field(factory=dict)
    tickets: dict[AttemptId, Ticket] = field(factory=dict)

    def __len__(self) -> int:
        """Return the number of queued attempts."""
        return len(self.tickets)

    def __contains__(self, attempt: AttemptId) -> bool:
        """Return whether an attempt is queued."""
        return attempt in self.tickets

    def has_queued(self, rank: RankName, workspace: WorkspaceName) -> bool:
        """Return whether a workspace has attempts of a rank queued."""
        rank_queue = self.ranks.get(rank)
        queue = rank_queue.workspaces.get(workspace) if rank_queue else None
        return queue is not None and bool(queue.tickets)

    def get_or_create_rank(self, name: RankName) -> RankQueue:
        """Return the queue of a rank, creating it if needed."""
        return self.ranks.setdefault(name, RankQueue())

    def add(self, ticket: Ticket) -> None:
        """Queue an attempt."""
        self.tickets[ticket.attempt] = ticket
        self.get_or_create_rank(ticket.rank).add(ticket)

    def requeue_suspended(self, ticket: Ticket, is_covered: bool) -> None:
        """Insert a suspended attempt at the head of its workspace's queue.

        If the rank's credit paid for it, the cost is refunded to the credit.
        """
        self.tickets[ticket.attempt] = ticket
        queue = self.get_or_create_rank(ticket.rank)
        queue.requeue_suspended(ticket)
        if is_covered:
            queue.credit += ticket.cost

    def requeue(self, ticket: Ticket) -> None:
        """Insert a removed attempt at the head of its workspace's queue."""
        self.tickets[ticket.attempt] = ticket
        self.get_or_create_rank(ticket.rank).requeue(ticket)

    def remove(self, attempt: AttemptId) -> None:
        """Remove an attempt that won't start."""
        ticket = self.tickets.pop(attempt)
        self.ranks[ticket.rank].remove(ticket)

    def list_next_tickets(self, ranks: Iterable[Rank]) -> list[tuple[Rank, Ticket]]:
        """Return the next ticket of each rank with queued work, most urgent first."""
        declared = {rank.name: rank for rank in ranks}
        tickets = [
            (declared.get(name) or Rank(name, UNKNOWN_RANK_PRIORITY, 0.0, 0.0), ticket)
            for name, queue in self.ranks.items()
            if (ticket := queue.peek()) is not None
        ]
        return sorted(tickets, key=lambda item: (item[0].priority, item[0].name))

    def peek(self, ranks: Iterable[Rank]) -> Ticket | None:
        """Return the ticket that is to start next, or None."""
        tickets = self.list_next_tickets(ranks)
        for rank, ticket in tickets:
            if self.ranks[rank.name].credit > 0:
                return ticket
        return tickets[0][1] if tickets else None

    def dequeue(self, ticket: Ticket, ranks: Iterable[Rank]) -> bool:
        """Remove a ticket that starts, and update the credits of all ranks.

        Return whether its rank's credit was charged. Without credit, the ticket starts
        free of charge, because no more urgent rank has queued work.
        """
        is_covered = self.try_charge(ticket.rank, ticket.cost)
        del self.tickets[ticket.attempt]
        queue = self.ranks[ticket.rank]
        queue.dequeue(ticket)
        queue.last_cost = ticket.cost
        for rank in ranks:
            earned = rank.guaranteed_share * SHARE_FACTOR * ticket.cost
            self.get_or_create_rank(rank.name).deposit_credit(earned, ticket.cost)
        return is_covered

    def try_charge(self, name: RankName, cost: int) -> bool:
        """Charge a cost to a rank's credit; return False if it had none.

        The credit may fall below zero, by less than the cost.
        """
        queue = self.get_or_create_rank(name)
        if queue.credit <= 0:
            return False
        queue.credit -= cost
        return True

    def adjust_charge(self, ticket: Ticket, actual_cost: int) -> None:
        """Charge a workspace for the difference between actual and estimated cost."""
        self.get_or_create_rank(ticket.rank).adjust_charge(ticket, actual_cost)

    def find_evictable(self, ranks: Iterable[Rank]) -> Ticket | None:
        """Return the ticket to evict first when the queue is full, or None.

        It is the last ticket of the workspace with the most queued cost in the least
        urgent rank; tickets that were suspended are never evicted.
        """
        for rank, _ in reversed(self.list_next_tickets(ranks)):
            candidates = [
                queue
                for _, queue in self.ranks[rank.name].list_backlogged()
                if not queue.tickets[-1].was_suspended
            ]
            if candidates:
                return max(candidates, key=WorkspaceQueue.sum_cost).tickets[-1]
        return None

    def sum_cost(self) -> int:
        """Return the total cost of the queued attempts, in tokens."""
        return sum(ticket.cost for ticket in self.tickets.values())

    def sum_size(self) -> int:
        """Return the total size of the queued attempts, in bytes."""
        return sum(ticket.size for ticket in self.tickets.values())
