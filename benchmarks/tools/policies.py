"""Policies: plain ways of choosing an engine, the baselines of reuse."""

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

SLOTS = 16


@define
class Engines:
    """Hold the engines that a policy chooses from and what runs at each."""

    members: Sequence[Member]
    pool: httpcore.AsyncConnectionPool
    in_flight: dict[str, int] = field(factory=dict)
    chance: random.Random = field(factory=lambda: random.Random(2))

    def list_live(self) -> list[Member]:
        """Return the engines whose process runs."""
        return [item for item in self.members if item.process.poll() is None]

    def count(self, member: Member) -> int:
        """Return how many requests of this benchmark run at an engine."""
        return self.in_flight.get(member.name, 0)

    def change(self, member: Member, by: int) -> None:
        """Note that requests begin or end at an engine."""
        self.in_flight[member.name] = self.count(member) + by


@frozen
class Random:
    """Choose any live engine."""


@frozen
class LeastLoad:
    """Choose the live engine with the fewest requests."""


@frozen
class Informed:
    """Choose by every engine's exact cache and load, as one router of all could."""


@singledispatch
async def choose_engine(policy: object, chat: ChatTurn, engines: Engines) -> Member:
    """Return the engine that a policy sends a turn to."""
    raise NotImplementedError(f"{policy!r} is no policy; register it.")


@choose_engine.register
async def _(policy: Random, chat: ChatTurn, engines: Engines) -> Member:
    return engines.chance.choice(engines.list_live())


@choose_engine.register
async def _(policy: LeastLoad, chat: ChatTurn, engines: Engines) -> Member:
    live = engines.list_live()
    engines.chance.shuffle(live)
    return min(live, key=engines.count)


@choose_engine.register
async def _(policy: Informed, chat: ChatTurn, engines: Engines) -> Member:
    digests = [
        digest_messages(list(chat.messages[:length]))
        for length in range(1, len(chat.messages) + 1)
    ]
    free = [item for item in engines.list_live() if engines.count(item) < SLOTS]
    reuse = {
        item.name: await _count_cached(item, digests, engines)
        for item in free or engines.list_live()
    }
    return min(
        (item for item in engines.list_live() if item.name in reuse),
        key=lambda item: (-reuse[item.name], engines.count(item)),
    )


async def _count_cached(member: Member, digests: list[str], engines: Engines) -> int:
    """Return how many leading messages an engine has cached, -1 if it is away."""
    url = f"http://{member.http_address}/cache/inventory"
    try:
        told = await engines.pool.request("GET", url)
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return -1
    held = set(json.loads(told.content)["prefixes"])
    return max((n for n, item in enumerate(digests, 1) if item in held), default=0)
