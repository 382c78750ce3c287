"""Tests of the decoding of requests from callers."""

from __future__ import annotations

import json

import pytest
from expression import Result

from gentianworks.codecs.requests import RawRequest, decode_request
from gentianworks.core.types import Header, Problem, ProblemKind, Request
from gentianworks.limits import LimitSettings

SYSTEM = {"role": "system", "content": "be brief"}
QUESTION = {"role": "user", "content": "which pens are free?"}


def decode(
    body: object, *headers: Header, method: str = "POST", target: str = ""
) -> Result[Request, Problem]:
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    path = target or "/v1/chat/completions"
    return decode_request(RawRequest(method, path, headers, data), LimitSettings())


def build_chat(*messages: dict[str, str]) -> dict[str, object]:
    return {"model": "chat", "messages": list(messages)}


class TestChats:
    @pytest.mark.parametrize(
        "body",
        [
            b"{",
            b"\xff",
            b"[" * 100_000,
            [],
            {"model": "chat"},
            {"model": 1, "messages": [QUESTION]},
            {"model": "m" * 1000, "messages": [QUESTION]},
            {"model": "chat", "messages": []},
            {"model": "chat", "messages": ["text"]},
            {**build_chat(QUESTION), "max_tokens": -1},
            {**build_chat(QUESTION), "max_tokens": True},
            # No message between processes carries it.
            {**build_chat(QUESTION), "max_tokens": 10**30},
        ],
    )
    def test_refuses_a_malformed_body(self, body: object) -> None:
        assert decode(body).error.kind is ProblemKind.BAD_REQUEST

    def test_computes_the_same_prefix_for_each_turn_of_a_chat(self) -> None:
        answer = {"role": "assistant", "content": "two"}
        first = decode(build_chat(SYSTEM, QUESTION)).ok
        later = decode(build_chat(SYSTEM, QUESTION, answer, QUESTION)).ok
        assert first.prompt_prefix == later.prompt_prefix
        assert first.shared_prompt == later.shared_prompt != ""


class TestHeaders:
    @pytest.mark.parametrize(
        "headers",
        [
            (Header("gw-chat", "a"), Header("gw-chat", "b")),
            (Header("idempotency-key", "a"), Header("idempotency-key", "a")),
            (Header("gw-chat", "c" * 1000),),
            (Header("gw-timeout", "soon"),),
            (Header("gw-timeout", "nan"),),
            (Header("gw-timeout", "-1"),),
            (Header("gw-repeat", "maybe"),),
        ],
    )
    def test_refuses_invalid_ones(self, headers: tuple[Header, ...]) -> None:
        problem = decode(build_chat(QUESTION), *headers).error
        assert problem.kind is ProblemKind.BAD_REQUEST

    def test_removes_internal_and_hop_by_hop_ones(self) -> None:
        names = ("gw-forged", "x-priority", "connection", "x-hop", "te", "x-kept")
        headers = [Header(name, "x-hop") for name in names]
        request = decode(build_chat(QUESTION), *headers).ok
        assert [item.name for item in request.headers] == ["x-kept"]

    def test_marks_requests_with_a_key_as_not_repeatable(self) -> None:
        key = Header("idempotency-key", "k1")
        request = decode(b"", key, method="PUT", target="/services/booking/x").ok
        assert not request.is_repeatable


class TestPlainCalls:
    def test_forward_method_path_query_and_bytes(self) -> None:
        request = decode(b"\x00\xff", method="PATCH", target="/services/b/x/y?z=1").ok
        assert (request.service, request.path) == ("b", "/x/y?z=1")
        assert (request.method, request.body) == ("PATCH", b"\x00\xff")
        assert not request.is_repeatable

    def test_keep_the_query_of_a_service_without_a_path(self) -> None:
        assert decode(b"", target="/services/b?z=1").ok.path == "/?z=1"

    def test_refuses_a_path_that_is_not_served(self) -> None:
        assert decode(b"", target="/v2").error.kind is ProblemKind.NO_SUCH_SERVICE
