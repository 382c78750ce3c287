"""Documents: a table of routes as operators sent it, kept byte for byte."""

from __future__ import annotations

from attrs import frozen


@frozen
class RouteDocument:
    """Hold a table as compressed bytes in base 85, which an adapter can read."""

    revision: int = 0
    content: str = ""
