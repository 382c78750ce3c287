"""Files: durable writes, which are on disk when they return."""

from __future__ import annotations

import os
from pathlib import Path


def replace_file(path: Path, data: bytes) -> None:
    """Replace a file atomically: a crash leaves either the old or the new one."""
    temporary = path.with_name(f"{path.name}.new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    sync_folder(path.parent)


def sync_folder(folder: Path) -> None:
    """Sync a folder's directory entries to disk."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
