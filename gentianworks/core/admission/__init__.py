"""Admission: which work waits, in which order, and what is refused."""

from __future__ import annotations
