"""Listener: opens the socket for clients before the other modules are loaded."""

from __future__ import annotations

import os
import socket
from pathlib import Path

from gentianworks.platform.settings import (
    SETTINGS_VARIABLE,
    PlatformSettingsError,
    read_settings,
)

BACKLOG_CONNECTIONS = 1024  # far more than the calls to one router during a start


def open_client_listener() -> socket.socket | None:
    """Return a socket that listens for clients, or None if the role serves none.

    Errors in the settings are ignored here, because the runner reads them again and
    logs the error.
    """
    try:
        settings = read_settings(Path(os.environ.get(SETTINGS_VARIABLE, "")))
    except PlatformSettingsError:
        return None
    if not settings.client_address:
        return None
    return open_listener(settings.client_address)


def open_listener(address: str) -> socket.socket | None:
    """Return a socket that listens at IP:PORT, or None if it can't be bound."""
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, int(port)))
        listener.listen(BACKLOG_CONNECTIONS)
    except OSError:
        listener.close()
        return None
    listener.setblocking(False)
    return listener
