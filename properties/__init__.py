"""Property tests, which drive the reducer through random events and faults."""

from __future__ import annotations
