"""Archive: a file of operators' own that keeps the whole audit trail."""

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
    """Say why an archive can't be read or continued."""

    detail: str

    def __str__(self) -> str:
        """Return the message for an operator."""
        return self.detail


def read_archive(file: Path) -> Result[list[AuditEntry], ArchiveError]:
    """Return the entries of an archive, none where it does not exist yet."""
    if not file.exists():
        return Ok([])
    try:
        documents = [json.loads(line) for line in file.read_text().splitlines()]
        entries = cattrs.structure(documents, list[AuditEntry])
    except Exception as error:
        detail = f"{file}: can't be read ({error!r}); cut the last line if it is torn."
        return Error(ArchiveError(detail))
    broken = find_broken_link(entries)
    if broken is not None:
        detail = f"{file}: entry {broken.index} breaks the chain: tampered with."
        return Error(ArchiveError(detail))
    return Ok(entries)


def extend_archive(
    file: Path, kept: Sequence[AuditEntry], entries: Sequence[AuditEntry]
) -> Result[int, ArchiveError]:
    """Append the entries that follow on those kept, and return their number."""
    head = kept[-1].digest if kept else INITIAL_DIGEST
    if entries and entries[0].previous != head:
        detail = (
            f"{file}: entry {entries[0].index} does not follow on the archive; "
            f"entries between them were dropped or the archive is another fleet's: "
            f"begin a new file."
        )
        return Error(ArchiveError(detail))
    with file.open("a") as stream:
        for entry in entries:
            stream.write(json.dumps(cattrs.unstructure(entry)) + "\n")
        stream.flush()
        os.fsync(stream.fileno())
    return Ok(len(entries))
