"""Orders: orders to engines under fencing numbers."""

from __future__ import annotations
