"""Properties of calls that a router forwards: what it accepts can be sent on.

Requests are written as bytes and read as the router's server reads them. A head that
couldn't be encoded for the replica once ended the router.
"""

from __future__ import annotations

import h11
from attrs import define
from hypothesis import example, given, settings
from hypothesis import strategies as st

from gentianworks.core.effects.gateway import CallReplica
from gentianworks.core.gateway.replicas import Replica
from gentianworks.core.types import Header
from gentianworks.platform.calls import decode_call
from gentianworks.platform.replicas import encode_head

REPLICA = Replica("i-1", "books", "127.0.0.1:80", "a", 4)
SYSTEM_VALUES = {b"expect-instance": b"i-1", b"tenant-id": b"parish"}
NAMES = st.sampled_from(
    [
        "authorization",
        "connection",
        "content-length",
        "cookie",
        "expect",
        "expect-instance",
        "host",
        "hold",
        "keep-alive",
        "kv-from",
        "last-event-id",
        "model",
        "pin-ms",
        "prompt-prefix",
        "request-deadline",
        "request-id",
        "request-priority",
        "te",
        "tenant-id",
        "token-counts",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-odd",
    ]
)
OPTIONS = st.lists(NAMES, max_size=4).map(", ".join)
TEXTS = st.text(st.characters(max_codepoint=255), max_size=12)
VALUES = st.one_of(OPTIONS, TEXTS, st.sampled_from(["", " ", "5", "chunked", "a:80"]))


@define
class RawRequest:
    """Parts of a request as a caller writes them."""

    method: str
    target: str
    version: str
    headers: list[tuple[str, str]]

    def write(self) -> bytes:
        """Return the bytes of the head."""
        lines = [f"{self.method} {self.target} HTTP/{self.version}"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


REQUESTS = st.builds(
    RawRequest,
    st.sampled_from(["GET", "POST", "HEAD", "OPTIONS", "CONNECT", "DELETE", "x-odd!"]),
    st.one_of(st.just("/pay/1"), TEXTS.map(lambda text: f"/{text}")),
    st.sampled_from(["1.0", "1.1"]),
    st.lists(st.tuples(NAMES, VALUES), max_size=6).flatmap(
        lambda items: st.sampled_from([items, [("host", "a.example"), *items]])
    ),
)


def read_request(data: bytes) -> h11.Request | None:
    """Return the head that a server reads, or None if it refuses the bytes."""
    server = h11.Connection(h11.SERVER)
    server.receive_data(data)
    try:
        event = server.next_event()
    except h11.RemoteProtocolError:
        return None
    return event if isinstance(event, h11.Request) else None


class TestForwardedHeads:
    @settings(max_examples=400, deadline=None)
    @given(REQUESTS)
    @example(RawRequest("GET", "/", "1.1", [("host", "a"), ("connection", "host")]))
    @example(RawRequest("GET", "/", "1.0", []))
    def test_a_head_that_is_accepted_is_sent_on(self, raw: RawRequest) -> None:
        request = read_request(raw.write())
        if request is None:
            return
        headers = tuple(
            Header(name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in request.headers
        )
        method, target = request.method.decode(), request.target.decode()
        call = decode_call(method, target, headers, b"")
        effect = CallReplica("x", "a", REPLICA, call, 1.0, workspace="parish")
        sent = h11.Connection(h11.CLIENT).send(encode_head(effect).encoded)
        assert sent is not None
        received = read_request(sent)
        assert received is not None
        assert (received.method, received.target) == (request.method, request.target)
        values = dict(received.headers)
        for name, expected in SYSTEM_VALUES.items():
            assert [v for n, v in received.headers if n == name] == [expected]
        for name in (b"request-id", b"model", b"token-counts", b"prompt-prefix"):
            got = [v for n, v in received.headers if n == name]
            assert got == [v for n, v in request.headers if n == name]
        assert values[b"host"] == dict(request.headers).get(b"host", b"")
