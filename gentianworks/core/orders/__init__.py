"""Orders: operators' orders to engines, each under a fencing number."""

from __future__ import annotations
