"""Startup: opens the store of a control host and loads its log."""

from __future__ import annotations

import logging
import secrets

from gentianworks.core.events.replication import JournalLoaded
from gentianworks.process import Process
from gentianworks.storage.errors import STORAGE_EXIT_STATUS
from gentianworks.storage.store import (
    HOST_ID_BYTES,
    OpenedStore,
    Store,
    open_store,
)
from gentianworks.storage.volatile import VolatileJournal

SEED_BITS = 48

logger = logging.getLogger("gentianworks")


def open_store_or_exit(folder: str) -> OpenedStore:
    """Return the store of a control host's data folder, or exit with an error."""
    opened = open_store(folder)
    if opened.is_error():
        details = (("error", str(opened.error)),)
        logger.critical("GW2012", extra={"details": details})
        raise SystemExit(STORAGE_EXIT_STATUS)
    return opened.ok


def open_volatile_store() -> OpenedStore:
    """Return the store of a control host without a disk."""
    journal = VolatileJournal()
    contents = journal.load(secrets.token_hex(HOST_ID_BYTES)).ok
    return OpenedStore(Store(journal), contents)


def start_store(
    stored: OpenedStore, process: Process, process_age: float = 0.0
) -> None:
    """Register the store with its process and report the contents of the journal.

    `process_age` is the time in seconds since the process started.
    """
    process.add_adapter(stored.store)
    seed = secrets.randbits(SEED_BITS)
    process.handle(JournalLoaded(stored.contents, seed, process_age))
