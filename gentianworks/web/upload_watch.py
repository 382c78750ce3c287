"""Upload watch: whether httpcore has sent the whole body of a request.

The platform's processes do without httpcore, which takes some megabytes.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import httpcore
from attrs import define

from gentianworks.web.uploads import count_untaken_bytes, ends_with_connection


@define
class UploadWatch:
    """Watch over the request of an httpcore response; `trace` is its extension.

    httpcore reads on after an error of writing, since a server may refuse a long body
    early. It doesn't tell a response that was cut by the same error from a whole one.
    """

    is_cut: bool = False
    _stream: Any = None

    async def trace(self, name: str, info: Mapping[str, Any]) -> None:
        """Record what httpcore reports of the request and the end of its response."""
        if name.startswith("http11.send_request_") and name.endswith(".failed"):
            self.is_cut = True
        elif name == "http11.receive_response_body.complete" and self._stream:
            sock = self._stream.get_extra_info("socket")
            self.is_cut |= count_untaken_bytes(sock) > 0

    def follow(self, response: httpcore.Response) -> None:
        """Begin to watch the connection of a response whose head has been read."""
        self._stream = response.extensions.get("network_stream")

    def check(self, method: str, response: httpcore.Response) -> None:
        """Raise RemoteProtocolError if a response may be a part, after it was read."""
        is_open_ended = ends_with_connection(method, response.status, response.headers)
        if self.is_cut and is_open_ended:
            raise httpcore.RemoteProtocolError(
                "the connection ended before the request was read, "
                "and the response has no length"
            )
