"""Policies: engine selection for the baselines of the prompt cache benchmark."""

from __future__ import annotations

import json
import random
from collections.abc import Sequence
from functools import singledispatch

import httpcore
from attrs import define, field, frozen

from gentianworks.codecs.requests import digest_messages
from standins.client import ChatTurn
from standins.members import Member

SLOTS_PER_ENGINE = 16


@define
class EnginePool:
    """Engines that a policy chooses from, with the number of requests in flight."""

    members: Sequence[Member]
    pool: httpcore.AsyncConnectionPool
    in_flight: dict[str, int] = field(factory=dict)
    rng: random.Random = field(factory=lambda: random.Random(2))

    def list_live(self) -> list[Member]:
        """Return the engines whose process is running."""
        return [item for item in self.members if item.process.poll() is None]

    def count_in_flight(self, member: Member) -> int:
        """Return the number of this benchmark's requests that an engine is running."""
        return self.in_flight.get(member.name, 0)

    def adjust_in_flight(self, member: Member, delta: int) -> None:
        """Add `delta` to the number of requests that an engine is running."""
        self.in_flight[member.name] = self.count_in_flight(member) + delta


@frozen
class Random:
    """Policy that chooses a live engine at random."""


@frozen
class LeastLoad:
    """Policy that chooses the live engine with the fewest requests in flight."""


@frozen
class Informed:
    """Policy that uses the exact cache contents and load of every engine.

    It stands for a single router that serves all requests.
    """


@singledispatch
async def choose_engine(policy: object, chat: ChatTurn, engines: EnginePool) -> Member:
    """Return the engine that a policy sends a turn of a chat to."""
    raise NotImplementedError(f"no implementation for policy {policy!r}; register one.")


@choose_engine.register
async def _(policy: Random, chat: ChatTurn, engines: EnginePool) -> Member:
    return engines.rng.choice(engines.list_live())


@choose_engine.register
async def _(policy: LeastLoad, chat: ChatTurn, engines: EnginePool) -> Member:
    live = engines.list_live()
    engines.rng.shuffle(live)
    return min(live, key=engines.count_in_flight)


@choose_engine.register
async def _(policy: Informed, chat: ChatTurn, engines: EnginePool) -> Member:
    digests = [
        digest_messages(list(chat.messages[:length]))
        for length in range(1, len(chat.messages) + 1)
    ]
    candidates = [
        item
        for item in engines.list_live()
        if engines.count_in_flight(item) < SLOTS_PER_ENGINE
    ]
    cached = {
        item.name: await _count_cached_messages(item, digests, engines)
        for item in candidates or engines.list_live()
    }
    return min(
        (item for item in engines.list_live() if item.name in cached),
        key=lambda item: (-cached[item.name], engines.count_in_flight(item)),
    )


async def _count_cached_messages(
    member: Member, digests: list[str], engines: EnginePool
) -> int:
    """Return the number of leading messages in an engine's cache, or -1 on an error."""
    url = f"http://{member.http_address}/cache/inventory"
    try:
        response = await engines.pool.request("GET", url)
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return -1
    prefixes = set(json.loads(response.content)["prefixes"])
    return max((n for n, item in enumerate(digests, 1) if item in prefixes), default=0)
