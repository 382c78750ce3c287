"""Routing: a router's way from a request to an answer."""

from __future__ import annotations
