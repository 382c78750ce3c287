"""Tests of the generated pages and of the log catalogue."""

from __future__ import annotations

import json
import logging
import re
from pathlib import Path

from gentianworks import pages
from gentianworks.telemetry.log import (
    CATALOGUE,
    JsonFormatter,
    TextFormatter,
    get_level,
)

ROOT = Path(__file__).parents[2]
FAULT = ValueError("a fault")
REMEDY = "run `python -m gentianworks.pages docs` and commit docs/"


class TestPages:
    def test_match_the_code(self) -> None:
        docs = ROOT / "docs"
        events = (docs / pages.EVENTS_PAGE).read_text()
        settings = (docs / pages.SETTINGS_PAGE).read_text()
        assert events == pages.build_events_page(), REMEDY
        assert settings == pages.build_settings_page(), REMEDY


class TestCatalogue:
    def test_contains_exactly_the_events_that_the_code_logs(self) -> None:
        files = (ROOT / "gentianworks").rglob("*.py")
        used = {
            code
            for file in files
            if "tests" not in file.parts
            for code in re.findall(r'"(GW\d{4})"', file.read_text())
        }
        assert used == set(CATALOGUE)

    def test_json_contains_event_level_and_details(self) -> None:
        record = logging.LogRecord(
            "gentianworks", get_level("GW6003"), "", 0, "GW6003", (), None
        )
        record.details = (("address", "10.0.0.9"),)
        document = json.loads(JsonFormatter().format(record))
        assert document["event"] == "GW6003"
        assert document["level"] == "WARNING"
        assert document["address"] == "10.0.0.9"

    def test_exception_is_written_with_its_traceback(self) -> None:
        fault = (ValueError, FAULT, None)
        record = logging.LogRecord(
            "gentianworks", logging.ERROR, "", 0, "GW1007", (), fault
        )
        document = json.loads(JsonFormatter().format(record))
        assert document["traceback"] == "ValueError: a fault"
        assert TextFormatter().format(record).endswith("\nValueError: a fault")
