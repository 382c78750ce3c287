"""Base: the base class of effects."""

from __future__ import annotations

from attrs import frozen


@frozen
class Effect:
    """Base class of every output of the reducer, which the outer layer performs."""
