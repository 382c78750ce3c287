"""Notices: decodes what a replica announces about itself in its responses."""

from __future__ import annotations

import re

from gentianworks.core.gateway.notices import ReplicaNotices
from gentianworks.core.types import Header
from gentianworks.platform import header_names

MAX_SHOWN_CHARACTERS = 40

_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


def decode_notices(headers: tuple[Header, ...]) -> ReplicaNotices:
    """Return the announcements of a response; of several limits the lowest counts."""
    values = [
        value.strip()
        for item in headers
        if item.name == header_names.SERVER_LIMIT
        for value in item.value.split(",")
    ]
    if not values:
        return ReplicaNotices()
    limits = [float(item) for item in values if _DECIMAL.fullmatch(item)]
    defect = ""
    if len(limits) < len(values):
        shown = ", ".join(values)[:MAX_SHOWN_CHARACTERS]
        defect = f"{header_names.SERVER_LIMIT} is {shown!r}, not a decimal number"
    return ReplicaNotices(min(limits, default=None), defect)
