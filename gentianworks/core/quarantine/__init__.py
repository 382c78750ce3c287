"""Quarantine: requests that crash their engines."""

from __future__ import annotations
