"""Errors: faults of a control host's data folder."""

from __future__ import annotations

from attrs import frozen

STORAGE_EXIT_STATUS = 3


class DiskFullError(Exception):
    """Raised when a disk has no space for a write."""


@frozen
class StorageError:
    """Fault of a file or setting that prevents the use of the data folder."""

    file: str
    detail: str  # the fault and its remedy

    def __str__(self) -> str:
        """Return the error message for the operator."""
        return f"{self.file}: {self.detail}"
