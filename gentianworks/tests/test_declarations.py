"""Tests of reading and validating a folder of declarations."""

from __future__ import annotations

from pathlib import Path

import pytest

from gentianworks.declarations import read_declarations

VALID = """[rank urgent]
priority = 0
guaranteed_share = 0.5
queue_timeout = 10
[workspace parish]
[service chat]
kind = model
[endpoint chat-1]
service = chat
availability_zone = a
http_address = 10.0.0.1:7100
peer_address = tcp://10.0.0.1:7200
"""


def read_errors(folder: Path, more: str) -> str:
    (folder / "10-valid.ini").write_text(VALID)
    (folder / "20-more.ini").write_text(more)
    declared = read_declarations(folder)
    return "" if declared.is_ok() else str(declared.error)


class TestReadDeclarations:
    @pytest.mark.parametrize("example", ["ledgerleaf", "cymdeithas"])
    def test_accepts_the_examples(self, example: str) -> None:
        examples = Path(__file__).parents[2] / "examples"
        assert read_declarations(examples / example / "declarations").is_ok()

    @pytest.mark.parametrize(
        ("more", "expected"),
        [
            (
                "[rank urgent]\nspeed = 3\n",
                "20-more.ini:2: [rank urgent] speed: is not a",
            ),
            ("[rank urgent]\npriority = soon\n", "got 'soon'; give a whole number"),
            ("[endpoint chat-1]\nservice = chta\n", "got 'chta', no service; use one"),
            ("[service idle]\nkind = plain\n", "20-more.ini:1: [service idle] has no"),
            ("[service chat]\nkind = magic\n", "give one of model, plain"),
            ("[service chat]\ndefault_rank = late\n", "got 'late', no rank"),
            (
                "[rank b]\npriority = 1\nqueue_timeout = 1\nguaranteed_share = 0.45\n",
                "guaranteed_share: brings the shares of all ranks to 0.95; keep their",
            ),
            ("[workspace parish]\nweight = 0\n", "got 0; give at least 0.001"),
            ("[team parish]\n", "[team parish] is not a known section"),
            ("[endpoint chat-1]\nhttp_address = host:1\n", "'host:1'; give IP:PORT"),
        ],
    )
    def test_error_gives_file_line_and_remedy(
        self, tmp_path: Path, more: str, expected: str
    ) -> None:
        assert expected in read_errors(tmp_path, more)

    def test_rejects_conflicting_declarations(self, tmp_path: Path) -> None:
        more = (
            VALID.replace("urgent", "second")
            .replace("0.5", "0.6")
            .replace("chat-1", "chat-2")
        )
        message = read_errors(tmp_path, more)
        assert "which two ranks have" in message
        assert "brings the shares of all ranks to 1.1" in message
        assert "got 10.0.0.1:7100, which chat-1 has" in message
        assert "got tcp://10.0.0.1:7200, which chat-1 has" in message
