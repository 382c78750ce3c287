"""Commands: changes of the replicated state, by subject."""

from __future__ import annotations
