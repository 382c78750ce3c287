"""Notices: what replicas announce about themselves in their responses."""

from __future__ import annotations

from attrs import frozen


@frozen
class ReplicaNotices:
    """What a replica announces about itself in the head of a response.

    `request_limit` is the number of requests a second that it accepts from all routers
    together, None if it names none. `defect` describes why an announcement can't be
    used, if there is one.
    """

    request_limit: float | None = None
    defect: str = ""
