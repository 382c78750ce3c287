"""Operators: requests of operators to a control host."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.events.base import Event, Message
from gentianworks.core.events.membership import Heartbeat
from gentianworks.core.types import Configuration, ExchangeId


@frozen
class OperatorRequest(Event):
    """Base class of requests of an authenticated operator."""

    exchange: ExchangeId
    operator: str


@frozen
class ConfigurationChangeRequested(OperatorRequest):
    """Operator's request to change the configuration.

    `change` identifies the change across resends, and `digest` its contents.
    `expected_revision` is the revision on which the change is based.
    """

    change: str
    digest: str
    expected_revision: int
    configuration: Configuration


@frozen
class ReadRequested(OperatorRequest):
    """Base class of queries that a quorum has to confirm before the response."""


@frozen
class ConfigurationRequested(ReadRequested):
    """Query for the accepted configuration."""


@frozen
class KeyRequested(ReadRequested):
    """Query for the outcome of a workspace's idempotency key."""

    workspace: str
    key: str


@frozen
class SurveyRequested(ReadRequested):
    """Base class of queries about nodes, whose heartbeats only the leader receives."""


@frozen
class StatusRequested(SurveyRequested):
    """Query for the state of the fleet."""


@frozen
class AuditRequested(ReadRequested):
    """Query for the entries of the audit trail after an index."""

    after: int = 0


@frozen
class PlacementRequested(SurveyRequested):
    """Query for the endpoints that would serve a chat."""

    service: str
    workspace: str
    chat: str


@frozen
class OperatorRequestConfirmed(Event):
    """Occurs when a quorum has confirmed this host's state for a pending request."""

    exchange: ExchangeId


@frozen
class SurveyedNode:
    """State of one router or agent as the leader knows it."""

    heartbeat: Heartbeat
    seconds_ago: float
    is_live: bool
    is_leaving: bool
    is_held: bool


@frozen
class SurveyWanted(Message):
    """Request to the leader for the state of the nodes, for an operator's request."""

    exchange: ExchangeId
    peer_address: str


@frozen
class SurveyGiven(Message):
    """The leader's response to another control host, with the state of the nodes."""

    exchange: ExchangeId
    nodes: tuple[SurveyedNode, ...]


@frozen
class SurveyTimedOut(Event):
    """Occurs when the leader has not responded to a survey in time."""

    exchange: ExchangeId
