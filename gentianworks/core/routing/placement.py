"""Placement: the order in which endpoints are tried for a request.

Rendezvous hashing gives each chat a home endpoint and an order of endpoints to spill
over to, without shared state. Chats of one workspace that begin with the same shared
prompt stay within one shard of the pool, so that few engines need to cache that prompt.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Protocol, TypeVar

import xxhash
from attrs import frozen

from gentianworks.core.types import Endpoint, Request

SHARD_ENDPOINTS = 16  # endpoints


@frozen
class PlacementKey:
    """Hash keys of a chat and of the prompt that it shares with others."""

    chat: str
    shared: str = ""  # empty without a shared prompt


class Named(Protocol):
    """Item that is placed by its name."""

    @property
    def name(self) -> str:
        """Return the name that is hashed."""


N = TypeVar("N", bound=Named)


def order_by_score(key: str, items: Iterable[N]) -> list[N]:
    """Return items in descending order of their rendezvous scores for `key`."""
    seed = xxhash.xxh3_64_intdigest(key.encode())
    return sorted(
        items,
        key=lambda item: xxhash.xxh3_64_intdigest(item.name.encode(), seed),
        reverse=True,
    )


def build_placement_key(request: Request, exchange: str) -> PlacementKey:
    """Return the placement key of a request: that of its chat, if it has one."""
    scope = f"{request.service}/{request.workspace}"
    chat = request.chat or request.prompt_prefix or exchange
    shared = f"{scope}/{request.shared_prompt}" if request.shared_prompt else ""
    return PlacementKey(f"{scope}/{chat}", shared)


def order_endpoints(
    request: Request, exchange: str, endpoints: Sequence[Endpoint]
) -> list[Endpoint]:
    """Return the endpoints in the order in which to try them for a request.

    The endpoint that last served the chat comes first, because its engine has cached
    the chat's prompt even if it isn't the chat's home.
    """
    order = order_by_home(build_placement_key(request, exchange), endpoints)
    return sorted(order, key=lambda endpoint: endpoint.name != request.hint)


def order_by_home(key: PlacementKey, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
    """Return the endpoints with a key's home first, then those it spills over to."""
    if not key.shared or len(endpoints) <= SHARD_ENDPOINTS:
        return order_by_score(key.chat, endpoints)
    shards = order_by_score(key.shared, endpoints)
    return [
        *order_by_score(key.chat, shards[:SHARD_ENDPOINTS]),
        *order_by_score(key.chat, shards[SHARD_ENDPOINTS:]),
    ]
