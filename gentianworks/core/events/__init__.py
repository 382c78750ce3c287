"""Events: the inputs of the reducer, one module per subject."""

from __future__ import annotations
