"""Configuration: the distribution of accepted configurations to every process."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.configuration.deltas import Delta
from gentianworks.core.events.base import Event, Message
from gentianworks.core.types import Configuration


@frozen
class ConfigurationWanted(Message):
    """Request for a configuration newer than `revision`."""

    revision: int
    peer_address: str


@frozen
class ConfigurationOffered(Message):
    """Update to an accepted revision, as deltas or as the complete configuration."""

    peer_address: str
    revision: int
    deltas: tuple[Delta, ...] = ()
    configuration: Configuration | None = None


@frozen
class RevisionWanted(Message):
    """Request for the revision that a quorum confirms.

    It is relayed over at most `hops` processes.
    """

    nonce: str
    peer_address: str
    hops: int


@frozen
class RevisionConfirmed(Message):
    """Revision that a quorum confirmed after the request was made.

    `peer_address` is that of the control host which has the revision. A relay leaves it
    empty, so that the requester doesn't contact the control hosts directly. The zones
    that are evacuated come with it, so that a process that starts knows them before
    its configuration takes effect.
    """

    nonce: str
    revision: int
    peer_address: str = ""
    evacuations_revision: int = 0
    evacuated_zones: tuple[str, ...] = ()


@frozen
class RevisionReadConfirmed(Event):
    """Occurs when a quorum has confirmed this host's state for a `RevisionWanted`."""

    nonce: str
    peer_address: str


@frozen
class ConfigurationPollDue(Event):
    """Occurs when this process is due to poll for a newer configuration."""


@frozen
class ConfigurationActivated(Event):
    """Occurs when a newer configuration has come into force at this process."""

    revision: int
