"""Cache: cached prompts and their moves."""

from __future__ import annotations
