"""Routing: placement, dispatch, retry and relay of requests at a router."""

from __future__ import annotations
