"""Client: a caller that checks each answer byte for byte."""

from __future__ import annotations

import json
from typing import Any

import httpcore
from attrs import frozen

from standins.engine import encode_event

Headers = list[tuple[bytes, bytes]]


@frozen
class ChatTurn:
    """One turn of a chat; `endpoint` is the one that served the previous turn."""

    service: str
    workspace: str
    rank: str
    chat_id: str
    messages: tuple[dict[str, str], ...]
    max_tokens: int = 8
    endpoint: str = ""
    timeout: float = 0.0  # seconds; 0 sends no timeout

    def encode_headers(self) -> Headers:
        """Return the request headers of the turn."""
        return [
            (b"gw-workspace", self.workspace.encode()),
            (b"gw-rank", self.rank.encode()),
            (b"gw-chat", self.chat_id.encode()),
            (b"content-type", b"application/json"),
            *([(b"gw-endpoint", self.endpoint.encode())] if self.endpoint else []),
            *([(b"gw-timeout", b"%g" % self.timeout)] if self.timeout else []),
        ]

    def encode_body(self) -> bytes:
        """Return the request body of the turn."""
        document = {
            "model": self.service,
            "stream": True,
            "max_tokens": self.max_tokens,
            "messages": list(self.messages),
        }
        return json.dumps(document).encode()

    def encode_expected_events(self) -> bytes:
        """Return the events that a complete answer begins with."""
        messages: list[Any] = list(self.messages)
        return b"".join(encode_event(messages, n) for n in range(self.max_tokens))


@frozen
class Answer:
    """Answer to a turn.

    `is_complete` is true if the body holds every event of this turn and no others.
    """

    status: int
    headers: Headers
    body: bytes
    is_complete: bool
    cached_tokens: int = 0
    prompt_tokens: int = 0


async def send_chat(
    pool: httpcore.AsyncConnectionPool, address: str, chat: ChatTurn
) -> Answer:
    """Send a turn and check its answer; the status is 0 if the connection failed."""
    try:
        response = await pool.request(
            "POST",
            f"http://{address}/v1/chat/completions",
            headers=chat.encode_headers(),
            content=chat.encode_body(),
        )
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
        return Answer(0, [], b"", False)
    return check_answer(chat, response)


def check_answer(chat: ChatTurn, response: httpcore.Response) -> Answer:
    """Return the answer in a response, checked for completeness."""
    body = response.content
    events = chat.encode_expected_events()
    is_complete = (
        response.status == 200
        and body.startswith(events)
        and body.endswith(b"data: [DONE]\n\n")
        and body.count(b"\nid: ") + 1 == chat.max_tokens
    )
    usage = _read_usage(body[len(events) :]) if is_complete else {}
    details = usage.get("prompt_tokens_details", {})
    return Answer(
        status=response.status,
        headers=response.headers,
        body=body,
        is_complete=is_complete,
        cached_tokens=details.get("cached_tokens", 0),
        prompt_tokens=usage.get("prompt_tokens", 0),
    )


def _read_usage(tail: bytes) -> dict[str, Any]:
    text = tail.removeprefix(b"data: ").partition(b"\n\n")[0]
    usage: dict[str, Any] = json.loads(text).get("usage", {})
    return usage
