"""Load: the load of each endpoint, its sums over a service, and the load bound."""

from __future__ import annotations
