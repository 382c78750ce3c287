"""Ledger: changes of the ledger of requests that must run at most once."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.commands.base import Command, Outcome
from gentianworks.core.ledger.ledger import Decision, Registration
from gentianworks.core.ledger.types import Claim, ClaimStatus, KeyId, RecordedAnswer
from gentianworks.core.types import EndpointName, ExchangeId


@frozen
class ClaimKey(Command):
    """Claim of a key for an exchange; `peer_address` is that of the router."""

    peer_address: str
    exchange: ExchangeId
    key: KeyId
    digest: str
    endpoint: EndpointName
    last_number: int


@frozen
class ReleaseKey(Command):
    """Release of a key whose attempt has not run and never will."""

    peer_address: str
    exchange: ExchangeId
    key: KeyId
    digest: str
    number: int
    is_final: bool


@frozen
class RecordRun(Command):
    """End of a claimed attempt; `peer_address` is that of the agent."""

    peer_address: str
    claim: Claim
    status: ClaimStatus
    answer: RecordedAnswer | None


@frozen
class RegisterIncarnation(Command):
    """Registration of the incarnation of an endpoint's agent."""

    peer_address: str
    endpoint: EndpointName
    incarnation: int
    ordinal: int


@frozen
class KeyClaimed(Outcome):
    """Decision of the ledger on a claim."""

    decision: Decision


@frozen
class KeyReleased(Outcome):
    """Decision of the ledger on a release."""

    decision: Decision


@frozen
class RunRecorded(Outcome):
    """Confirmation that the end of an attempt is in the ledger."""


@frozen
class IncarnationRegistered(Outcome):
    """Registration that is in force."""

    registration: Registration
