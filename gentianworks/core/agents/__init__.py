"""Agents: what stands beside an endpoint and admits its work."""

from __future__ import annotations
