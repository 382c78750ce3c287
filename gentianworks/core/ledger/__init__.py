"""Ledger: work that is not to be repeated."""

from __future__ import annotations
