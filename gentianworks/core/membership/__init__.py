"""Membership: the nodes of the fleet, tracked by their heartbeats."""

from __future__ import annotations
