"""Tests of reading the settings of one process and its secrets."""

from __future__ import annotations

from pathlib import Path

import pytest

from gentianworks.secret_files import read_secret
from gentianworks.settings import describe_settings, read_settings

NODE = """[node]
name = router-1
region = eu-west
availability_zone = a
http_address = 127.0.0.1:7100
peer_address = tcp://127.0.0.1:7200
key_file = key
"""


def read_errors(folder: Path, text: str) -> str:
    (folder / "settings.ini").write_text(text)
    settings = read_settings(folder)
    return "" if settings.is_ok() else str(settings.error)


class TestReadSettings:
    def test_accepts_the_examples(self) -> None:
        examples = Path(__file__).parents[2] / "examples"
        folders = list(examples.glob("*/settings/*"))
        assert len(folders) == 30
        assert all(read_settings(folder).is_ok() for folder in folders)

    @pytest.mark.parametrize(
        ("text", "expected"),
        [
            (
                f"{NODE}colour = red\n",
                "settings.ini:8: [node] colour: is not a known key",
            ),
            ("[log]\nformat = text\n", "[node] is missing; add it."),
            ("[node]\nname = a\n", "[node] key_file: is missing; set it."),
            (f"{NODE}[log]\nformat = xml\n", "got 'xml'; use one of text, json"),
            (f"{NODE}[disk]\n", "settings.ini:8: [disk] is not a known section"),
        ],
    )
    def test_error_gives_location_and_remedy(
        self, tmp_path: Path, text: str, expected: str
    ) -> None:
        assert expected in read_errors(tmp_path, text)

    def test_printed_defaults_are_valid_settings(self, tmp_path: Path) -> None:
        (tmp_path / "settings.ini").write_text(describe_settings())
        assert read_settings(tmp_path).is_ok()


class TestReadSecret:
    def test_rejects_a_file_that_other_users_can_read(self, tmp_path: Path) -> None:
        file = tmp_path / "key"
        file.write_text("secret\n")
        file.chmod(0o604)
        assert "chmod 600" in str(read_secret(file).error)
        file.chmod(0o640)
        assert read_secret(file).ok == b"secret"
