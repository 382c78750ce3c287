"""Tests of connection pools."""

from __future__ import annotations

from contextlib import AsyncExitStack

import anyio

from gentianworks.web.pools import MAX_POOL_REQUESTS, Pools

ADDRESS = "127.0.0.1:1"
OTHER_ADDRESS = "127.0.0.1:2"


class TestPools:
    def test_a_pool_serves_a_limited_number_of_requests(self) -> None:
        async def borrow() -> list[int]:
            pools, borrowed = Pools(), []
            async with AsyncExitStack() as stack:
                for _ in range(2 * MAX_POOL_REQUESTS + 1):
                    borrowed.append(
                        await stack.enter_async_context(pools.borrow(ADDRESS))
                    )
                largest = max(borrowed.count(pool) for pool in borrowed)
                counts = [largest, pools.count(ADDRESS), pools.count(OTHER_ADDRESS)]
            return [*counts, pools.count(ADDRESS)]

        assert anyio.run(borrow) == [MAX_POOL_REQUESTS, 3, 0, 1]

    def test_a_free_pool_is_reused(self) -> None:
        async def borrow() -> bool:
            pools = Pools()
            async with pools.borrow(ADDRESS) as first:
                pass
            async with pools.borrow(ADDRESS) as second:
                return first is second

        assert anyio.run(borrow)
