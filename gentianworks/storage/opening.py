"""Opening: the log of a control host at the start of its process."""

from __future__ import annotations

import logging
import secrets

from gentianworks.core.events.replication import JournalLoaded
from gentianworks.process import Process
from gentianworks.storage.errors import EXIT_STORAGE
from gentianworks.storage.store import StoredLog, open_store

SEED_BITS = 48

logger = logging.getLogger("gentianworks")


def open_log(folder: str) -> StoredLog:
    """Return the store of a control host's folder, or end the process."""
    opened = open_store(folder)
    if opened.is_error():
        details = (("error", str(opened.error)),)
        logger.critical("GW2012", extra={"details": details})
        raise SystemExit(EXIT_STORAGE)
    return opened.ok


def load_journal(stored: StoredLog, process: Process, process_age: float = 0.0) -> None:
    """Give a process that began `process_age` seconds ago the log of its folder."""
    process.add_adapter(stored.store)
    seed = secrets.randbits(SEED_BITS)
    process.handle(JournalLoaded(stored.contents, seed, process_age))
