"""Effects: the outputs of the reducer, as data, one module per subject."""

from __future__ import annotations
