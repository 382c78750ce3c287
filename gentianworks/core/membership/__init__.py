"""Membership: which nodes there are, by their heartbeats."""

from __future__ import annotations
