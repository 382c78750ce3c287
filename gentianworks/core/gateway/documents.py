"""Documents: route tables as operators sent them, byte for byte."""

from __future__ import annotations

from attrs import frozen


@frozen
class RouteDocument:
    """Route table as compressed bytes in base 85, which an adapter decodes.

    `revision` is the operators' number, from 0. A document without content stands for
    none, whatever its revision.
    """

    revision: int = 0
    content: str = ""

    def supersedes(self, stored: RouteDocument) -> bool:
        """Return whether this document takes effect in place of the stored one."""
        return not stored.content or self.revision > stored.revision
