"""Cache: prompts that engines have cached, and their moves between endpoints."""

from __future__ import annotations
