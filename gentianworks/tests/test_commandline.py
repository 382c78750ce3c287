"""Tests of commands that run without a fleet."""

from __future__ import annotations

import json
import stat
from pathlib import Path
from typing import Any

import httpcore
import pytest
from typer.testing import CliRunner

from gentianworks.cli import app
from gentianworks.settings import OperatorSettings
from gentianworks.tokens import OperatorRegistry

CLOSED_ADDRESS = "127.0.0.1:1"
EXAMPLES = Path(__file__).parents[2] / "examples"


def run(*arguments: str) -> tuple[int, str]:
    result = CliRunner().invoke(app, list(arguments))
    return result.exit_code, result.output


class TestCheck:
    def test_exit_code_and_message_report_validity(self, tmp_path: Path) -> None:
        valid = EXAMPLES / "ledgerleaf" / "declarations"
        assert run("check", str(valid))[0] == 0
        (tmp_path / "a.ini").write_text("[rank a]\n")
        code, output = run("check", str(tmp_path))
        assert code == 2
        assert "a.ini:1: [rank a] priority: is missing; set it." in output


class TestToken:
    def test_token_file_is_private_and_matches_its_digest(self, tmp_path: Path) -> None:
        file = tmp_path / "token"
        code, output = run("token", "olwen", "--file", str(file))
        assert code == 0
        assert stat.S_IMODE(file.stat().st_mode) == 0o600
        secret = file.read_text().strip()
        assert secret not in output
        digest = output.split("digest = ")[1].strip()
        registry = OperatorRegistry((OperatorSettings("olwen", digest),))
        assert registry.find_operator(secret) == "olwen"
        assert registry.find_operator(f"{secret}x") is None
        assert run("token", "olwen", "--file", str(file))[0] == 2


class TestUnreachable:
    def test_error_names_the_hosts_that_did_not_respond(self, tmp_path: Path) -> None:
        token = tmp_path / "token"
        token.write_text("secret")
        token.chmod(0o600)
        options = ("--control", CLOSED_ADDRESS, "--token-file", str(token))
        code, output = run("status", *options)
        assert code == 3
        assert CLOSED_ADDRESS in output
        assert "specify others with --control" in output

    def test_rejects_a_token_file_that_other_users_can_read(
        self, tmp_path: Path
    ) -> None:
        token = tmp_path / "token"
        token.write_text("secret")
        token.chmod(0o644)
        options = ("--control", CLOSED_ADDRESS, "--token-file", str(token))
        code, output = run("status", *options)
        assert code == 2
        assert "chmod 600" in output


class TestEvacuate:
    def test_orders_go_to_the_next_host_if_one_can_not_commit(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        token = tmp_path / "token"
        token.write_text("secret")
        token.chmod(0o600)
        sent = []

        def request(method: str, url: str, **options: Any) -> httpcore.Response:
            order = json.loads(options["content"])
            sent.append((method, url, order["zone"], order["is_evacuated"]))
            report = {**order, "revision": 7}
            status = 503 if len(sent) == 1 else 200
            response = httpcore.Response(status, content=json.dumps(report).encode())
            response.read()
            return response

        monkeypatch.setattr(httpcore, "request", request)
        options = ("--control", "c1:1,c2:1", "--token-file", str(token))
        code, output = run("evacuate", "a b", *options)
        assert (code, "revision 7" in output) == (0, True)
        code, output = run("evacuate", "a b", "--withdraw", "--json", *options)
        assert json.loads(output)["is_evacuated"] is False
        assert sent == [
            ("POST", "http://c1:1/evacuations", "a b", True),
            ("POST", "http://c2:1/evacuations", "a b", True),
            ("POST", "http://c1:1/evacuations", "a b", False),
        ]
