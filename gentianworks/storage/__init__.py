"""Persistent files of a control host: the journal, the snapshot and their store."""

from __future__ import annotations
