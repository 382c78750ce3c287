"""Quarantine: protection of engines from requests that crash them."""

from __future__ import annotations
