"""Routers for chats with session affinity and for calls to plain services."""

from __future__ import annotations

__version__ = "0.1.0"
