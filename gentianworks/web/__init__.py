"""HTTP servers and clients."""

from __future__ import annotations
