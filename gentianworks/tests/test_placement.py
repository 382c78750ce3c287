"""Tests of the order in which endpoints are tried for a request."""

from __future__ import annotations

from collections import Counter

from attrs import evolve

from gentianworks.core.routing.placement import SHARD_ENDPOINTS, order_endpoints
from gentianworks.tests.fixtures import REQUEST, build_configuration

CHATS = 2000


def find_home(chat: str, count: int, without: str = "") -> str:
    endpoints = build_configuration(count).endpoints
    remaining = [item for item in endpoints if item.name != without]
    return order_endpoints(evolve(REQUEST, chat=chat), "x", remaining)[0].name


class TestPlacement:
    def test_moves_only_the_chats_of_an_endpoint_that_left(self) -> None:
        for number in range(CHATS):
            before = find_home(f"c{number}", 5)
            after = find_home(f"c{number}", 5, without="chat-3")
            assert after == before or before == "chat-3"

    def test_spreads_chats_evenly(self) -> None:
        homes = Counter(find_home(f"c{number}", 5) for number in range(CHATS))
        assert max(homes.values()) < 1.2 * CHATS / 5

    def test_places_a_chat_without_id_by_its_prompt(self) -> None:
        endpoints = build_configuration(50).endpoints
        first = evolve(REQUEST, chat="", prompt_prefix="p1")
        assert order_endpoints(first, "x1", endpoints) == order_endpoints(
            first, "x2", endpoints
        )

    def test_puts_the_endpoint_first_that_last_served_the_chat(self) -> None:
        endpoints = build_configuration(5).endpoints
        for name in ("chat-1", "chat-2"):
            order = order_endpoints(evolve(REQUEST, hint=name), "x", endpoints)
            assert order[0].name == name
        assert order_endpoints(evolve(REQUEST, hint="gone"), "x", endpoints) == (
            order_endpoints(REQUEST, "x", endpoints)
        )

    def test_keeps_chats_with_a_shared_prompt_in_one_shard(self) -> None:
        endpoints = build_configuration(100).endpoints
        homes = {
            order_endpoints(
                evolve(REQUEST, chat=f"c{number}", shared_prompt="s"), "x", endpoints
            )[0].name
            for number in range(CHATS)
        }
        assert len(homes) == SHARD_ENDPOINTS
