"""Gateway: calls of callers, and what becomes of them at replicas."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from gentianworks.core.events.base import Event
from gentianworks.core.events.operators import OperatorRequest, ReadRequested
from gentianworks.core.gateway.calls import Call
from gentianworks.core.gateway.documents import RouteDocument
from gentianworks.core.gateway.replicas import Replica
from gentianworks.core.gateway.route_table import RouteTable
from gentianworks.core.types import AttemptId, ExchangeId, Header


@frozen
class CallArrived(Event):
    """Report a caller's whole call."""

    exchange: ExchangeId
    call: Call


@frozen
class CallWaited(Event):
    """Report that a call has waited for the first table for as long as it may."""

    exchange: ExchangeId


@frozen
class CallLeft(Event):
    """Report that a caller closed its connection before the answer ended."""

    exchange: ExchangeId


@frozen
class CallExpired(Event):
    """Report that a call has used up its time."""

    exchange: ExchangeId


@frozen
class ReplicaAnswer:
    """Hold the head of a replica's answer.

    `is_unrun` tells that the replica says it has not run the call, and `is_other`
    that another replica than the named one holds the address. `running` and
    `waiting` are its load, -1 where it tells none.
    """

    status: int
    headers: tuple[Header, ...]
    is_signed: bool
    is_unrun: bool = False
    is_other: bool = False
    running: int = -1
    waiting: int = -1
    slots: int = 0


@frozen
class ReplicaAnswered(Event):
    """Report the head of the answer to an attempt."""

    attempt: AttemptId
    answer: ReplicaAnswer


@frozen
class ReplicaPiece(Event):
    """Report a piece of an answer; events of a stream are numbered, else -1."""

    attempt: AttemptId
    data: bytes
    first: int = -1
    last: int = -1


@frozen
class ReplicaEnded(Event):
    """Report that the answer to an attempt is whole."""

    attempt: AttemptId


@frozen
class SilenceDue(Event):
    """Report that an attempt should have begun to answer by now."""

    attempt: AttemptId


class ReplicaFailure(Enum):
    """Say how a call to a replica failed."""

    NOT_SENT = "not-sent"
    CUT = "cut"
    MALFORMED = "malformed"


@frozen
class ReplicaFailed(Event):
    """Report that an attempt failed; `detail` says what was seen."""

    attempt: AttemptId
    failure: ReplicaFailure
    detail: str = ""


@frozen
class ListingDue(Event):
    """Report that the list of replicas is to be fetched."""


@frozen
class ReplicasListed(Event):
    """Report the list of replicas, which lags; `refused` counts unreadable entries."""

    replicas: tuple[Replica, ...]
    refused: int = 0


@frozen
class ListingFailed(Event):
    """Report that the list of replicas could not be had."""

    detail: str


@frozen
class RoutesDecoded(Event):
    """Report the table that is in force, or None where it can't be read."""

    revision: int
    table: RouteTable | None


@frozen
class ReplaceRequested(OperatorRequest):
    """Report an operator's table of routes, which has been found valid."""

    document: RouteDocument


@frozen
class RoutesRequested(ReadRequested):
    """Ask for the table of routes as it was sent."""
