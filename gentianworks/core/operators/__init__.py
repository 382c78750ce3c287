"""Operators: operators' requests and the audit trail."""

from __future__ import annotations
