"""Archive: reads and extends an operator's file with the complete audit trail."""

from __future__ import annotations

import json
import os
from collections.abc import Sequence
from pathlib import Path

import cattrs
from attrs import frozen
from expression import Error, Ok, Result

from gentianworks.core.operators.audit import (
    INITIAL_DIGEST,
    AuditEntry,
    find_broken_link,
)


@frozen
class ArchiveError:
    """Reason why an archive can't be read or extended."""

    detail: str

    def __str__(self) -> str:
        """Return the message for an operator."""
        return self.detail


def read_archive(file: Path) -> Result[list[AuditEntry], ArchiveError]:
    """Return the entries of an archive, or none if the file doesn't exist."""
    if not file.exists():
        return Ok([])
    try:
        documents = [json.loads(line) for line in file.read_text().splitlines()]
        entries = cattrs.structure(documents, list[AuditEntry])
    except Exception as error:
        detail = f"{file}: can't be read ({error!r}); remove an incomplete last line."
        return Error(ArchiveError(detail))
    broken = find_broken_link(entries)
    if broken is not None:
        detail = f"{file}: entry {broken.index} breaks the chain; the file was altered."
        return Error(ArchiveError(detail))
    return Ok(entries)


def extend_archive(
    file: Path, archived: Sequence[AuditEntry], entries: Sequence[AuditEntry]
) -> Result[int, ArchiveError]:
    """Append entries that continue the archived ones, and return their number."""
    head = archived[-1].digest if archived else INITIAL_DIGEST
    if entries and entries[0].previous != head:
        detail = (
            f"{file}: entry {entries[0].index} does not follow the archive; entries "
            f"in between were dropped or the archive belongs to another fleet: start "
            f"a new file."
        )
        return Error(ArchiveError(detail))
    with file.open("a") as stream:
        for entry in entries:
            stream.write(json.dumps(cattrs.unstructure(entry)) + "\n")
        stream.flush()
        os.fsync(stream.fileno())
    return Ok(len(entries))
