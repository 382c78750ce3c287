"""Stand-ins for external systems, used by tests, benchmarks and the demo."""

from __future__ import annotations
