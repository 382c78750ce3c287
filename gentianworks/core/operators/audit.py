"""Audit: the chained trail of what operators changed and were refused."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from enum import Enum

from attrs import define, evolve, field, frozen

MAX_AUDIT_ENTRIES = 10_000
MAX_DETAIL_LINES = 100
DIGEST_BYTES = 16
INITIAL_DIGEST = "0" * 2 * DIGEST_BYTES


class AuditAction(Enum):
    """Name what an operator did."""

    CHANGED = "changed"
    REFUSED = "refused"
    RELEASED = "released"
    ORDERED = "ordered"
    MEMBERS = "members"


@frozen
class AuditEntry:
    """Record one act of an operator.

    `at` is in seconds since the epoch; `digest` covers all other fields, and
    `previous` is the digest of the entry before.
    """

    index: int
    at: float
    operator: str
    action: AuditAction
    change: str
    from_revision: int
    to_revision: int
    detail: tuple[str, ...] = ()
    previous: str = INITIAL_DIGEST
    digest: str = ""


@define
class AuditTrail:
    """Hold the latest entries and the digest that the next one continues."""

    entries: list[AuditEntry] = field(factory=list)
    next_index: int = 1
    head: str = INITIAL_DIGEST

    def record(self, entry: AuditEntry) -> AuditEntry:
        """Add an entry as the next of the chain and return it as it stands there."""
        linked = evolve(
            entry,
            index=self.next_index,
            previous=self.head,
            detail=_shorten(entry.detail),
        )
        linked = evolve(linked, digest=compute_digest(linked))
        self.entries.append(linked)
        self.next_index += 1
        self.head = linked.digest
        del self.entries[:-MAX_AUDIT_ENTRIES]
        return linked

    def list_after(self, index: int, limit: int) -> tuple[AuditEntry, ...]:
        """Return up to `limit` entries whose index is above `index`."""
        first = self.next_index - len(self.entries)
        start = max(0, index + 1 - first)
        return tuple(self.entries[start : start + limit])


def compute_digest(entry: AuditEntry) -> str:
    """Return the digest of all fields of an entry but its own digest."""
    parts = [
        str(entry.index),
        repr(float(entry.at)),
        entry.operator,
        entry.action.value,
        entry.change,
        str(entry.from_revision),
        str(entry.to_revision),
        *entry.detail,
        entry.previous,
    ]
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        data = part.encode()
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    return digest.hexdigest()


def find_broken_link(entries: Iterable[AuditEntry]) -> AuditEntry | None:
    """Return the first entry that does not continue the chain, or None."""
    before: AuditEntry | None = None
    for entry in entries:
        if entry.digest != compute_digest(entry):
            return entry
        if before is not None and not _continues(before, entry):
            return entry
        before = entry
    return None


def _continues(before: AuditEntry, entry: AuditEntry) -> bool:
    return entry.index == before.index + 1 and entry.previous == before.digest


def _shorten(lines: tuple[str, ...]) -> tuple[str, ...]:
    if len(lines) <= MAX_DETAIL_LINES:
        return lines
    rest = len(lines) - MAX_DETAIL_LINES
    return (*lines[:MAX_DETAIL_LINES], f"... and {rest} lines more")
