"""Ledger: changes of the ledger of requests that must not be repeated."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.commands.base import Command, Outcome
from gentianworks.core.ledger.ledger import Decision, Registration
from gentianworks.core.ledger.types import Claim, ClaimStatus, KeyId, RecordedAnswer
from gentianworks.core.types import EndpointName, ExchangeId


@frozen
class ClaimKey(Command):
    """Claim a key for an exchange; `peer_address` is that of its router."""

    peer_address: str
    exchange: ExchangeId
    key: KeyId
    digest: str
    endpoint: EndpointName
    last_number: int


@frozen
class ReleaseKey(Command):
    """Free a key whose attempt did not run and never will."""

    peer_address: str
    exchange: ExchangeId
    key: KeyId
    digest: str
    number: int
    is_final: bool


@frozen
class RecordRun(Command):
    """Record the end of an attempt; `peer_address` is that of its agent."""

    peer_address: str
    claim: Claim
    status: ClaimStatus
    answer: RecordedAnswer | None


@frozen
class RegisterIncarnation(Command):
    """Put the incarnation of an endpoint's agent in force."""

    peer_address: str
    endpoint: EndpointName
    incarnation: int
    ordinal: int


@frozen
class KeyClaimed(Outcome):
    """Carry the ledger's decision on a claim."""

    decision: Decision


@frozen
class KeyReleased(Outcome):
    """Carry the ledger's decision on a release."""

    decision: Decision


@frozen
class RunRecorded(Outcome):
    """Say that the end of an attempt is in the ledger."""


@frozen
class IncarnationRegistered(Outcome):
    """Carry the registration in force."""

    registration: Registration
