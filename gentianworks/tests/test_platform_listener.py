"""Tests of the socket for clients, opened before the other modules are loaded."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from gentianworks.platform.listener import open_client_listener, open_listener
from gentianworks.platform.settings import SETTINGS_VARIABLE


def write_settings(path: Path, listen_table: str) -> None:
    """Write the settings of a host with the content of its `listen` table."""
    path.write_text(
        'node = "n"\nip = "127.0.0.1"\ninternalPorts = [7340, 7355]\n'
        f"[listen]\n{listen_table}\n"
    )


class TestOpenListener:
    def test_a_client_connects_before_the_server_accepts(self) -> None:
        listener = open_listener("127.0.0.1:0")
        assert listener is not None
        with listener, socket.create_connection(listener.getsockname(), 1.0) as client:
            client.sendall(b"GET / HTTP/1.1\r\n\r\n")

    def test_returns_none_for_an_address_in_use(self) -> None:
        first = open_listener("127.0.0.1:0")
        assert first is not None
        with first:
            host, port = first.getsockname()
            assert open_listener(f"{host}:{port}") is None


class TestOpenClientListener:
    def test_opens_the_address_of_the_settings(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        path = tmp_path / "node.toml"
        write_settings(path, 'front = "127.0.0.1:0"')
        monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
        opened = open_client_listener()
        assert opened is not None
        with opened:
            assert opened.getsockname()[0] == "127.0.0.1"

    def test_returns_none_without_settings_or_a_client_address(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        path = tmp_path / "node.toml"
        monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
        assert open_client_listener() is None
        write_settings(path, 'control = "127.0.0.1:0"')
        assert open_client_listener() is None
