"""Tests of decoding the platform's list of hosts."""

from __future__ import annotations

import pytest

from gentianworks.core.events.membership import PlatformHost
from gentianworks.web.platform import decode_hosts


class TestDecodeHosts:
    def test_returns_the_hosts_and_their_leaving_state(self) -> None:
        body = b"""{"hosts": [{"address": "10.0.0.1", "state": "leaving"},
            {"address": "10.0.0.2", "state": "live"}]}"""
        hosts = (PlatformHost("10.0.0.1", True), PlatformHost("10.0.0.2", False))
        assert decode_hosts(body).ok == hosts

    @pytest.mark.parametrize(
        "body", [b"", b"null", b"[]", b'{"hosts": [1]}', b"\xff", b"[" * 100_000]
    )
    def test_rejects_malformed_lists(self, body: bytes) -> None:
        assert decode_hosts(body).is_error()
