"""Ledger: claims and outcomes of the requests that must not be repeated.

A key has at most one claim at a time. A claim binds one attempt number to one
incarnation of one agent, and moves to another only after the attempt is known not to
have run. No function here reads a clock, because replicas have to reach the same state:
each command carries its time.
"""

from __future__ import annotations

from attrs import define, evolve, field, frozen

from gentianworks.core.ledger.expired_keys import ExpiredKeys
from gentianworks.core.ledger.records import KeyRecord
from gentianworks.core.ledger.types import (
    Claim,
    ClaimStatus,
    ClaimVerdict,
    KeyId,
    RecordedAnswer,
)
from gentianworks.core.types import EndpointName

RECORD_WINDOW = 24 * 3600.0  # seconds
MAX_RECORDS = 50_000
MAX_TOTAL_ANSWER_BYTES = 16 * 1024 * 1024
MAX_CLOCK_STEP = 60.0  # seconds


@frozen
class Registration:
    """Incarnation of an endpoint's agent; a higher ordinal is newer."""

    ordinal: int
    incarnation: int


@frozen
class Decision:
    """Verdict of the ledger, with the claim and answer of the record behind it."""

    verdict: ClaimVerdict
    claim: Claim | None = None
    answer: RecordedAnswer | None = None


@define
class Ledger:
    """Records of all keys, the least recently changed first."""

    clock: float = 0.0
    last_number: int = 0
    records: dict[KeyId, KeyRecord] = field(factory=dict)
    answer_sizes: dict[KeyId, int] = field(factory=dict)
    answer_bytes: int = 0
    registrations: dict[EndpointName, Registration] = field(factory=dict)
    expired: ExpiredKeys = field(factory=ExpiredKeys)


def advance_clock(ledger: Ledger, proposed_at: float) -> None:
    """Advance the ledger's clock and expire the records beyond the window or limit.

    One command advances it by at most MAX_CLOCK_STEP, so that a host whose clock is
    far ahead does not expire every record at once.
    """
    step = min(proposed_at - ledger.clock, MAX_CLOCK_STEP)
    is_first = ledger.clock == 0.0
    ledger.clock = proposed_at if is_first else ledger.clock + max(0.0, step)
    limit = ledger.clock - RECORD_WINDOW
    while ledger.records:
        key, record = next(iter(ledger.records.items()))
        if record.changed_at > limit and len(ledger.records) <= MAX_RECORDS:
            break
        _expire(key, record, ledger)
    ledger.expired.drop_old(ledger.clock)


def _expire(key: KeyId, record: KeyRecord, ledger: Ledger) -> None:
    del ledger.records[key]
    ledger.answer_bytes -= ledger.answer_sizes.pop(key, 0)
    if record.status is not ClaimStatus.NOT_RUN:
        ledger.expired.add(key, ledger.clock)


def find_decision(
    key: KeyId, digest: str, holder: str, ledger: Ledger
) -> Decision | None:
    """Return the existing decision on a request, or None if its key can be claimed."""
    record = ledger.records.get(key)
    if record is None:
        is_expired = key in ledger.expired
        return Decision(ClaimVerdict.KEY_EXPIRED) if is_expired else None
    if record.digest != digest:
        return Decision(ClaimVerdict.KEY_REUSED)
    if record.status is ClaimStatus.RAN:
        return Decision(ClaimVerdict.RAN, record.claim, record.answer)
    if record.status is ClaimStatus.UNKNOWN:
        return Decision(ClaimVerdict.UNKNOWN, record.claim)
    if record.status is ClaimStatus.NOT_RUN:
        return None
    is_own = record.holder == holder
    verdict = ClaimVerdict.GRANTED if is_own else ClaimVerdict.IN_PROGRESS
    return Decision(verdict, record.claim)


def claim_key(
    key: KeyId,
    digest: str,
    holder: str,
    endpoint: EndpointName,
    last_number: int,
    ledger: Ledger,
) -> Decision:
    """Claim a key for a new attempt at an endpoint, unless it is already decided.

    `last_number` is the latest attempt number that the holder has received; a delayed
    copy of an earlier claim of the same holder is not granted again.
    """
    decision = find_decision(key, digest, holder, ledger)
    record = ledger.records.get(key)
    if decision is not None:
        if record is not None:
            record.add_contender(holder)
        return decision
    if record is not None and _is_delayed_copy(record, holder, last_number):
        return Decision(ClaimVerdict.NOT_RUN, record.claim)
    registration = ledger.registrations.get(endpoint)
    if registration is None:
        return Decision(ClaimVerdict.NOT_REGISTERED)
    ledger.last_number += 1
    claim = Claim(key, ledger.last_number, endpoint, registration.incarnation)
    new_record = KeyRecord(digest, holder, claim, ClaimStatus.CLAIMED, ledger.clock)
    new_record.contenders = (
        () if record is None else record.list_other_exchanges(holder)
    )
    _store_record(new_record, ledger)
    return Decision(ClaimVerdict.GRANTED, claim)


