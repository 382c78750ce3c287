"""Documents: a table of routes as operators sent it, kept byte for byte."""

from __future__ import annotations

from attrs import frozen


@frozen
class RouteDocument:
    """Hold the compressed text of a table, which an adapter can read."""

    revision: int = 0
    content: bytes = b""
