"""Operators: what operators ask, and the audit trail."""

from __future__ import annotations
