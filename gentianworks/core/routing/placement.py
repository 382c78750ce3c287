"""Placement: the order in which endpoints are tried for a request.

Rendezvous hashing gives each chat a home and an order of spill endpoints without
shared state. Chats of one workspace that begin with the same shared prompt stay
within one shard of the pool, so that few engines need to hold that prompt.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Protocol, TypeVar

import xxhash
from attrs import frozen

from gentianworks.core.types import Endpoint, Request

SHARD_ENDPOINTS = 16


@frozen
class PlacementKey:
    """Hold what places a chat: its own key, and that of the prompt that it shares.

    `shared` is empty where the chat shares no prompt with others.
    """

    chat: str
    shared: str = ""


class Named(Protocol):
    """Stand for anything that is placed by its name."""

    @property
    def name(self) -> str:
        """Return the name."""


N = TypeVar("N", bound=Named)


def order_by_score(key: str, items: Iterable[N]) -> list[N]:
    """Return items in the order of their rendezvous scores for `key`."""
    seed = xxhash.xxh3_64_intdigest(key.encode())
    return sorted(
        items,
        key=lambda item: xxhash.xxh3_64_intdigest(item.name.encode(), seed),
        reverse=True,
    )


def build_key(request: Request, exchange: str) -> PlacementKey:
    """Return the key that places a chat, or a single request outside any chat."""
    place = f"{request.service}/{request.workspace}"
    chat = request.chat or request.prompt_prefix or exchange
    shared = f"{place}/{request.shared_prompt}" if request.shared_prompt else ""
    return PlacementKey(f"{place}/{chat}", shared)


def place_request(
    request: Request, exchange: str, endpoints: Sequence[Endpoint]
) -> list[Endpoint]:
    """Return the endpoints in the order in which a request is to try them.

    The endpoint that served the chat last goes first, as it holds the chat's prompt
    even where it is not the chat's home.
    """
    order = order_by_home(build_key(request, exchange), endpoints)
    return sorted(order, key=lambda endpoint: endpoint.name != request.hint)


def order_by_home(key: PlacementKey, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
    """Return the endpoints with the home of a key first, then where it spills."""
    if not key.shared or len(endpoints) <= SHARD_ENDPOINTS:
        return order_by_score(key.chat, endpoints)
    shards = order_by_score(key.shared, endpoints)
    return [
        *order_by_score(key.chat, shards[:SHARD_ENDPOINTS]),
        *order_by_score(key.chat, shards[SHARD_ENDPOINTS:]),
    ]
