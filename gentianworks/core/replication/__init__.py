"""Replication: the log that the control hosts agree on."""

from __future__ import annotations
