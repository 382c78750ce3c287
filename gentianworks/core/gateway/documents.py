"""Documents: route tables as operators sent them, byte for byte."""

from __future__ import annotations

from attrs import frozen


@frozen
class RouteDocument:
    """Route table as compressed bytes in base 85, which an adapter decodes."""

    revision: int = 0
    content: str = ""
