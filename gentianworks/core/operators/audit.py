"""Audit: a hash chain of operators' changes, other actions and refusals."""

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
    """Kind of an operator's action."""

    CHANGED = "changed"
    REFUSED = "refused"
    RELEASED = "released"
    ORDERED = "ordered"
    MEMBERS = "members"
    EVACUATED = "evacuated"


@frozen
class AuditEntry:
    """Audit record of one action of an operator.

    `at` is in seconds since the epoch; `digest` covers all other fields, and
    `previous` is the digest of the preceding entry.
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
    """Latest entries of the chain; the next entry continues the digest `head`."""

    entries: list[AuditEntry] = field(factory=list)
    next_index: int = 1
    head: str = INITIAL_DIGEST

    def record(self, entry: AuditEntry) -> AuditEntry:
        """Append an entry to the chain and return it with its index and digests."""
        linked = evolve(
            entry,
            index=self.next_index,
            previous=self.head,
            detail=_truncate_detail(entry.detail),
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
    """Return the digest of all fields of an entry except its own digest."""
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
    """Return the first entry that breaks the chain, or None."""
    preceding: AuditEntry | None = None
    for entry in entries:
        if entry.digest != compute_digest(entry):
            return entry
        if preceding is not None and not _is_linked(preceding, entry):
            return entry
        preceding = entry
    return None


def _is_linked(preceding: AuditEntry, entry: AuditEntry) -> bool:
    return entry.index == preceding.index + 1 and entry.previous == preceding.digest


def _truncate_detail(lines: tuple[str, ...]) -> tuple[str, ...]:
    if len(lines) <= MAX_DETAIL_LINES:
        return lines
    omitted = len(lines) - MAX_DETAIL_LINES
    return (*lines[:MAX_DETAIL_LINES], f"... and {omitted} lines more")
