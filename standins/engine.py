"""Engine: a stand-in for a model engine or a plain service (docs/engine-protocol.md).

The generated text depends only on the last message, so that a client can check each
answer byte for byte, and a resumed answer against an uninterrupted one.
"""

from __future__ import annotations

import json
import os
import time
from collections import Counter
from pathlib import Path
from typing import Annotated, Any

import anyio
import typer
import xxhash
from attrs import asdict, define, field, frozen

from gentianworks.web.server import Receive, Scope, Send, create_server, send_response
from standins.batch import Batch
from standins.cache import PrefixCache, count_tokens
from standins.kv_transfer import decode_kv, encode_kv

CHAT_PATH = "/v1/chat/completions"
CRASH_MARK = b"CRASH-ENGINE"
DEFAULT_TOKENS = 8
CHUNK_BYTES = 64 * 1024
REPORT_PATHS = ("/load", "/cache/events", "/cache/inventory", "/orders", "/runs")
CRASH_EXIT_CODE = 86  # distinguishes requested crashes from unexpected exits


@frozen
class EngineSettings:
    """Speed, size and features of a stand-in; times are in seconds."""

    slots: int = 8
    token_interval: float = 0.005
    prefill_rate: float = 50_000.0  # tokens per second
    cache_tokens: int = 100_000
    event_lag: float = 0.2
    event_loss: float = 0.05  # probability that a cache event is lost
    load_lag: float = 0.3
    kv_bytes_per_token: int = 64
    moves_cache: bool = True
    checks_fencing: bool = False
    runs_file: str = ""
    crash_delay: float = 0.0


def generate_token(messages: list[Any], number: int) -> str:
    """Return token `number` of the answer to a chat."""
    seed = xxhash.xxh3_64_hexdigest(json.dumps(messages[-1]).encode())
    return f"{seed[:8]}-{number} "


def generate_text(messages: list[Any], tokens: int) -> str:
    """Return the whole answer to a chat."""
    return "".join(generate_token(messages, number) for number in range(tokens))


def encode_event(messages: list[Any], number: int) -> bytes:
    """Return one token as a server-sent event."""
    delta = {"choices": [{"delta": {"content": generate_token(messages, number)}}]}
    return f"id: {number}\ndata: {json.dumps(delta)}\n\n".encode()


def read_header(scope: Scope, name: bytes, default: str = "") -> str:
    """Return the value of a header, or the default if it is absent."""
    return next(
        (value.decode() for key, value in scope["headers"] if key == name), default
    )


async def read_body(receive: Receive) -> bytes:
    """Return the complete body of a request.

    Raises EndOfStream if the client disconnects before its end.
    """
    body = b""
    while True:
        part = await receive()
        if part["type"] == "http.disconnect":
            raise anyio.EndOfStream
        body += part.get("body", b"")
        if not part.get("more_body", False):
            return body


