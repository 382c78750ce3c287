"""Load: what each endpoint holds, and the bound on it."""

from __future__ import annotations
