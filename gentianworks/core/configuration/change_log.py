"""Change log: stored answers for operators who resend a change."""

from __future__ import annotations

from attrs import define, field, frozen

from gentianworks.core.types import Problem

MAX_CHANGE_RECORDS = 4_200


@frozen
class ChangeRecord:
    """First answer to a change.

    `digest` identifies the contents; `revision` is the one in force afterwards.
    """

    operator: str
    change: str
    digest: str
    revision: int
    problem: Problem | None = None
    audit_digest: str = ""


@define
class ChangeLog:
    """Answers to the latest changes, by change id."""

    records: dict[str, ChangeRecord] = field(factory=dict)

    def get(self, change: str) -> ChangeRecord | None:
        """Return the first answer to a change, or None."""
        return self.records.get(change)

    def find_accepted(self, revision: int) -> ChangeRecord | None:
        """Return the change that produced a revision, or None if it was dropped."""
        for record in reversed(self.records.values()):
            if record.revision == revision and record.problem is None:
                return record
        return None

    def add(self, record: ChangeRecord) -> None:
        """Add an answer, and drop the oldest ones beyond the limit."""
        self.records[record.change] = record
        while len(self.records) > MAX_CHANGE_RECORDS:
            del self.records[next(iter(self.records))]
