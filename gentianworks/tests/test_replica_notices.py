"""Tests of the decoding of what replicas announce about themselves."""

from __future__ import annotations

import pytest

from gentianworks.core.gateway.notices import ReplicaNotices
from gentianworks.core.types import Header
from gentianworks.platform.notices import decode_notices
from gentianworks.platform.replicas import decode_answer


def decode(*values: str) -> ReplicaNotices:
    """Decode a response with a limit in each of some headers."""
    return decode_notices(tuple(Header("server-limit", value) for value in values))


class TestRequestLimit:
    @pytest.mark.parametrize(
        ("value", "limit"),
        [
            ("1.4", 1.4),
            ("12", 12.0),
            (" 0.25 ", 0.25),
            ("0", 0.0),
            ("999999999", 999999999.0),
        ],
    )
    def test_a_decimal_number_is_a_limit(self, value: str, limit: float) -> None:
        assert decode(value) == ReplicaNotices(limit)

    @pytest.mark.parametrize(
        "value",
        ["", "-1", "+1", "nan", "inf", "1e3", "1.", ".5", "1_0", "0x1", "٣", "9" * 400],
    )
    def test_any_other_value_is_a_defect(self, value: str) -> None:
        notices = decode(value)
        assert notices.request_limit is None
        assert "not a decimal number" in notices.defect
        assert len(notices.defect) < 100

    @pytest.mark.parametrize("values", [("3", "2"), ("2, 3",), ("2", "2"), ("2", "x")])
    def test_the_lowest_of_several_counts(self, values: tuple[str, ...]) -> None:
        assert decode(*values).request_limit == 2.0

    def test_a_response_without_one_names_no_limit(self) -> None:
        assert decode_notices((Header("server", "9"),)) == ReplicaNotices()

    def test_failures_and_refusals_name_it_too(self) -> None:
        headers = (Header("server-limit", "1.5"), Header("not-executed", "1"))
        for status in (200, 429, 500, 503):
            head = decode_answer(status, headers, {x.name: x.value for x in headers})
            assert head.notices.request_limit == 1.5