@define
class Engine:
    """ASGI application for chats, plain calls, orders, cache transfers and reports."""

    settings: EngineSettings
    batch: Batch
    cache: PrefixCache
    cancel_scopes: dict[str, anyio.CancelScope] = field(factory=dict)
    orders: list[dict[str, Any]] = field(factory=list)
    highest_fencing_token: int = 0
    runs: Counter[str] = field(factory=Counter)
    last_request_number: int = 0
    load_report: dict[str, Any] = field(factory=dict)
    load_reported_at: float = 0.0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        path, method = scope["path"], scope["method"]
        try:
            body = await read_body(receive)
        except anyio.EndOfStream:
            return
        if CRASH_MARK in body and not self.settings.crash_delay:
            os._exit(CRASH_EXIT_CODE)
        if path == CHAT_PATH:
            await self._serve_chat(scope, body, receive, send)
        elif method == "GET" and path in REPORT_PATHS:
            await self._send_report(scope, send)
        elif path.startswith(("/kv/", "/cancel/")) or path == "/orders":
            await self._handle_control(path, body, send)
        else:
            await self._serve_plain(scope, body, send)

    async def _serve_chat(
        self, scope: Scope, body: bytes, receive: Receive, send: Send
    ) -> None:
        document = json.loads(body)
        self.last_request_number += 1
        request = read_header(
            scope, b"x-request-id", f"request-{self.last_request_number}"
        )
        async with anyio.create_task_group() as tasks:
            self.cancel_scopes[request] = tasks.cancel_scope
            tasks.start_soon(self._cancel_on_disconnect, request, receive)
            priority = int(read_header(scope, b"x-priority", "0"))
            tokens = document.get("max_tokens", DEFAULT_TOKENS)
            async with self.batch.acquire_slot(request, priority, tokens):
                await self._generate(scope, document, send)
            tasks.cancel_scope.cancel()
        self.cancel_scopes.pop(request, None)

    async def _cancel_on_disconnect(self, request: str, receive: Receive) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        self.cancel_scopes[request].cancel()

    async def _generate(
        self, scope: Scope, document: dict[str, Any], send: Send
    ) -> None:
        messages = document["messages"]
        tokens = document.get("max_tokens", DEFAULT_TOKENS)
        usage = await self._prefill(messages, tokens)
        if CRASH_MARK.decode() in json.dumps(messages):
            await anyio.sleep(self.settings.crash_delay)
            os._exit(CRASH_EXIT_CODE)
        if not document.get("stream", False):
            await anyio.sleep(tokens * self.settings.token_interval)
            text = generate_text(messages, tokens)
            choice = {"message": {"role": "assistant", "content": text}}
            answer = {"choices": [choice], "usage": usage}
            headers = [(b"content-type", b"application/json")]
            await send_response(send, 200, headers, json.dumps(answer).encode())
        else:
            first = int(read_header(scope, b"last-event-id", "-1")) + 1
            await self._stream(messages, first, tokens, usage, send)
        answer_message = {
            "role": "assistant",
            "content": generate_text(messages, tokens),
        }
        self.cache.store([*messages, answer_message], time.time())

    async def _prefill(self, messages: list[Any], tokens: int) -> dict[str, Any]:
        prompt = sum(count_tokens(message) for message in messages)
        length = self.cache.count_cached_messages(messages)
        cached = sum(count_tokens(message) for message in messages[:length])
        await anyio.sleep((prompt - cached) / self.settings.prefill_rate)
        self.cache.store(messages, time.time())
        return {
            "prompt_tokens": prompt,
            "completion_tokens": tokens,
            "prompt_tokens_details": {"cached_tokens": cached},
        }

    async def _stream(
        self,
        messages: list[Any],
        first: int,
        tokens: int,
        usage: dict[str, Any],
        send: Send,
    ) -> None:
        headers = [(b"content-type", b"text/event-stream")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        for number in range(first, tokens):
            data = encode_event(messages, number)
            await send({"type": "http.response.body", "body": data, "more_body": True})
            await anyio.sleep(self.settings.token_interval)
        last = json.dumps({"choices": [], "usage": usage})
        data = f"data: {last}\n\ndata: [DONE]\n\n".encode()
        await send({"type": "http.response.body", "body": data})

    async def _serve_plain(self, scope: Scope, body: bytes, send: Send) -> None:
        key = read_header(scope, b"idempotency-key", body.decode("latin-1"))
        self._count_run(key)
        query = scope["query_string"].decode()
        if query.startswith("seconds="):
            await anyio.sleep(float(query.removeprefix("seconds=")))
        if query.startswith("bytes="):
            await self._send_bytes(int(query.removeprefix("bytes=")), send)
            return
        headers = [(b"x-run-number", str(self.runs[key]).encode())]
        await send_response(send, 200, headers, b"ran " + body)

    async def _send_bytes(self, size: int, send: Send) -> None:
        await send({"type": "http.response.start", "status": 200, "headers": []})
        for _ in range(0, size, CHUNK_BYTES):
            data = bytes(CHUNK_BYTES)
            await send({"type": "http.response.body", "body": data, "more_body": True})
        await send({"type": "http.response.body", "body": b""})

    def _count_run(self, key: str) -> None:
        self.runs[key] += 1
        if self.settings.runs_file:
            with Path(self.settings.runs_file).open("a") as file:
                file.write(f"{key}\n")

    async def _send_report(self, scope: Scope, send: Send) -> None:
        path = scope["path"]
        query = scope["query_string"].decode()
        after = int(query.removeprefix("after=") or 0) if path == "/cache/events" else 0
        answers: dict[str, Any] = {
            "/load": self._measure_load(),
            "/cache/events": {
                "events": [
                    asdict(item) for item in self.cache.list_events(after, time.time())
                ]
            },
            "/cache/inventory": {
                "sequence": self.cache.last_sequence,
                "prefixes": list(self.cache.entries),
            },
            "/orders": {"orders": self.orders},
            "/runs": dict(self.runs),
        }
        await send_response(send, 200, [], json.dumps(answers[path]).encode())

    def _measure_load(self) -> dict[str, Any]:
        now = time.time()
        if now - self.load_reported_at > self.settings.load_lag:
            self.load_reported_at = now
            self.load_report = {
                "running": list(self.batch.running),
                "waiting": len(self.batch.waiting),
                "tokens": sum(self.batch.running.values()),
            }
        return {**self.load_report, "age": now - self.load_reported_at}

    async def _handle_control(self, path: str, body: bytes, send: Send) -> None:
        if path.startswith("/cancel/"):
            scope = self.cancel_scopes.get(path.removeprefix("/cancel/"))
            if scope is not None:
                scope.cancel()
            await send_response(send, 200 if scope else 404, [], b"")
        elif path == "/orders":
            await self._accept_order(json.loads(body), send)
        else:
            await self._transfer_cache(path, body, send)

    async def _accept_order(self, order: dict[str, Any], send: Send) -> None:
        is_old = order["fencing"] < self.highest_fencing_token
        if is_old and self.settings.checks_fencing:
            await send_response(send, 409, [], b"")
            return
        self.highest_fencing_token = max(self.highest_fencing_token, order["fencing"])
        self.orders.append(order)
        await send_response(send, 200, [], b"")

    async def _transfer_cache(self, path: str, body: bytes, send: Send) -> None:
        if not self.settings.moves_cache:
            await send_response(send, 404, [], b"")
        elif path == "/kv/import":
            segments = decode_kv(body, self.settings.kv_bytes_per_token)
            self.cache.store_segments(segments, time.time())
            await send_response(send, 200 if segments else 400, [], b"")
        else:
            segments = self.cache.list_segments(json.loads(body)["prefix"])
            data = encode_kv(segments, self.settings.kv_bytes_per_token)
            await send_response(send, 200 if segments else 404, [], data)


def main(
    address: str,
    settings: Annotated[str, typer.Option(help="EngineSettings as JSON.")] = "{}",
) -> None:
    """Serve as a stand-in engine at an address."""
    engine_settings = EngineSettings(**json.loads(settings))
    engine = Engine(
        settings=engine_settings,
        batch=Batch(engine_settings.slots),
        cache=PrefixCache(
            engine_settings.cache_tokens,
            engine_settings.event_lag,
            engine_settings.event_loss,
        ),
    )
    if engine_settings.runs_file and Path(engine_settings.runs_file).exists():
        engine.runs.update(Path(engine_settings.runs_file).read_text().splitlines())
    anyio.run(create_server(engine, address).serve)


if __name__ == "__main__":
    typer.run(main)
