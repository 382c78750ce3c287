"""Agents: processes that run on the host of an endpoint and admit its work."""

from __future__ import annotations