def _is_delayed_copy(record: KeyRecord, holder: str, last_number: int) -> bool:
    return record.holder == holder and last_number < record.claim.number


def release_key(
    key: KeyId,
    digest: str,
    holder: str,
    number: int,
    is_final: bool,
    ledger: Ledger,
) -> Decision:
    """Record that an attempt did not run and never will, and free its key.

    Number 0 stands for the attempt that the holder has claimed and never dispatched.
    The verdict is NOT_RUN only if no other exchange wants the key; a final release
    then deletes the record.
    """
    record = ledger.records.get(key)
    if record is None:
        decision = find_decision(key, digest, holder, ledger)
        return decision or Decision(ClaimVerdict.NOT_RUN)
    if record.digest != digest:
        return Decision(ClaimVerdict.KEY_REUSED)
    if record.status is ClaimStatus.RAN:
        return Decision(ClaimVerdict.RAN, record.claim, record.answer)
    is_own = record.holder == holder
    if record.claim.number == number or (number == 0 and is_own):
        _mark_not_run(record, ledger)
    if is_final:
        record.mark_done(holder)
    verdict = _decide_release(record, is_own)
    if verdict is ClaimVerdict.NOT_RUN and is_final:
        del ledger.records[key]
    return Decision(verdict, record.claim)


def _decide_release(record: KeyRecord, is_own: bool) -> ClaimVerdict:
    if record.status is ClaimStatus.UNKNOWN:
        return ClaimVerdict.UNKNOWN
    is_alone = is_own and not record.contenders
    if record.status is not ClaimStatus.NOT_RUN or not is_alone:
        return ClaimVerdict.CONTENDED
    return ClaimVerdict.NOT_RUN


def _mark_not_run(record: KeyRecord, ledger: Ledger) -> None:
    if record.status in {ClaimStatus.CLAIMED, ClaimStatus.UNKNOWN}:
        record.status = ClaimStatus.NOT_RUN
        _store_record(record, ledger)


def record_run(
    claim: Claim, status: ClaimStatus, answer: RecordedAnswer | None, ledger: Ledger
) -> None:
    """Record that an attempt ran, or that its outcome is unknown."""
    record = ledger.records.get(claim.key)
    if record is None or record.claim != claim:
        return
    if record.status is ClaimStatus.RAN or record.status is status:
        return
    if record.status is ClaimStatus.NOT_RUN:
        return
    record.status = status
    record.answer = answer
    _store_record(record, ledger)
    if answer is not None:
        _store_answer(claim.key, answer, ledger)


def _store_record(record: KeyRecord, ledger: Ledger) -> None:
    key = record.claim.key
    record.changed_at = ledger.clock
    ledger.records.pop(key, None)
    ledger.records[key] = record


def _store_answer(key: KeyId, answer: RecordedAnswer, ledger: Ledger) -> None:
    ledger.answer_sizes[key] = len(answer.body)
    ledger.answer_bytes += len(answer.body)
    while ledger.answer_bytes > MAX_TOTAL_ANSWER_BYTES:
        oldest = next(iter(ledger.answer_sizes))
        ledger.answer_bytes -= ledger.answer_sizes.pop(oldest)
        record = ledger.records[oldest]
        if record.answer is not None:
            record.answer = evolve(record.answer, body=b"", is_whole=False)


def register_incarnation(
    endpoint: EndpointName, registration: Registration, ledger: Ledger
) -> Registration:
    """Register an incarnation of an agent if it is newer; return the current one.

    Open claims of the previous incarnation get an unknown outcome.
    """
    current = ledger.registrations.get(endpoint)
    if current is not None and registration.ordinal <= current.ordinal:
        return current
    ledger.registrations[endpoint] = registration
    unsettled = [
        record
        for record in ledger.records.values()
        if record.status is ClaimStatus.CLAIMED
        and record.claim.endpoint == endpoint
        and record.claim.incarnation != registration.incarnation
    ]
    for record in unsettled:
        record.status = ClaimStatus.UNKNOWN
        _store_record(record, ledger)
    return registration
