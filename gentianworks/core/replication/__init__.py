"""Replication: the log that the control hosts replicate with Raft."""

from __future__ import annotations
